package storenode

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

// nodeWithRoute returns a node that is not running, under a configuration with one route.
func nodeWithRoute(version uint64, route catalog.Route) *Node {
	route.Name, route.Type, route.Hostname, route.PathPrefix, route.Service = "r", catalog.RouteTypeAsync, "h", "/p/", "s"
	config := &catalog.Config{Version: version, Services: []catalog.Service{{Name: "s"}}, Routes: []catalog.Route{route}}
	return &Node{table: message.NewTable(), started: time.Now(),
		view: &cluster.View{Config: config, Table: catalog.NewTable(config), ConfigVersion: version}}
}

// A later configuration may allow a message more time and attempts than it was promised, but not less: else a message that is owed
// attempts is reported as a dead letter.
func TestLaterConfigurationNeverShortensAPromise(t *testing.T) {
	for _, test := range []struct {
		promised, current, want int
	}{{3, 6, 6}, {6, 3, 6}, {0, 2, 2}, {5, 0, 5}, {0, 0, defaultMaxFailures}} {
		n := nodeWithRoute(7, catalog.Route{Retries: test.current, RetentionS: float64(test.current)})
		entry := &message.Entry{Host: "h", Path: "/p/1?q", Promise: message.Promise{ConfigVersion: 5, Retries: uint32(test.promised),
			Retention: time.Duration(test.promised) * time.Second}}
		must.Eq(t, test.want, n.maxFailures(entry))
		if test.promised+test.current == 0 {
			continue
		}
		end := time.Duration(test.want)*time.Second + expiryMargin
		if test.current == 0 { // the route keeps messages without limit
			must.False(t, n.isExpired(entry, time.Hour))
			continue
		}
		must.False(t, n.isExpired(entry, end))
		must.True(t, n.isExpired(entry, end+1))
	}
}

// A route that was replaced by name is not the route of messages that it accepted before: they follow their host and path.
func TestRouteOfMessageFollowsItsPath(t *testing.T) {
	n := nodeWithRoute(7, catalog.Route{})
	must.NotNil(t, n.routeOf(&message.Entry{Route: "another", Host: "H:80", Path: "/p/1"}))
	must.Nil(t, n.routeOf(&message.Entry{Route: "r", Host: "h", Path: "/q/1"}))
	must.Nil(t, n.routeOf(&message.Entry{Route: "r", Host: "g", Path: "/p/1"}))
}

// A store whose configuration is older than the one a message was accepted under must not end it: a copy fetched from a holder of a
// message on a new route was taken for one whose route is gone.
func TestLaggingStoreNeverEndsWhatANewerConfigurationAccepted(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		w.control.muted.Store(true)
		w.dropRoute()
		m := w.delayedMessage("new", "")
		m.Path, m.ConfigVersion, m.RetentionMs = "/new", 2, time.Hour.Milliseconds()
		must.Eq(t, rpc.PutStatus_STORED, w.put(w.nonOwners(0)[0], rpc.PutMode_HOLDER, epoch, m))
		must.Eq(t, rpc.PutStatus_STORED, w.put(w.nonOwners(0)[1], rpc.PutMode_HOLDER, epoch, m))
		time.Sleep(5 * time.Second) // the owner learns of it
		var known, ended, current bool
		node := owner.running().node
		node.do(func() {
			entry := node.table.Get("new")
			known, ended, current = entry != nil, entry != nil && entry.Ended(), node.hasRequiredConfig()
		})
		must.True(t, known)
		must.False(t, ended)
		must.False(t, current)
	})
}

// Once a leader names an older configuration than messages were accepted under, that one was lost, and deliveries go on without it.
func TestStoreStopsWaitingForALostConfiguration(t *testing.T) {
	runScenario(t, smallScale, func(t *testing.T, w *world) {
		owner, epoch := w.owner(0)
		m := w.immediateMessage("m")
		m.ConfigVersion = 9
		must.Eq(t, rpc.PutStatus_STORED, w.put(owner, rpc.PutMode_OWNER, epoch, m))
		time.Sleep(100 * time.Millisecond)
		must.EqOp(t, 0, w.runCount("m"))
		time.Sleep(10 * time.Second)
		must.Positive(t, w.runCount("m"))
	})
}
