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

// ledger notes what each store keeps, by request.
type ledger struct {
	mutex sync.Mutex
	kept  map[string]map[string]map[string]bool // request, name, node
}

func (l *ledger) keep(put *rpc.PutRequest, node string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	message := put.Messages[0]
	names := l.kept[message.RequestId]
	if names == nil {
		names = map[string]map[string]bool{}
		l.kept[message.RequestId] = names
	}
	if names[message.Name] == nil {
		names[message.Name] = map[string]bool{}
	}
	names[message.Name][node] = true
}

// unreliable answers a Put in one of the ways in which a store can. An owner that answers STORED has had a
// holder store too.
func (l *ledger) unreliable(store *standInStore) putFunc {
	return func(ctx context.Context, put *rpc.PutRequest) (rpc.PutStatus, error) {
		if rand.IntN(2) == 0 {
			l.keepWhole(put, store)
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
			l.keep(put, store.member.Node)
			return rpc.PutStatus_FAILED, nil
		case 4:
			l.keepWhole(put, store)
			return store.silence(ctx, put)
		case 5:
			l.keep(put, store.member.Node)
			panic("the connection breaks") // net/http closes it without an answer
		default:
			return store.silence(ctx, put)
		}
	}
}

func (l *ledger) keepWhole(put *rpc.PutRequest, store *standInStore) {
	l.keep(put, store.member.Node)
	if put.Mode == rpc.PutMode_OWNER {
		l.keep(put, "holder of "+store.member.Node)
	}
}

// mustHold checks what an answer promises against what the stores keep.
func (l *ledger) mustHold(t *testing.T, id string, answer reply) {
	t.Helper()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch answer.status {
	case fasthttp.StatusAccepted:
		must.MapLen(t, 1, l.kept[id], must.Sprint("one name for ", id))
		must.GreaterEq(t, 2, len(l.kept[id][answer.header.Get("X-Msg-Id")]), must.Sprint("copies of ", id))
	case fasthttp.StatusServiceUnavailable:
		must.MapEmpty(t, l.kept[id], must.Sprint("refused ", id, " is kept"))
		must.Eq(t, "1", answer.header.Get("Retry-After"))
	case fasthttp.StatusGatewayTimeout:
	default:
		t.Fatalf("status %d for %s", answer.status, id)
	}
}

func TestAnswersHoldWhateverStoresDo(t *testing.T) {
	const clients, messages = 16, 12
	w := newWorld(t)
	ledger := &ledger{kept: map[string]map[string]map[string]bool{}}
	for _, store := range w.stores {
		store.server.Config.ErrorLog = discardLog
		store.onPut(ledger.unreliable(store))
	}
	var group sync.WaitGroup
	for client := range clients {
		group.Go(func() {
			for number := range messages {
				id := fmt.Sprint(client, "-", number)
				path := []string{"/free/x", "/free/x", "/keyed/x", "/rated/x"}[rand.IntN(4)]
				answer := w.send("POST", path, id, "X-Request-Id", id, "X-Order-Key", fmt.Sprint(rand.IntN(9)), "X-Deadline-Ms", "300")
				ledger.mustHold(t, id, answer)
			}
		})
	}
	for epoch := uint64(11); epoch < 16; epoch++ { // owners change in the middle
		w.stores[epoch%4].awaitPut(t)
		w.publishMap(epoch, func(int) *standInStore { return w.stores[rand.IntN(len(w.stores))] })
	}
	group.Wait()
}
