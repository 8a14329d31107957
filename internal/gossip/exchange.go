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

// cachedState is the encoded full state of a view with this digest.
type cachedState struct {
	digest uint64
	at     time.Time
	text   []byte
}

// exchange performs full-state exchanges with members whose digests differ.
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

// memberlist's delegate methods.

// NodeMeta returns no metadata, since the records contain everything.
func (n *Node) NodeMeta(int) []byte { return nil }

// NotifyMsg handles a message from another member.
func (n *Node) NotifyMsg(text []byte) { n.handleMessage(text) }

func (n *Node) handleMessage(text []byte) {
	p, err := decodeMessage(text)
	if err != nil {
		if n.unreadable.Add(1)&(n.unreadable.Load()-1) == 0 { // at 1, 2, 4, 8 ...
			n.log.WithError(err).WithField("count", n.unreadable.Load()).Warn("fleet: cannot decode message")
		}
		return
	}
	if len(p.Records) > 0 {
		n.post(core.FleetTold{Records: p.Records})
	}
	if len(p.Floors) > 0 {
		n.post(core.FleetFloored{Floors: p.Floors})
	}
	if p.Poll != nil {
		n.replyToPoll(*p.Poll)
	}
	if p.PollReply != nil {
		n.post(core.FleetContacted{Contact: *p.PollReply})
	}
	if p.ConfigRequest != nil {
		n.enqueueConfigRequest(*p.ConfigRequest)
	}
	if p.HintsRequest != nil {
		n.sendHints(p.HintsRequest.Process)
	}
	if p.ConfigReply != nil {
		n.configReply(*p.ConfigReply)
	}
	if len(p.Hints) > 0 && !altered.Is("deaf to drains") {
		n.post(core.FleetHinted{Hints: p.Hints})
	}
}

// GetBroadcasts returns updates to piggyback on memberlist's messages.
func (n *Node) GetBroadcasts(overhead, limit int) [][]byte {
	return n.queue.GetBroadcasts(overhead, limit)
}

// LocalState returns the encoded full state for an exchange.
func (n *Node) LocalState(bool) []byte {
	p := n.picture.Load()
	if p == nil {
		return nil
	}
	if held := n.cachedState.Load(); held != nil && held.digest == p.Digest && time.Since(held.at) < time.Second {
		return held.text
	}
	floors := slices.Clone(p.Floors)
	for i := range floors {
		floors[i].Age += max(0, n.clock()-p.FloorsAt)
	}
	var hints []core.Hint
	if recent := n.hints.Load(); recent != nil {
		hints = *recent
	}
	text, err := encodeState(p.SyncRecords(), floors, hints)
	if err != nil {
		return nil
	}
	n.cachedState.Store(&cachedState{p.Digest, time.Now(), text})
	return text
}

// MergeRemoteState handles the full state of another member.
func (n *Node) MergeRemoteState(text []byte, _ bool) {
	if len(text) > 0 {
		n.handleMessage(text)
	}
}

// AckPayload returns the digest of the local view, sent with each ack of a probe.
func (n *Node) AckPayload() []byte {
	p := n.picture.Load()
	if p == nil {
		return nil
	}
	return encodeDigest(p.Digest)
}

// NotifyPingComplete records the digest that a member sent with its ack, and starts a full-state exchange if it differs.
func (n *Node) NotifyPingComplete(other *memberlist.Node, _ time.Duration, payload []byte) {
	digest, ok := decodeDigest(payload)
	process, named := processOf(other.Name)
	p := n.picture.Load()
	if !ok || !named || p == nil {
		return
	}
	n.mu.Lock()
	n.peerDigests[process] = digest
	due := digest != p.Digest && time.Since(n.syncedAt[process]) > minSyncInterval
	if due {
		n.syncedAt[process] = time.Now()
		if len(n.syncedAt) > 2*membership.MaxMembers {
			clear(n.syncedAt)
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

// broadcast is a queued record, or hints or floors, which have no key. A newer record of a member replaces a queued one.
type broadcast struct {
	key  string
	text []byte
}

func (b *broadcast) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(*broadcast)
	return ok && b.key != "" && other.key == b.key
}

func (b *broadcast) Message() []byte { return b.text }

func (b *broadcast) Finished() {}
