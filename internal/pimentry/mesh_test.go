package pimentry

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/pimentoyard/pimentoyard/internal/coordination/pimregistry"
	"github.com/pimentoyard/pimentoyard/internal/protocol/pimmesh"
	"github.com/pimentoyard/pimentoyard/internal/state/pimcatalog"
)

// Guards against a change of many routes that spreads slowly, because each VM sends all its bytes to several others over a
// slow link at the same time.
func TestDeltaOfManyRoutesIsSmall(t *testing.T) {
	is := is.New(t)
	const routes, windowBytes = 1400, 16 * pimmesh.MaxChunk
	delta := pimregistry.Delta{From: 5, To: 9, Config: &pimregistry.ConfigDelta{Version: 7}}
	for i := range routes {
		delta.Config.Routes = append(delta.Config.Routes, pimcatalog.Route{
			Name:    fmt.Sprintf("r-%07x", i*0x9e3779b1&0xfffffff),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i >> 8), byte(i)}), 443),
			Shares:  []pimcatalog.Share{{Service: "order-desk", Weight: 1}}, Timeout: time.Second, Target: time.Second / 4,
		})
	}
	e, err := encodeDelta(delta, true)
	is.NoErr(err)
	is.True(len(e.Data) <= windowBytes)
	data, err := pimmesh.Inflate(e.Data)
	is.NoErr(err)
	var got pimregistry.Delta
	is.NoErr(pimmesh.Decode(data, &got))
	is.Equal(len(got.Config.Routes), routes)
	e, err = encodeDelta(delta, false) // a VM of an earlier release
	is.NoErr(err)
	is.NoErr(pimmesh.Decode(e.Data, &got))
}
