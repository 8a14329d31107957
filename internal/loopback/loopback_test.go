package loopback

import (
	"net"
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
)

func TestHostsAreOutsideTheDefaultLoopbackNetwork(t *testing.T) {
	defaultNetwork := netip.MustParsePrefix("127.0.0.0/16")
	seen := make(map[netip.Addr]bool)
	for range 1000 {
		host := Host()
		must.True(t, host.IsLoopback(), must.Sprint(host))
		must.False(t, defaultNetwork.Contains(host), must.Sprint(host))
		seen[host] = true
	}
	must.Greater(t, 990, len(seen))
}

// TestUnusedStaysFreeWhileOthersConnect checks that neither outgoing connections nor listeners at 127.0.0.1 occupy an unused address.
func TestUnusedStaysFreeWhileOthersConnect(t *testing.T) {
	unused, err := Unused()
	must.NoError(t, err)
	other, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	defer other.Close()
	taken, err := net.Listen("tcp4", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), unused.Port()).String())
	if err == nil { // fails if another program uses the port
		defer taken.Close()
	}
	for range 100 {
		_, err := net.Dial("tcp4", unused.String())
		must.Error(t, err)
		connection, err := net.Dial("tcp4", other.Addr().String())
		must.NoError(t, err)
		defer connection.Close()
	}
	listener, err := net.Listen("tcp4", unused.String())
	must.NoError(t, err)
	must.NoError(t, listener.Close())
}
