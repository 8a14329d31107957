package ingest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/rpc"
)

// recorder records which nodes store a message, by request.
type recorder struct {
	mutex  sync.Mutex
	stored map[string]map[string]map[string]bool // by request id, message name and node
}

func (r *recorder) add(put *rpc.PutRequest, node string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	message := put.Messages[0]
	names := r.stored[message.RequestId]
	if names == nil {
		names = map[string]map[string]bool{}
		r.stored[message.RequestId] = names
	}
	if names[message.Name] == nil {
		names[message.Name] = map[string]bool{}
	}
	names[message.Name][node] = true
}

// faultyPut responds to a Put with a random success or fault. A successful Put to an owner is also recorded for a
// holder.
func (r *recorder) faultyPut(store *fakeStore) putFunc {
	return func(ctx context.Context, put *rpc.PutRequest) (rpc.PutStatus, error) {
		if rand.IntN(2) == 0 {
			r.addReplicated(put, store)
			return rpc.PutStatus_STORED, nil
		}
		switch rand.IntN(8) {
		case 0:
			return rpc.PutStatus_STALE_EPOCH, nil
		case 1:
			return rpc.PutStatus_NOT_OWNER, nil
		case 2:
			return rpc.PutStatus_FULL, nil
		case 3:
			r.add(put, store.member.Node)
			return rpc.PutStatus_FAILED, nil
		case 4:
			r.addReplicated(put, store)
			return store.blockPut(ctx, put)
		case 5:
			r.add(put, store.member.Node)
			panic("connection broken") // net/http closes the connection without a response
		default:
			return store.blockPut(ctx, put)
		}
	}
}

func (r *recorder) addReplicated(put *rpc.PutRequest, store *fakeStore) {
	r.add(put, store.member.Node)
	if put.Mode == rpc.PutMode_OWNER {
		r.add(put, "holder of "+store.member.Node)
	}
}

// checkResponse checks a response against the stored copies.
func (r *recorder) checkResponse(t *testing.T, id string, answer reply) {
	t.Helper()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch answer.status {
	case fasthttp.StatusAccepted:
		must.MapLen(t, 1, r.stored[id], must.Sprint("one name for ", id))
		must.GreaterEq(t, 2, len(r.stored[id][answer.header.Get("X-Msg-Id")]), must.Sprint("copies of ", id))
	case fasthttp.StatusServiceUnavailable:
		must.MapEmpty(t, r.stored[id], must.Sprint("refused ", id, " is stored"))
		must.Eq(t, "1", answer.header.Get("Retry-After"))
	case fasthttp.StatusGatewayTimeout:
	default:
		t.Fatalf("status %d for %s", answer.status, id)
	}
}

func TestResponsesMatchStoredCopiesUnderRandomFaults(t *testing.T) {
	const clients, messages = 16, 12
	h := newHarness(t)
	recorder := &recorder{stored: map[string]map[string]map[string]bool{}}
	for _, store := range h.stores {
		store.server.Config.ErrorLog = discardLog
		store.onPut(recorder.faultyPut(store))
	}
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() {
			for number := range messages {
				id := fmt.Sprint(client, "-", number)
				path := []string{"/free/x", "/free/x", "/keyed/x", "/rated/x"}[rand.IntN(4)]
				key := ""
				if path == "/keyed/x" || path == "/rated/x" && rand.IntN(2) == 0 {
					key = fmt.Sprint(rand.IntN(9))
				}
				answer := h.send("POST", path, id, "X-Request-Id", id, "X-Order-Key", key, "X-Deadline-Ms", "300")
				recorder.checkResponse(t, id, answer)
			}
		})
	}
	for epoch := uint64(11); epoch < 16; epoch++ { // owners change during the requests
		h.stores[epoch%4].awaitPut(t)
		h.publishMap(epoch, func(int) *fakeStore { return h.stores[rand.IntN(len(h.stores))] })
	}
	group.Wait()
}
