package gossip

import (
	"context"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"foldlb.example/foldlb/internal/altered"
	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/membership"
)

type packed struct {
	digest uint64
	at     time.Time
	text   []byte
}

// exchange tells and hears everything, with members whose digests differ from this one's.
func (n *Node) exchange(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case addr := <-n.sync:
			n.list.Join([]string{addr})
		}
	}
}

// The library's delegates.

// NodeMeta tells nothing: the view says it all.
func (n *Node) NodeMeta(int) []byte { return nil }

// NotifyMsg takes what another member tells.
func (n *Node) NotifyMsg(text []byte) { n.hear(text) }

func (n *Node) hear(text []byte) {
	p, err := unpack(text)
	if err != nil {
		if n.foreign.Add(1)&(n.foreign.Load()-1) == 0 { // at 1, 2, 4, 8 ...
			n.log.WithError(err).WithField("count", n.foreign.Load()).Warn("fleet: news that can't be read")
		}
		return
	}
	if len(p.Records) > 0 {
		n.post(core.FleetTold{Records: p.Records})
	}
	if len(p.Floors) > 0 {
		n.post(core.FleetFloored{Floors: p.Floors})
	}
	if p.Ask != nil {
		n.answer(*p.Ask)
	}
	if p.Answer != nil {
		n.post(core.FleetContacted{Contact: *p.Answer})
	}
	if p.Want != nil {
		n.asked(*p.Want)
	}
	if p.Behind != nil {
		n.giveHints(p.Behind.Process)
	}
	if p.Given != nil {
		n.given(*p.Given)
	}
	if len(p.Hints) > 0 && !altered.Is("deaf to drains") {
		n.post(core.FleetHinted{Hints: p.Hints})
	}
}

// GetBroadcasts gives what is to be told with the library's own messages.
func (n *Node) GetBroadcasts(overhead, limit int) [][]byte {
	return n.queue.GetBroadcasts(overhead, limit)
}

// LocalState is everything, for an exchange.
func (n *Node) LocalState(bool) []byte {
	p := n.picture.Load()
	if p == nil {
		return nil
	}
	if held := n.packed.Load(); held != nil && held.digest == p.Digest && time.Since(held.at) < time.Second {
		return held.text
	}
	floors := slices.Clone(p.Floors)
	for i := range floors {
		floors[i].Age += max(0, n.clock()-p.FloorsAt)
	}
	var hints []core.Hint
	if told := n.hints.Load(); told != nil {
		hints = *told
	}
	text, err := packAll(p.SyncRecords(), floors, hints)
	if err != nil {
		return nil
	}
	n.packed.Store(&packed{p.Digest, time.Now(), text})
	return text
}

// MergeRemoteState takes everything that another member tells.
func (n *Node) MergeRemoteState(text []byte, _ bool) {
	if len(text) > 0 {
		n.hear(text)
	}
}

// AckPayload goes with each answer to a question: the digest of what is held here.
func (n *Node) AckPayload() []byte {
	p := n.picture.Load()
	if p == nil {
		return nil
	}
	return digestText(p.Digest)
}

// NotifyPingComplete hears what another member holds. Where that differs, both tell each other everything.
func (n *Node) NotifyPingComplete(other *memberlist.Node, _ time.Duration, payload []byte) {
	digest, ok := digestOf(payload)
	process, named := processOf(other.Name)
	p := n.picture.Load()
	if !ok || !named || p == nil {
		return
	}
	n.mu.Lock()
	n.heard[process] = digest
	due := digest != p.Digest && time.Since(n.synced[process]) > syncPause
	if due {
		n.synced[process] = time.Now()
		if len(n.synced) > 2*membership.MaxMembers {
			clear(n.synced)
		}
	}
	n.mu.Unlock()
	if due {
		select {
		case n.sync <- other.Address():
		default:
		}
	}
}

// news is a record on its way, or hints, which have no key. A newer record of the same member takes its place.
type news struct {
	key  string
	text []byte
}

func (b *news) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(*news)
	return ok && b.key != "" && other.key == b.key
}

func (b *news) Message() []byte { return b.text }

func (b *news) Finished() {}
