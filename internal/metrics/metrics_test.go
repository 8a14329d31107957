package metrics

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/loopback"
	"foldlb.example/foldlb/internal/settings"
)

// freeAddress returns a loopback address with an unused port.
func freeAddress(t *testing.T) string {
	address, err := loopback.Unused()
	must.NoError(t, err)
	return address.String()
}

func TestMetricsAreCollectedForEachRequest(t *testing.T) {
	value := uint64(6)
	address := freeAddress(t)
	server, err := Serve(address, func() []Metric {
		value++
		return []Metric{{Name: "messages_queued", Help: "not ended", Value: value}, {Name: "lookups_total", Help: "asked", Value: 1}}
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

func TestErrorNamesAddressInUse(t *testing.T) {
	address := freeAddress(t)
	first, err := Serve(address, func() []Metric { return nil })
	must.NoError(t, err)
	defer func() { must.NoError(t, first.Close()) }()
	_, err = Serve(address, func() []Metric { return nil })
	must.ErrorContains(t, err, address)
}

func TestCloseOfNilServer(t *testing.T) {
	var server *Server
	must.NoError(t, server.Close())
}

// ServeRole must not listen on a port that the settings use for something else; the process then runs without metrics.
func TestServeRoleDoesNotUsePortsOfTheSettings(t *testing.T) {
	address := freeAddress(t)
	_, text, err := net.SplitHostPort(address)
	must.NoError(t, err)
	port, err := strconv.Atoi(text)
	must.NoError(t, err)
	none := func() []Metric { return nil }
	for name, role := range map[string]*settings.Settings{
		"front":     {Listen: settings.Listen{Front: "10.0.0.1:" + text}},
		"ready":     {Listen: settings.Listen{Ready: "10.0.0.1:" + text}},
		"control":   {Listen: settings.Listen{Control: "10.0.0.1:" + text}},
		"internal":  {PortRange: []int{port - 1, port + 1}},
		"elsewhere": {IP: "192.0.2.1"},
	} {
		role.MetricsPort = port
		if role.IP == "" {
			role.IP = "127.0.0.1"
		}
		must.Nil(t, ServeRole(role, logr.Discard(), none), must.Sprint(name))
	}
	must.Nil(t, ServeRole(&settings.Settings{IP: "127.0.0.1"}, logr.Discard(), none))
	server := ServeRole(&settings.Settings{IP: "127.0.0.1", MetricsPort: port}, logr.Discard(), none)
	must.NotNil(t, server)
	must.NoError(t, server.Close())
}
