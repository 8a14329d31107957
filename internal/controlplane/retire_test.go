package controlplane

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
)

// releaseRequested releases the partitions that the latest map asks a store for.
func (s *testStore) releaseRequested(newest *receivedView) {
	var asked []*rpc.PartitionEpoch
	_ = newest.check(func(view *rpc.View) error {
		for partition, ownership := range view.Map.GetPartitions() {
			if ownership.Incarnation == s.request.Incarnation && ownership.Releasing {
				asked = append(asked, &rpc.PartitionEpoch{Partition: uint32(partition), Epoch: ownership.Epoch})
			}
		}
		return nil
	})
	if len(asked) > 0 {
		release := &rpc.ReleaseRequest{Node: s.request.Node, Incarnation: s.request.Incarnation, Partitions: asked}
		_, _ = s.control().Release(s.t.Context(), release)
	}
}

// assignPartitions renews stores until all partitions are assigned to them.
func assignPartitions(t *testing.T, stores []*testStore, newest *receivedView) {
	t.Helper()
	eventually(t, func() error {
		for _, store := range stores {
			store.renew(newest)
		}
		return newest.check(func(view *rpc.View) error {
			if len(view.Map.GetPartitions()) != partitionCount {
				return fmt.Errorf("no partitions")
			}
			return nil
		})
	})
}

func TestRetiredMachineIsEmptiedAndCannotComeBack(t *testing.T) {
	c := newCluster(t, 3, nil)
	newest := follow(t, c.leader())
	stores := []*testStore{newTestStore(c, 0), newTestStore(c, 1), newTestStore(c, 2)}
	assignPartitions(t, stores, newest)
	start := func(node string) int {
		return c.callUntilDefinite(c.servers[0], http.MethodPost, "/api/retire/"+node+"/start", "", `{"deadlineS":10}`).status
	}
	read := func(node string) apiResponse {
		return c.callUntilDefinite(c.servers[0], http.MethodGet, "/api/retire/"+node+"/read", "", "")
	}
	must.EqOp(t, http.StatusNotFound, start("none"))
	must.EqOp(t, http.StatusNotFound, read("store-0").status)
	must.EqOp(t, http.StatusOK, start("store-0"))
	must.EqOp(t, http.StatusOK, start("store-0"))
	must.EqOp(t, http.StatusConflict, start("store-1"))
	must.EqOp(t, `{"state":"running"}`, read("store-0").body)

	stores[1].request.UnderCopied = 3
	awaitEmpty(t, stores, newest, "store-0")
	must.EqOp(t, `{"state":"running"}`, read("store-0").body)
	stores[1].request.UnderCopied = 0
	eventually(t, func() error {
		for _, store := range stores {
			store.renew(newest)
		}
		if answer := read("store-0"); answer.body != `{"state":"completed"}` {
			return fmt.Errorf("%s", answer.body)
		}
		return nil
	})
	must.EqOp(t, http.StatusOK, start("store-0"))
	must.False(t, stores[0].renew(newest).Granted)
	must.True(t, stores[1].renew(newest).Granted)
	eventually(t, func() error {
		return newest.check(func(view *rpc.View) error {
			if findStore(view.Map.Stores, "store-0") != nil {
				return fmt.Errorf("still a member")
			}
			return nil
		})
	})
}

// awaitEmpty renews stores and releases partitions until one store owns none.
func awaitEmpty(t *testing.T, stores []*testStore, newest *receivedView, node string) {
	t.Helper()
	eventually(t, func() error {
		for _, store := range stores {
			store.renew(newest)
			store.releaseRequested(newest)
		}
		return newest.check(func(view *rpc.View) error {
			for _, ownership := range view.Map.GetPartitions() {
				if ownership.Node == node {
					return fmt.Errorf("owns partitions")
				}
			}
			return nil
		})
	})
}

func TestReplacedDiskIsNotWholeUntilOwnersHaveEnoughCopies(t *testing.T) {
	c := newCluster(t, 3, nil)
	newest := follow(t, c.leader())
	stores := []*testStore{newTestStore(c, 0), newTestStore(c, 1), newTestStore(c, 2)}
	assignPartitions(t, stores, newest)
	stores[0].request.Disk = "disk-new"
	stores[0].request.Incarnation = "store-0/2"
	stores[1].request.UnderCopied = 1
	isWhole := func(wanted bool) error {
		for _, store := range stores {
			store.renew(newest)
		}
		return newest.check(func(view *rpc.View) error {
			member := findStore(view.Map.GetStores(), "store-0")
			if member == nil || member.Disk != "disk-new" || member.Whole != wanted {
				return fmt.Errorf("store-0 is %v", member)
			}
			return nil
		})
	}
	eventually(t, func() error { return isWhole(false) })
	stores[1].request.UnderCopied = 0
	eventually(t, func() error { return isWhole(true) })
}
