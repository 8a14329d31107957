package controlplane

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/responsecheck/responsetest"
	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

// readList reads the list of a platform that sends this response.
func readList(t *testing.T, response string) ([]*rpc.Worker, error) {
	t.Helper()
	configured := func() settings.Cloud { return settings.Cloud{Address: responsetest.Serve(t, response).Address} }
	reading := newDiscovery(configured, nil, nil, logr.Discard())
	defer reading.client.CloseIdleConnections()
	return reading.readAll(context.Background())
}

// TestListsThatAreCutShortAreNotTaken ends a response within its body, after the list but before the end that its length or chunks promise.
func TestListsThatAreCutShortAreNotTaken(t *testing.T) {
	list := `{"instances":[` + entry("a", "ready", 0) + `]}`
	for name, response := range map[string]string{
		"length":       strings.TrimSuffix(responsetest.Response(http.StatusOK, list+"  "), "  "),
		"chunked":      fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(list), list),
		"more follows": responsetest.Response(http.StatusOK, list+"}"),
	} {
		t.Run(name, func(t *testing.T) {
			workers, err := readList(t, response)
			must.Error(t, err)
			must.Nil(t, workers)
		})
	}
}
