package gossip

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"foldlb.example/foldlb/internal/core"
)

// A member requests a configuration by a datagram from one that applies it; the reply is sent over a connection.

const (
	configRepliesPerS = 4 // in total; a member without a reply asks another member a second later
	maxQueuedRequests = 8 // waiting requests
	hintRepliesPerS   = 8 // replies to requests for drain hints
)

// configServer serves configuration and hint requests.
type configServer struct {
	mu       sync.Mutex
	hints    float64 // replies with drain hints that may be sent now
	hintsAt  time.Time
	queue    chan configRequest
	onConfig atomic.Pointer[func(core.ConfigHeld)]
}

// OnConfig sets the function that receives requested configurations, in any order and possibly more than once. f must not block.
func (n *Node) OnConfig(f func(core.ConfigHeld)) { n.configServer.onConfig.Store(&f) }

// requestConfig requests the configuration that a member applies.
func (n *Node) requestConfig(e core.FetchConfig) {
	n.requestedConfig.Store(&e)
	if m := n.node(e.Process); m != nil {
		n.send(m, message{Version: protocolVersion, ConfigRequest: &configRequest{Process: n.process, Config: e.Config}})
	}
}

// enqueueConfigRequest queues a request, or drops it if the queue is full. Replies are rate-limited since after a change hundreds of
// members may ask at once.
func (n *Node) enqueueConfigRequest(request configRequest) {
	select {
	case n.configServer.queue <- request:
	default:
		n.dropped.Add(1)
	}
}

// serveConfigs replies to configuration requests until the context ends.
func (n *Node) serveConfigs(ctx context.Context) {
	t := time.NewTicker(time.Second / configRepliesPerS)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		select {
		case w := <-n.configServer.queue:
			n.sendConfig(w)
		default:
		}
	}
}

func (n *Node) sendConfig(request configRequest) {
	held := n.held.Load()
	if held == nil || len(held.Shared) == 0 || held.Config != request.Config {
		return // this member applies another configuration by now; the other one will be notified
	}
	text, err := encodeConfigReply(configReply{Config: held.Config, Member: n.cfg.Load().Name, Text: held.Shared})
	if err != nil {
		return
	}
	if m := n.node(request.Process); m != nil {
		if err := n.list.SendReliable(m, text); err != nil {
			n.log.WithError(err).Debug("fleet: cannot send a requested configuration")
		}
	}
}

// sendHints sends the known drains to a member whose route set is outdated. Replies are rate-limited, since if discovery is late for all
// members, all of them ask; a member without a reply asks another one.
func (n *Node) sendHints(process uint64) {
	known, m := n.hints.Load(), n.node(process)
	if known == nil || len(*known) == 0 || m == nil {
		return
	}
	g := &n.configServer
	g.mu.Lock()
	now := time.Now()
	g.hints = min(hintRepliesPerS, g.hints+now.Sub(g.hintsAt).Seconds()*hintRepliesPerS)
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
	for some := range slices.Chunk(*known, hintsPerDatagram) {
		n.send(m, message{Version: protocolVersion, Hints: some})
	}
}

// configReply handles a configuration reply. Replies that weren't requested are dropped.
func (n *Node) configReply(reply configReply) {
	handler := n.configServer.onConfig.Load()
	if requested := n.requestedConfig.Load(); requested == nil || requested.Config != reply.Config || handler == nil {
		n.dropped.Add(1)
		return
	}
	(*handler)(core.ConfigHeld{Config: reply.Config, Shared: reply.Text, By: reply.Member})
}
