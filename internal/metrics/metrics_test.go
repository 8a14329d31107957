package metrics

import (
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	return address
}

func TestFiguresAreServedAsTheyAreWhenAskedFor(t *testing.T) {
	value := uint64(6)
	address := freeAddress(t)
	server, err := Serve(address, func() []Figure {
		value++
		return []Figure{{Name: "messages_queued", Help: "not ended", Value: value}, {Name: "lookups_total", Help: "asked", Value: 1}}
	})
	must.NoError(t, err)
	defer func() { must.NoError(t, server.Close()) }()
	for _, want := range []string{"7", "8"} {
		response, err := http.Get("http://" + address + Path)
		must.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		must.NoError(t, err)
		must.NoError(t, response.Body.Close())
		must.EqOp(t, "# HELP messages_queued not ended\nmessages_queued "+want+"\n# HELP lookups_total asked\nlookups_total 1\n", string(text))
	}
}

func TestAddressInUseIsNamed(t *testing.T) {
	address := freeAddress(t)
	first, err := Serve(address, func() []Figure { return nil })
	must.NoError(t, err)
	defer func() { must.NoError(t, first.Close()) }()
	_, err = Serve(address, func() []Figure { return nil })
	must.ErrorContains(t, err, address)
}

func TestClosingNoServerIsNoError(t *testing.T) {
	var server *Server
	must.NoError(t, server.Close())
}
