package gossip

import (
	"context"
	"time"

	"github.com/hashicorp/memberlist"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/membership"
)

// look tells the reducer whom the library reaches, at once when that changes and often enough that nothing is missed.
func (n *Node) look(ctx context.Context) {
	t := time.NewTicker(lookEvery)
	defer t.Stop()
	begun := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-n.wake:
		}
		s := n.sight()
		if n.taken && len(s.Reached) == 0 && time.Since(begun) < meetMost {
			continue // danger: a successor that has met nobody yet would call all of them lost
		}
		n.post(core.FleetLooked{Sight: s})
	}
}

func (n *Node) sight() membership.Reachability {
	var s membership.Reachability
	// One that is cut off from everybody would doubt the others one by one, and itself first: the library slows such a member down. But
	// where nothing at all is heard, nobody is reached.
	alone := n.t.silence() > silentFor*n.cfg.Load().Probe
	for _, m := range n.list.Members() {
		if p, ok := processOf(m.Name); ok && p != n.process && !alone {
			s.Reached = append(s.Reached, p)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.doubted {
		s.Suspected = append(s.Suspected, p)
	}
	for p, d := range n.heard {
		s.PeerDigest = append(s.PeerDigest, membership.PeerDigest{Process: p, Digest: d})
	}
	clear(n.doubted)
	clear(n.heard)
	return s
}

func (n *Node) nudge() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// NotifyJoin hears that the library reaches one.
func (n *Node) NotifyJoin(*memberlist.Node) { n.nudge() }

// NotifyLeave hears that it no longer does.
func (n *Node) NotifyLeave(*memberlist.Node) { n.nudge() }

// NotifyUpdate hears of metadata, of which there are none.
func (n *Node) NotifyUpdate(*memberlist.Node) {}
