package ingest

import (
	"context"

	"foldlb.example/foldlb/internal/rpc"
)

// putResult is what one Put of one message came to.
type putResult int

const (
	putStored  putResult = iota
	putStale             // refused: owner or epoch are others than known here; nothing was stored
	putFull              // refused for want of room; nothing was stored
	putNotSent           // no connection was made; nothing was stored
	putUnknown           // it may have been stored
)

// answered reports whether a store said what it did with the message.
func (r putResult) answered() bool { return r == putStored || r == putStale || r == putFull }

// target is where and how a message is put.
type target struct {
	store *rpc.StoreMember
	epoch uint64
	mode  rpc.PutMode
}

// putOutcome reports the end of one Put.
type putOutcome struct {
	target target
	result putResult
}

// putter sends one message to stores. Calls outlive the request where it ends early, so nothing of the
// request's buffers is kept.
type putter struct {
	dispatcher *dispatcher
	message    *request
	under      uint64          // table of owners that was in force when the message began to be placed
	outcomes   chan putOutcome // has room for all tries
}

// start sends the message in the background, and the outcome to p.outcomes.
func (p *putter) start(name string, partition uint32, to target, configVersion uint64) {
	put := &rpc.PutRequest{
		Mode:          to.mode,
		ConfigVersion: configVersion,
		Messages:      []*rpc.Message{p.message.asMessage(name, partition, to.epoch)},
		Epochs:        []uint64{to.epoch},
		PlacedUnder:   p.under,
	}
	go func() {
		p.outcomes <- putOutcome{target: to, result: p.call(to, put)}
	}()
}

// call sends one Put and tells what it came to.
func (p *putter) call(to target, put *rpc.PutRequest) putResult {
	ctx, cancel := context.WithDeadline(context.Background(), p.message.deadline)
	defer cancel()
	health := p.dispatcher.health
	reply, err := p.dispatcher.cluster.Store(to.store.Address).Put(ctx, put)
	switch {
	case err == nil:
		health.succeeded(to.store.Address)
		return resultOf(reply)
	case neverSent(err):
		health.refused(to.store.Address)
		return putNotSent
	case ctx.Err() != nil:
		return putUnknown // silence was noted while it lasted
	default:
		health.broke(to.store.Address, err)
		return putUnknown
	}
}

// resultOf reads the status of the only message of a Put.
func resultOf(reply *rpc.PutReply) putResult {
	if len(reply.Statuses) != 1 {
		return putUnknown
	}
	switch reply.Statuses[0] {
	case rpc.PutStatus_STORED:
		return putStored
	case rpc.PutStatus_STALE_EPOCH, rpc.PutStatus_NOT_OWNER:
		return putStale
	case rpc.PutStatus_FULL:
		return putFull
	default:
		return putUnknown
	}
}
