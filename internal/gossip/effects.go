package gossip

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/membership"
)

// Perform carries out an effect of the reducer's. It does not block.
func (n *Node) Perform(e core.Effect) {
	switch e := e.(type) {
	case core.FleetNews:
		for _, r := range e.Records {
			if text, err := pack([]membership.Record{r}); err == nil {
				n.queue.QueueBroadcast(&news{key: r.Key.String(), text: text})
			}
		}
	case core.FloorsNews:
		if text, err := packAll(nil, e.Floors, nil); err == nil {
			n.queue.QueueBroadcast(&news{text: text})
		}
	case core.HintsNews:
		for some := range slices.Chunk(e.Hints, hintsEach) {
			if text, err := packHints(some); err == nil {
				n.queue.QueueBroadcast(&news{text: text})
			}
		}
	case core.ConfigHeld:
		n.held.Store(&e)
	case core.FetchConfig:
		n.fetch(e)
	case core.AskHints:
		if m := n.node(e.Process); m != nil {
			n.send(m, message{Version: protocolVersion, Behind: &behind{Process: n.process}})
		}
	case core.FleetPictured:
		n.picture.Store(&e.Picture)
		n.hints.Store(&e.Hints)
		for _, m := range e.Picture.Members {
			if m.Self && m.State == membership.Left && !n.ended {
				n.ended = true
				close(n.left)
			}
		}
		n.logChanges(e)
	}
}

// logChanges writes what is new in a picture to the log. Danger: a large fleet that comes up, or flaps, would fill it, so only so many lines are
// written.
func (n *Node) logChanges(e core.FleetPictured) {
	now := time.Now()
	n.lines = min(mostLines, n.lines+now.Sub(n.linesAt).Seconds()*linesAS)
	n.linesAt = now
	for _, c := range e.Fresh {
		if n.lines < 1 {
			n.unlogged++
			continue
		}
		n.lines--
		if n.unlogged > 0 {
			n.log.WithField("changes", n.unlogged).Info("fleet: more changed than is logged; see fleet events")
			n.unlogged = 0
		}
		n.log.WithFields(logrus.Fields{"member": c.Key.Name, "addr": c.Key.Addr, "what": c.What, "why": c.Why,
			"acting": e.Picture.Acting, "reached": e.Picture.Reached}).Info("fleet")
	}
}
