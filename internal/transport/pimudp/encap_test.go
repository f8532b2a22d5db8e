package pimudp

import (
	"bytes"
	"errors"
	"net/netip"
	"testing"

	"github.com/matryer/is"
)

var (
	callerAddr  = netip.MustParseAddrPort("127.0.0.9:4001")
	serviceAddr = netip.MustParseAddrPort("127.0.1.1:5683")
)

// Guards against flow packets that reach the backend server with changed addresses or changed content.
func TestEncapsulationRoundTrip(t *testing.T) {
	e := NewEncapsulator()
	var d Decapsulator
	for _, size := range []int{0, 1, 2, 1200, 1201, MaxInnerPayload} {
		is := is.New(t)
		payload := bytes.Repeat([]byte{0xa5}, size)
		packet, err := e.Encapsulate(callerAddr, serviceAddr, payload)
		is.NoErr(err)
		inner, err := d.Decapsulate(packet)
		is.NoErr(err)
		is.Equal(inner.Source, callerAddr)
		is.Equal(inner.Destination, serviceAddr)
		is.True(bytes.Equal(inner.Payload, payload))
	}
}

// Guards against inner packets that cannot be sent or that a kernel would drop.
func TestEncapsulateRejects(t *testing.T) {
	is := is.New(t)
	e := NewEncapsulator()
	_, err := e.Encapsulate(netip.MustParseAddrPort("[::1]:1"), serviceAddr, nil)
	is.True(errors.Is(err, ErrNotIPv4))
	_, err = e.Encapsulate(callerAddr, serviceAddr, make([]byte, MaxInnerPayload+1))
	is.True(errors.Is(err, ErrInnerTooLarge))
	mapped := netip.AddrPortFrom(netip.AddrFrom16(callerAddr.Addr().As16()), 1)
	_, err = e.Encapsulate(mapped, serviceAddr, nil)
	is.NoErr(err) // an IPv4-mapped address is IPv4
}

// Guards against a damaged inner packet that is accepted: each changed byte and each truncation must be detected.
func TestDecapsulateNoticesEveryChangedByte(t *testing.T) {
	is := is.New(t)
	packet, err := NewEncapsulator().Encapsulate(callerAddr, serviceAddr, []byte("payload"))
	is.NoErr(err)
	var d Decapsulator
	for i := range packet {
		damaged := bytes.Clone(packet)
		damaged[i] ^= 0x10
		if _, err = d.Decapsulate(damaged); !errors.Is(err, ErrInnerMalformed) {
			t.Errorf("byte %d: error %v", i, err)
		}
	}
	for size := range packet {
		if _, err = d.Decapsulate(packet[:size]); !errors.Is(err, ErrInnerMalformed) {
			t.Errorf("length %d: error %v", size, err)
		}
	}
}

// Guards against allocations on the path of every flow packet.
func TestEncapsulateDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	e := NewEncapsulator()
	payload := make([]byte, 200)
	allocs := testing.AllocsPerRun(1000, func() {
		if _, err := e.Encapsulate(callerAddr, serviceAddr, payload); err != nil {
			t.Fatal(err)
		}
	})
	is.Equal(allocs, 0.0)
}

// Guards against panics and untyped errors for any datagram at a flow address.
func FuzzDecapsulate(f *testing.F) {
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var d Decapsulator
		inner, err := d.Decapsulate(datagram)
		if err != nil {
			if !errors.Is(err, ErrInnerMalformed) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		if !inner.Source.Addr().Is4() || len(inner.Payload) > len(datagram)-ipv4HeaderSize-udpHeaderSize {
			t.Fatalf("invalid inner packet %+v", inner)
		}
	})
}

func BenchmarkEncapsulate(b *testing.B) {
	e := NewEncapsulator()
	payload := make([]byte, 200)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := e.Encapsulate(callerAddr, serviceAddr, payload); err != nil {
			b.Fatal(err)
		}
	}
}
