package controlplane

import (
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"
)

// abandon abandons a store in the committed state, as a leader does.
func (w *modelWorld) abandon(node string) error {
	next := proto.CloneOf(w.committed)
	if err := w.term.abandon(next, node, w.now); err != nil {
		return err
	}
	w.committed = next
	return nil
}

func TestAbandonedStoreIsNotWaitedFor(t *testing.T) {
	const second = int(time.Second / modelStep)
	draw := seededDraws(1)
	w := newModelWorld(3)
	run(t, w, 10*second, draw)
	lost := w.stores[:2] // with copies that only they and the owner hold: one store more than may be lost
	for _, store := range lost {
		store.cut = true
	}
	run(t, w, 20*second, draw)
	must.Len(t, 3, activeStores(w.committed)) // only they may hold some copies, so they are not removed automatically
	must.NoError(t, w.abandon(lost[0].node))
	must.Len(t, 2, activeStores(w.committed))
	must.NoError(t, w.abandon(lost[0].node))
	run(t, w, 5*second, draw)
	must.Eq(t, partitionCount, w.owned()[w.stores[2].node])

	lost[0].cut = false // it returns with its disk after all
	run(t, w, 10*second, draw)
	must.False(t, isRemoved(findStore(w.committed.Stores, lost[0].node)))
	must.Eq(t, partitionCount/2, w.owned()[lost[0].node])
}

func TestStoreThatMayBeAliveIsNotAbandoned(t *testing.T) {
	draw := seededDraws(1)
	w := newModelWorld(3)
	run(t, w, 200, draw)
	statusOf := func(node string) int {
		refusal := &RequestError{}
		must.True(t, errors.As(w.abandon(node), &refusal))
		return refusal.Status
	}
	must.Eq(t, http.StatusConflict, statusOf(w.stores[0].node))
	must.Eq(t, http.StatusNotFound, statusOf("nobody"))
	w.stores[0].cut = true
	run(t, w, 10, draw) // 0.5 s: its lease has not ended
	must.Eq(t, http.StatusConflict, statusOf(w.stores[0].node))
	w.changeLeader(nil) // the new leader doesn't know when the lease ends
	must.Eq(t, http.StatusConflict, statusOf(w.stores[0].node))
}

func TestAbandonIsServedByTheLeader(t *testing.T) {
	c := newCluster(t, 3, nil)
	newest := follow(t, c.leader())
	stores := []*testStore{newTestStore(c, 0), newTestStore(c, 1), newTestStore(c, 2)}
	assignPartitions(t, stores, newest)
	order := func(node string) int {
		return c.callUntilDefinite(c.servers[0], http.MethodPost, "/internal/stores/"+node+"/abandon", "", "").status
	}
	must.Eq(t, http.StatusConflict, order("store-0"))
	must.Eq(t, http.StatusNotFound, order("none"))
	eventually(t, func() error {
		stores[1].renew(newest)
		stores[2].renew(newest)
		if status := order("store-0"); status != http.StatusOK {
			return errors.Errorf("answered %d", status)
		}
		return nil
	})
}
