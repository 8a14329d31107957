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

// probedStore refuses connections until answersFrom.
type probedStore struct {
	rpc.Store
	answersFrom time.Time
	probes      atomic.Int64
}

// singleStoreCluster is a clusterClient with one store.
type singleStoreCluster struct {
	view  atomic.Pointer[cluster.View]
	store *probedStore
}

const probedAddress = "10.0.0.1:7000"

func (o *singleStoreCluster) View() *cluster.View    { return o.view.Load() }
func (o *singleStoreCluster) Store(string) rpc.Store { return o.store }
func (o *singleStoreCluster) Kick()                  {}

func (o *singleStoreCluster) TimeSinceRenewal() time.Duration { return 0 }
func (o *singleStoreCluster) ConfigConfirmed(uint64) bool     { return true }

func (s *probedStore) Lookup(context.Context, *rpc.LookupRequest) (*rpc.LookupReply, error) {
	s.probes.Inc()
	if time.Now().Before(s.answersFrom) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	return &rpc.LookupReply{}, nil
}

// newProbedHealth returns a health with a prober, and a store that refuses connections for a while. It must run in a
// synctest bubble.
func newProbedHealth(t *testing.T, silentFor time.Duration) (*health, *singleStoreCluster) {
	deployment := &singleStoreCluster{store: &probedStore{answersFrom: time.Now().Add(silentFor)}}
	deployment.view.Store(&cluster.View{Map: &rpc.MapView{Stores: []*rpc.StoreMember{{Address: probedAddress}}}})
	health := newHealth()
	health.prober = &prober{ctx: t.Context(), cluster: deployment}
	return health, deployment
}

func TestStoreIsUnreachableUntilAProbeIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		health, deployment := newProbedHealth(t, 5*time.Second)
		health.recordRefused(probedAddress)
		for range 49 { // longer than maxSuspicionTime
			time.Sleep(100 * time.Millisecond)
			must.True(t, health.unreachable(probedAddress))
			must.True(t, health.majorityUnreachable(deployment.View().Stores()))
		}
		time.Sleep(100*time.Millisecond + probeInterval)
		must.False(t, health.unreachable(probedAddress))
		must.False(t, health.lastCallFailed())
		asked := deployment.store.probes.Load()
		time.Sleep(time.Minute)
		must.Eq(t, asked, deployment.store.probes.Load())
	})
}

func TestSuspicionLastsDespiteAnsweredProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		health, _ := newProbedHealth(t, 0)
		for range suspectThreshold {
			health.recordTimeout(probedAddress)
		}
		time.Sleep(minSuspicionTime - time.Millisecond)
		must.True(t, health.unreachable(probedAddress))
		time.Sleep(2 * time.Millisecond)
		must.False(t, health.unreachable(probedAddress))
	})
}

func TestProbingEndsWhenStoreIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		health, deployment := newProbedHealth(t, time.Hour)
		health.recordRefused(probedAddress)
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
