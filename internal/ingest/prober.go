package ingest

import (
	"context"
	"time"

	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	probeTimeout  = 250 * time.Millisecond
	probeInterval = 50 * time.Millisecond // between two probes of a store
)

// prober probes unresponsive stores until they respond.
type prober struct {
	ctx     context.Context // ends all probing
	cluster clusterClient
}

// awaitResponse probes a store from the given moment on. It returns true once the store has responded, and
// false if the store has left the deployment or the context has ended.
func (p *prober) awaitResponse(address string, start time.Time) bool {
	if !p.sleep(time.Until(start)) {
		return false
	}
	for isStore(p.cluster.View(), address) {
		if p.probe(address) {
			return true
		}
		if !p.sleep(probeInterval) {
			return false
		}
	}
	return false
}

// probe looks up a message that does not exist. Any response, even an error, shows that the store is alive.
func (p *prober) probe(address string) bool {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	_, err := p.cluster.Store(address).Lookup(ctx, &rpc.LookupRequest{})
	return err == nil || ctx.Err() == nil && !isConnectionError(err)
}

// sleep waits for a duration. It returns false if the context ended first.
func (p *prober) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.ctx.Done():
		return false
	}
}

func isStore(view *cluster.View, address string) bool {
	for _, store := range view.Stores() {
		if store.Address == address {
			return true
		}
	}
	return false
}
