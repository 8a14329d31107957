package gossip

import (
	"context"
	"time"

	"foldlb.example/foldlb/internal/membership"
)

// ask has members say that this one is in touch with them: each is asked once in a second, where there is a lease or a floor. The time of
// a question is taken before it is sent, so that a process that is stopped at any point takes no answer for newer than it is.
func (n *Node) ask(ctx context.Context) {
	t := time.NewTicker(askEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		p := n.picture.Load()
		if p == nil || n.cfg.Load().Lease == 0 && len(p.Floors) == 0 {
			continue
		}
		for _, m := range n.list.Members() {
			if process, ok := processOf(m.Name); ok && process != n.process {
				n.send(m, message{Version: protocolVersion, Ask: &ask{Process: n.process, Sent: n.clock()}})
			}
		}
	}
}

// answer says to one that asks what is held here, as of the picture: never more than the reducer holds.
func (n *Node) answer(a ask) {
	p := n.picture.Load()
	if m := n.node(a.Process); m != nil && p != nil {
		n.send(m, message{Version: protocolVersion, Answer: &membership.Contact{Process: n.process, Asker: a.Process, Sent: a.Sent, Floors: p.FloorDigest, Established: p.Established}})
	}
}
