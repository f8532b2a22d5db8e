package pimfetch

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// Guards against a long poll that waits for minutes on a connection that has gone silent: without probes by the kernel, no change of the
// configuration reaches the VM until the poll times out.
func TestConnectionsAreProbedByTheKernel(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(ln.Close()) }()
	c, err := newDialer(&Settings{Timeout: time.Second, KeepAlive: 2 * time.Second}).DialContext(t.Context(), "tcp", ln.Addr().String())
	is.NoErr(err)
	defer func() { is.NoErr(c.Close()) }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	is.NoErr(raw.Control(func(fd uintptr) {
		for option, want := range map[int]int{
			unix.TCP_KEEPIDLE: 2, unix.TCP_KEEPINTVL: 2, unix.TCP_KEEPCNT: maxMissedProbes, unix.TCP_USER_TIMEOUT: 8000,
		} {
			got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			is.NoErr(err)
			is.Equal(got, want)
		}
		isEnabled, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		is.NoErr(err)
		is.True(isEnabled != 0)
	}))
}
