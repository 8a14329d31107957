package controlplane

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/coord/failover"
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

// TestBrokenResponsesOfThePlatformAreNoList checks that no list is taken from a response that HTTP does not allow, and no refusal either.
func TestBrokenResponsesOfThePlatformAreNoList(t *testing.T) {
	list := `{"instances":[` + entry("a", "ready", 0) + `]}`
	for _, broken := range append(responsetest.Broken(), responsetest.SpoiltBodies()...) {
		t.Run(broken.Name, func(t *testing.T) {
			workers, err := readList(t, broken.Apply(responsetest.Response(http.StatusOK, list)))
			must.Error(t, err)
			must.Nil(t, workers)
		})
	}
	for _, broken := range responsetest.Broken() {
		t.Run(broken.Name+", refusal", func(t *testing.T) {
			_, err := readList(t, broken.Apply(responsetest.Response(http.StatusServiceUnavailable, "")))
			refused := &PlatformError{}
			must.False(t, errors.As(err, &refused), must.Sprint(err))
		})
	}
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

func TestUnusualResponsesOfThePlatformAreTaken(t *testing.T) {
	for _, sound := range responsetest.Sound() {
		t.Run(sound.Name, func(t *testing.T) {
			list := `{"instances":[` + entry("a", "ready", 0) + `]}`
			workers, err := readList(t, sound.Apply(responsetest.Response(http.StatusOK, list)))
			must.NoError(t, err)
			must.Len(t, 1, workers)
		})
	}
}

// vote asks a control process that sends this response for its vote.
func vote(t *testing.T, response string) (failover.VoteReply, error) {
	t.Helper()
	peers := newClients(nil)
	defer peers.close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return (&transport{clients: peers}).Vote(ctx, responsetest.Serve(t, response).Address, failover.VoteRequest{})
}

// TestBrokenResponsesGrantNoVote checks calls between control processes.
func TestBrokenResponsesGrantNoVote(t *testing.T) {
	body, err := proto.Marshal(&rpc.VoteReply{Granted: true, Epoch: 3})
	must.NoError(t, err)
	granted := responsetest.Response(http.StatusOK, string(body), "Content-Type: application/protobuf")
	for _, broken := range append(responsetest.Broken(), responsetest.SpoiltBodies()...) {
		t.Run(broken.Name, func(t *testing.T) {
			reply, err := vote(t, broken.Apply(granted))
			must.Error(t, err)
			must.Eq(t, failover.VoteReply{}, reply)
		})
	}
	for _, sound := range responsetest.Sound() {
		t.Run(sound.Name, func(t *testing.T) {
			reply, err := vote(t, sound.Apply(granted))
			must.NoError(t, err)
			must.True(t, reply.Granted)
		})
	}
}
