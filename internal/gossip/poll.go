package gossip

import (
	"context"
	"time"

	"foldlb.example/foldlb/internal/membership"
)

// poll sends a lease query to each member every pollInterval if there is a lease or a floor. The time is read before the query is sent,
// so a process that is stopped in between doesn't consider the reply newer than it is.
func (n *Node) poll(ctx context.Context) {
	t := time.NewTicker(pollInterval)
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
				n.send(m, message{Version: protocolVersion, Poll: &poll{Process: n.process, Sent: n.clock()}})
			}
		}
	}
}

// replyToPoll replies with the floors of the latest picture, which never contains more than the reducer holds.
func (n *Node) replyToPoll(a poll) {
	p := n.picture.Load()
	m := n.node(a.Process)
	if m == nil || p == nil {
		return
	}
	reply := &membership.Contact{
		Process:     n.process,
		Asker:       a.Process,
		Sent:        a.Sent,
		Floors:      p.FloorDigest,
		Established: p.Established,
		Ages:        p.FloorAgesAt(n.clock()),
	}
	n.send(m, message{Version: protocolVersion, PollReply: reply})
}
