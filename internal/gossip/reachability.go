package gossip

import (
	"context"
	"time"

	"github.com/hashicorp/memberlist"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/membership"
)

// reportReachability reports the members that memberlist reaches to the reducer, on each change and every reportInterval.
func (n *Node) reportReachability(ctx context.Context) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	begun := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-n.wake:
		}
		s := n.reachability()
		if n.inherited && len(s.Reached) == 0 && time.Since(begun) < maxSuccessorDelay {
			continue // a successor that has reached no member yet would report all as unreachable
		}
		n.post(core.FleetLooked{Sight: s})
	}
}

func (n *Node) reachability() membership.Reachability {
	var s membership.Reachability
	// memberlist slows down the probes of a member that is cut off, so it would suspect the others one by one only. If no datagram is
	// received at all, no member is reached.
	alone := n.t.silence() > silentProbes*n.cfg.Load().Probe
	for _, m := range n.list.Members() {
		if p, ok := processOf(m.Name); ok && p != n.process && !alone {
			s.Reached = append(s.Reached, p)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.suspected {
		s.Suspected = append(s.Suspected, p)
	}
	for p, d := range n.peerDigests {
		s.PeerDigest = append(s.PeerDigest, membership.PeerDigest{Process: p, Digest: d})
	}
	clear(n.suspected)
	clear(n.peerDigests)
	return s
}

func (n *Node) triggerReport() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// NotifyJoin is called when memberlist reaches a member.
func (n *Node) NotifyJoin(*memberlist.Node) { n.triggerReport() }

// NotifyLeave is called when memberlist no longer reaches a member.
func (n *Node) NotifyLeave(*memberlist.Node) { n.triggerReport() }

// NotifyUpdate does nothing, since members have no metadata.
func (n *Node) NotifyUpdate(*memberlist.Node) {}
