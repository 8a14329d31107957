package cluster

import (
	"context"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"foldlb.example/foldlb/internal/responsecheck/responsetest"
	"foldlb.example/foldlb/internal/rpc"
)

// renew asks a control process that sends this response for a lease, over the transport of dispatchers and stores.
func renew(t *testing.T, response string) (*rpc.RenewReply, error) {
	t.Helper()
	roundTripper := newTransport(testTimeout)
	defer roundTripper.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return newClientCache(roundTripper).control(responsetest.Serve(t, response).Address).Renew(ctx, &rpc.RenewRequest{})
}

// TestBrokenResponsesGrantNoLease checks the calls of dispatchers and stores: a response that HTTP does not allow grants nothing, and does
// not name a leader.
func TestBrokenResponsesGrantNoLease(t *testing.T) {
	body, err := proto.Marshal(&rpc.RenewReply{LeaseMs: 9000})
	must.NoError(t, err)
	granted := responsetest.Response(http.StatusOK, string(body), "Content-Type: application/protobuf")
	refused := responsetest.Response(http.StatusServiceUnavailable, `{"code":"unavailable","msg":"not the leader","meta":{"leader":"10.0.0.4:1"}}`)
	for _, broken := range append(responsetest.Broken(), responsetest.SpoiltBodies()...) {
		t.Run(broken.Name, func(t *testing.T) {
			reply, err := renew(t, broken.Apply(granted))
			must.Error(t, err)
			must.Nil(t, reply)
			_, err = renew(t, broken.Apply(refused))
			must.Error(t, err)
			must.StrNotContains(t, err.Error(), "not the leader")
		})
	}
	for _, sound := range responsetest.Sound() {
		t.Run(sound.Name, func(t *testing.T) {
			reply, err := renew(t, sound.Apply(granted))
			must.NoError(t, err)
			must.Eq(t, 9000, reply.LeaseMs)
		})
	}
}
