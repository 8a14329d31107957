package gossip

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foldlb.example/foldlb/internal/core"
)

// A configuration passes from a member that acts on it to one that asks: the question as a datagram, the answer over a connection.

const (
	givesAS  = 4 // answers a second, to whoever asks; the rest asks another member a second later
	mostGive = 8 // that wait
	hintsAS  = 8 // answers a second to those who ask for drains
)

// giving is a member's part in passing configurations on.
type giving struct {
	mu      sync.Mutex
	hints   float64 // answers to those who ask for drains that may be given now
	hintsAt time.Time
	queue   chan want
	taken   atomic.Pointer[func(core.ConfigHeld)]
}

// OnConfig has f told of configurations that were asked for and given, in no order and perhaps more than once. f must not block.
func (n *Node) OnConfig(f func(core.ConfigHeld)) { n.giving.taken.Store(&f) }

// fetch asks a member for the configuration that it acts on.
func (n *Node) fetch(e core.FetchConfig) {
	n.asking.Store(&e)
	if m := n.node(e.Process); m != nil {
		n.send(m, message{Version: protocolVersion, Want: &want{Process: n.process, Config: e.Config}})
	}
}

// asked takes a question in. Danger: after a change hundreds may ask at once, so there is a number that is answered in a second.
func (n *Node) asked(w want) {
	select {
	case n.giving.queue <- w:
	default:
		n.dropped.Add(1)
	}
}

// give answers questions until the context ends.
func (n *Node) give(ctx context.Context) {
	t := time.NewTicker(time.Second / givesAS)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		select {
		case w := <-n.giving.queue:
			n.giveTo(w)
		default:
		}
	}
}

func (n *Node) giveTo(w want) {
	held := n.held.Load()
	if held == nil || len(held.Shared) == 0 || held.Config != w.Config {
		return // it has gone on since; the asker will hear of it
	}
	text, err := packGiven(given{Config: held.Config, Member: n.cfg.Load().Name, Text: held.Shared})
	if err != nil {
		return
	}
	if m := n.node(w.Process); m != nil {
		if err := n.list.SendReliable(m, text); err != nil {
			n.log.WithError(err).Debug("fleet: a configuration that was asked for does not get through")
		}
	}
}

// giveHints tells one whose discovery is late which drains are known here. Danger: a discovery that is late for all has all of them ask, so
// there is a number that is answered in a second; who is not asks another one.
func (n *Node) giveHints(process uint64) {
	told, m := n.hints.Load(), n.node(process)
	if told == nil || len(*told) == 0 || m == nil {
		return
	}
	g := &n.giving
	g.mu.Lock()
	now := time.Now()
	g.hints = min(hintsAS, g.hints+now.Sub(g.hintsAt).Seconds()*hintsAS)
	g.hintsAt = now
	due := g.hints >= 1
	if due {
		g.hints--
	}
	g.mu.Unlock()
	if !due {
		n.dropped.Add(1)
		return
	}
	for some := range slices.Chunk(*told, hintsEach) {
		n.send(m, message{Version: protocolVersion, Hints: some})
	}
}

// given hears a configuration. Only one that was asked for counts.
func (n *Node) given(g given) {
	taken := n.giving.taken.Load()
	if w := n.asking.Load(); w == nil || w.Config != g.Config || taken == nil {
		n.dropped.Add(1)
		return
	}
	(*taken)(core.ConfigHeld{Config: g.Config, Shared: g.Text, By: g.Member})
}
