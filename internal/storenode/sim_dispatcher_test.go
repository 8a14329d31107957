package storenode

import (
	"context"
	"fmt"
	"slices"
	"time"

	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	simBypassDelay      = 40 * time.Millisecond   // after which a dispatcher bypasses an owner that does not answer
	simDispatchDeadline = 2500 * time.Millisecond // after which a client gives up
)

// dispatch handles one message from the client's request to the answer, as internal/ingest does.
type dispatch struct {
	world         *world
	message       *sentMessage
	maybeStored   bool
	pendingPuts   int
	placedUnder   uint64 // map version in force at the start
	answers       chan putAnswer
	bypassedEpoch uint64 // epoch under which the message was written to holders
	holderCount   int    // holders that have stored it under that epoch
}

// putAnswer is the result of one Put.
type putAnswer struct {
	mode   rpc.PutMode
	epoch  uint64
	status rpc.PutStatus
	err    error
}

// run sends the message until it is accepted or the deadline has passed, and records the result.
func (d *dispatch) run() {
	w := d.world
	ctx, cancel := context.WithTimeout(w.ctx, simDispatchDeadline)
	defer cancel()
	d.answers = make(chan putAnswer, 64)
	d.placedUnder = w.control.currentMapVersion()
	var askedEpoch uint64
	var askedAt time.Time
	for ctx.Err() == nil {
		view, _ := w.control.current()
		owner, epoch, ok := view.Owner(d.message.partition)
		if ok && (epoch > askedEpoch || d.pendingPuts == 0 && time.Since(askedAt) > 100*time.Millisecond) {
			askedEpoch, askedAt = epoch, time.Now()
			d.put(ctx, owner.Address, rpc.PutMode_OWNER, epoch, view.ConfigVersion)
		}
		if ok && d.pendingPuts > 0 && time.Since(askedAt) >= simBypassDelay && d.message.key == "" && d.bypassedEpoch < epoch {
			d.bypassOwner(ctx, view, owner, epoch)
		}
		select {
		case answer := <-d.answers:
			if d.handleAnswer(answer) {
				w.checker.recordAccepted(d.message.name)
				return
			}
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	for d.pendingPuts > 0 && w.ctx.Err() == nil {
		if d.handleAnswer(<-d.answers) {
			w.checker.recordAccepted(d.message.name)
			return
		}
	}
	if !d.maybeStored {
		w.checker.recordRefused(d.message.name)
	}
}

// bypassOwner writes the message to stores other than the owner.
func (d *dispatch) bypassOwner(ctx context.Context, view *cluster.View, owner *rpc.StoreMember, epoch uint64) {
	d.bypassedEpoch, d.holderCount = epoch, 0
	stores := slices.Clone(view.Stores())
	start := int(d.world.drawRandom(d.message.name, "holders") * float64(len(stores)))
	count := 0
	for i := range stores {
		store := stores[(start+i)%len(stores)]
		if store.Node == owner.Node || count > d.world.scale.tolerance {
			continue
		}
		count++
		d.put(ctx, store.Address, rpc.PutMode_HOLDER, epoch, view.ConfigVersion)
	}
}

func (d *dispatch) put(ctx context.Context, address string, mode rpc.PutMode, epoch, version uint64) {
	m := d.message
	request := &rpc.PutRequest{Mode: mode, ConfigVersion: version, PlacedUnder: d.placedUnder, Epochs: []uint64{epoch}, Messages: []*rpc.Message{{
		Name: m.name, Partition: m.partition, Route: m.route, Method: "POST", Path: "/" + m.route, Host: "h",
		RequestId: m.name, OrderKey: m.key, Body: m.body, Epoch: epoch, AgeMs: time.Since(m.firstSentAt).Milliseconds(),
		DelayLeftMs: max(0, (m.delay-time.Since(m.firstSentAt)).Milliseconds()+1)}}}
	if mode == rpc.PutMode_OWNER && m.delay == 0 || m.delay == 0 {
		request.Messages[0].DelayLeftMs = 0
	}
	d.pendingPuts++
	client := &storeClient{world: d.world, from: clientName, address: address}
	go func() {
		answer := putAnswer{mode: mode, epoch: epoch}
		reply, err := client.Put(ctx, request)
		answer.err = err
		if err == nil {
			answer.status = reply.Statuses[0]
		}
		d.answers <- answer
	}()
}

// handleAnswer processes the result of a Put. It reports whether the message is accepted.
func (d *dispatch) handleAnswer(answer putAnswer) bool {
	d.pendingPuts--
	if answer.err != nil {
		d.maybeStored = d.maybeStored || answer.err != errRefused
		return false
	}
	switch answer.status {
	case rpc.PutStatus_STORED:
		d.maybeStored = true
		if answer.mode == rpc.PutMode_OWNER {
			return true
		}
		if answer.epoch == d.bypassedEpoch {
			d.holderCount++
		}
		return d.holderCount > d.world.scale.tolerance
	case rpc.PutStatus_FAILED:
		d.maybeStored = true
	}
	return false
}

// send starts to send one message of the load.
func (w *world) send(number int) {
	m := &sentMessage{name: fmt.Sprintf("m%d", number), firstSentAt: time.Now(), outcomeDraw: w.random.Float64(), route: "plain"}
	m.body = make([]byte, 30+w.random.IntN(900))
	for i := range m.body {
		m.body[i] = byte(w.random.Uint32())
	}
	m.partition = uint32(w.random.IntN(w.scale.partitions))
	switch x := w.random.Float64(); {
	case x < 0.5:
		key := w.random.IntN(12)
		m.route, m.key = "fifo", fmt.Sprintf("k%d", key)
		m.partition = message.PartitionForKey(m.key, uint32(w.scale.partitions))
	case x < 0.55:
		m.route = "short"
	case x < 0.6:
		m.route = "dropped"
	case x < 0.7:
		m.delay = time.Duration(w.random.IntN(4000)) * time.Millisecond
	}
	if m.route == "dropped" && !w.checker.routeDroppedAt.IsZero() {
		m.route = "plain"
	}
	w.checker.add(m)
	w.requests.Go((&dispatch{world: w, message: m}).run)
}

// lookup asks the owner of a message, then all other stores, as a dispatcher does.
func (w *world) lookup(m *sentMessage, body bool) *rpc.LookupReply {
	ctx, cancel := context.WithTimeout(w.ctx, 2*time.Second)
	defer cancel()
	best := &rpc.LookupReply{}
	view, _ := w.control.current()
	stores := slices.Clone(view.Stores())
	if owner, _, ok := view.Owner(m.partition); ok {
		stores = slices.Insert(stores, 0, owner)
	}
	for _, store := range stores {
		client := &storeClient{world: w, from: clientName, address: store.Address}
		reply, err := client.Lookup(ctx, &rpc.LookupRequest{Name: m.name, Body: body})
		if err != nil || !reply.Found {
			continue
		}
		if !best.Found || !best.HasBody && reply.HasBody || best.State == rpc.State_QUEUED && reply.State != rpc.State_QUEUED {
			best = reply
		}
		if best.State != rpc.State_QUEUED || body && best.HasBody || !body && best.Owner {
			break
		}
	}
	return best
}
