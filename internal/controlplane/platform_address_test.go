package controlplane

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/rpc"
	"foldlb.example/foldlb/internal/settings"
)

func listOf(entries ...string) map[string]string {
	list := ""
	for index, text := range entries {
		if index > 0 {
			list += ","
		}
		list += text
	}
	return map[string]string{"": `{"instances":[` + list + `],"nextToken":null}`}
}

// startPlatform serves a list until the test ends, and returns its address.
func startPlatform(t *testing.T, entries ...string) string {
	server := httptest.NewServer(&fakePlatform{pages: listOf(entries...)})
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// moveTo gives all processes settings with another address of the platform.
func (c *cluster) moveTo(address string) {
	for _, server := range c.servers {
		updated := *server.settings()
		updated.Cloud.Address = address
		server.Reload(&updated)
	}
}

// awaitWorkers waits until the list of workers holds just these, by ID; whether each is draining is the value.
func awaitWorkers(t *testing.T, newest *receivedView, wanted map[string]bool) {
	t.Helper()
	eventually(t, func() error {
		return newest.check(func(view *rpc.View) error {
			listed := view.Workers.GetWorkers()
			for _, worker := range listed {
				if draining, known := wanted[worker.Id]; !known || draining != worker.Draining {
					return fmt.Errorf("workers %v", listed)
				}
			}
			if len(listed) != len(wanted) {
				return fmt.Errorf("workers %v", listed)
			}
			return nil
		})
	})
}

// TestRunningLeaderFollowsThePlatformToItsNewAddress guards against workers that are sent messages long after they began to drain, since
// the running leader still asked the platform's former address (incident 0017).
func TestRunningLeaderFollowsThePlatformToItsNewAddress(t *testing.T) {
	former := startPlatform(t, entry("a", "ready", 0), entry("b", "ready", 0))
	c := newCluster(t, 3, func(wanted *settings.Settings) { wanted.Cloud = settings.Cloud{Address: former, RatePerS: 100} })
	leader := c.leader()
	newest := follow(t, leader)
	awaitWorkers(t, newest, map[string]bool{"a": false, "b": false})

	c.moveTo("127.0.0.1:1") // nothing answers there: what is known stays
	time.Sleep(2 * discoveryPeriod)
	awaitWorkers(t, newest, map[string]bool{"a": false, "b": false})

	c.moveTo(startPlatform(t, entry("a", "draining", 0), entry("c", "ready", 0)))
	awaitWorkers(t, newest, map[string]bool{"a": true, "c": false})
	must.EqOp(t, leader, c.leader())
}

// TestPlatformNamedDuringATermIsRead begins a term without a platform.
func TestPlatformNamedDuringATermIsRead(t *testing.T) {
	c := newCluster(t, 3, nil)
	newest := follow(t, c.leader())
	c.moveTo(startPlatform(t, entry("a", "ready", 0)))
	awaitWorkers(t, newest, map[string]bool{"a": false})
}

// TestListAtANewAddressDoesNotEmptyAService checks that workers stay known for a time if the list at the platform's new address names none
// of their service, and that any list that names one counts as it is.
func TestListAtANewAddressDoesNotEmptyAService(t *testing.T) {
	first, second, other := &rpc.Worker{Id: "a", Service: "s"}, &rpc.Worker{Id: "b", Service: "s"}, &rpc.Worker{Id: "c", Service: "t"}
	now := time.Now()
	var known knownWorkers
	must.Eq(t, []*rpc.Worker{first, second, other}, known.update(now, []*rpc.Worker{first, second, other}))
	must.Eq(t, []*rpc.Worker{second, other}, known.update(now, []*rpc.Worker{second, other}))

	known.holdMissing(now)
	must.Eq(t, []*rpc.Worker{second, other}, known.update(now, nil))
	must.Eq(t, []*rpc.Worker{first, other}, known.update(now, []*rpc.Worker{first}))
	must.Eq(t, []*rpc.Worker{other}, known.update(now, nil)) // the new address has named the service once
	must.SliceEmpty(t, known.update(now.Add(missingServiceGrace+time.Second), nil))
}
