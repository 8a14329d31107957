package gossip

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/membership"
)

// Perform carries out an effect of the reducer. It doesn't block.
func (n *Node) Perform(e core.Effect) {
	switch e := e.(type) {
	case core.FleetNews:
		for _, r := range e.Records {
			if text, err := encodeRecords([]membership.Record{r}); err == nil {
				n.queue.QueueBroadcast(&broadcast{key: r.Key.String(), text: text})
			}
		}
	case core.FloorsNews:
		if text, err := encodeState(nil, e.Floors, nil); err == nil {
			n.queue.QueueBroadcast(&broadcast{text: text})
		}
	case core.HintsNews:
		for some := range slices.Chunk(e.Hints, hintsPerDatagram) {
			if text, err := encodeHints(some); err == nil {
				n.queue.QueueBroadcast(&broadcast{text: text})
			}
		}
	case core.ConfigHeld:
		n.held.Store(&e)
	case core.FetchConfig:
		n.requestConfig(e)
	case core.AskHints:
		if m := n.node(e.Process); m != nil {
			n.send(m, message{Version: protocolVersion, HintsRequest: &hintsRequest{Process: n.process}})
		}
	case core.FleetPictured:
		n.picture.Store(&e.Picture)
		n.hints.Store(&e.Hints)
		for _, m := range e.Picture.Members {
			if m.Self && m.State == membership.Left && !n.leftClosed {
				n.leftClosed = true
				close(n.left)
			}
		}
		n.logChanges(e)
	}
}

// logChanges logs the changes that are new in a picture. The number of lines is limited, since a large fleet that starts or flaps would
// flood the log.
func (n *Node) logChanges(e core.FleetPictured) {
	now := time.Now()
	n.logTokens = min(maxLogBurst, n.logTokens+now.Sub(n.logTokensAt).Seconds()*logLinesPerS)
	n.logTokensAt = now
	for _, c := range e.Fresh {
		if n.logTokens < 1 {
			n.unloggedChanges++
			continue
		}
		n.logTokens--
		if n.unloggedChanges > 0 {
			n.log.WithField("changes", n.unloggedChanges).Info("fleet: further changes were not logged; see fleet events")
			n.unloggedChanges = 0
		}
		n.log.WithFields(logrus.Fields{"member": c.Key.Name, "addr": c.Key.Addr, "what": c.What, "why": c.Why,
			"acting": e.Picture.Acting, "reached": e.Picture.Reached}).Info("fleet")
	}
}
