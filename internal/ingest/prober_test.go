package ingest

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/atomic"

	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/rpc"
)

// probedStore answers from some moment on.
type probedStore struct {
	rpc.Store
	answers time.Time
	probes  atomic.Int64
}

// oneStore is a deployment with one store.
type oneStore struct {
	view  atomic.Pointer[cluster.View]
	store *probedStore
}

const probedAddress = "10.0.0.1:7000"

func (o *oneStore) View() *cluster.View    { return o.view.Load() }
func (o *oneStore) Store(string) rpc.Store { return o.store }
func (o *oneStore) Kick()                  {}

func (o *oneStore) ControlReachable() time.Duration { return 0 }
func (o *oneStore) ConfigConfirmed(uint64) bool     { return true }

func (s *probedStore) Lookup(context.Context, *rpc.LookupRequest) (*rpc.LookupReply, error) {
	s.probes.Inc()
	if time.Now().Before(s.answers) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	return &rpc.LookupReply{}, nil
}

// probing returns the health of a store that answers after a while, in the bubble of a test.
func probing(t *testing.T, silentFor time.Duration) (*health, *oneStore) {
	deployment := &oneStore{store: &probedStore{answers: time.Now().Add(silentFor)}}
	deployment.view.Store(&cluster.View{Map: &rpc.MapView{Stores: []*rpc.StoreMember{{Address: probedAddress}}}})
	health := newHealth()
	health.prober = &prober{ctx: t.Context(), cluster: deployment}
	return health, deployment
}

func TestStoreIsUnreachableUntilAProbeIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		health, deployment := probing(t, 5*time.Second)
		health.refused(probedAddress)
		for range 49 { // longer than any suspicion lasts by itself
			time.Sleep(100 * time.Millisecond)
			must.True(t, health.unreachable(probedAddress))
			must.True(t, health.mostUnreachable(deployment.View().Stores()))
		}
		time.Sleep(100*time.Millisecond + probePause)
		must.False(t, health.unreachable(probedAddress))
		must.False(t, health.failed())
		asked := deployment.store.probes.Load()
		time.Sleep(time.Minute)
		must.Eq(t, asked, deployment.store.probes.Load())
	})
}

func TestSuspicionOfASilentStoreLastsForAWhileThoughItAnswersProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		health, _ := probing(t, 0)
		for range suspectAfter {
			health.silent(probedAddress)
		}
		time.Sleep(firstSuspicion - time.Millisecond)
		must.True(t, health.unreachable(probedAddress))
		time.Sleep(2 * time.Millisecond)
		must.False(t, health.unreachable(probedAddress))
	})
}

func TestProbingEndsWithTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		health, deployment := probing(t, time.Hour)
		health.refused(probedAddress)
		time.Sleep(time.Second)
		must.Positive(t, deployment.store.probes.Load())
		deployment.view.Store(&cluster.View{})
		time.Sleep(time.Second)
		must.False(t, health.unreachable(probedAddress))
		asked := deployment.store.probes.Load()
		time.Sleep(time.Minute)
		must.Eq(t, asked, deployment.store.probes.Load())
	})
}
