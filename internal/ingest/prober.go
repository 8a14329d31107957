package ingest

import (
	"context"
	"time"

	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	probeTimeout = 250 * time.Millisecond
	probePause   = 50 * time.Millisecond // between two probes of a store
)

// prober asks stores that do not answer, until they do.
type prober struct {
	ctx     context.Context // ends the probing
	cluster members
}

// awaitAnswer probes a store from a moment on. It reports true once the store has answered, and false where it is none of the
// deployment any more or the probing has ended.
func (p *prober) awaitAnswer(address string, from time.Time) bool {
	if !p.sleep(time.Until(from)) {
		return false
	}
	for isStore(p.cluster.View(), address) {
		if p.probe(address) {
			return true
		}
		if !p.sleep(probePause) {
			return false
		}
	}
	return false
}

// probe asks a store for a message that there is none of. Any answer, an error too, is a sign of life.
func (p *prober) probe(address string) bool {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	_, err := p.cluster.Store(address).Lookup(ctx, &rpc.LookupRequest{})
	return err == nil || ctx.Err() == nil && !isBroken(err)
}

// sleep waits and reports whether the probing goes on.
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
