package ingest

import (
	"context"

	"foldlb.example/foldlb/internal/rpc"
)

// putResult is the result of one Put of one message.
type putResult int

const (
	putStored  putResult = iota
	putStale             // rejected: another owner or epoch than in this view; nothing was stored
	putFull              // rejected for lack of space; nothing was stored
	putNotSent           // no connection could be made; nothing was stored
	putUnknown           // the store may have stored the message
)

// answered reports whether the store responded with what it did with the message.
func (r putResult) answered() bool { return r == putStored || r == putStale || r == putFull }

// target is the destination of a Put.
type target struct {
	store *rpc.StoreMember
	epoch uint64
	mode  rpc.PutMode
}

// putOutcome is the result of a Put and its destination.
type putOutcome struct {
	target target
	result putResult
}

// putter sends one message to stores. A call may outlive the request, so it must not refer to the server's
// buffers.
type putter struct {
	dispatcher  *dispatcher
	message     *request
	placedUnder uint64          // map version when placement of the message began
	outcomes    chan putOutcome // has capacity for all Puts of the message
}

// start sends the message in the background. The outcome goes to p.outcomes.
func (p *putter) start(name string, partition uint32, to target, configVersion uint64) {
	put := &rpc.PutRequest{
		Mode:          to.mode,
		ConfigVersion: configVersion,
		Messages:      []*rpc.Message{p.message.toMessage(name, partition, to.epoch)},
		Epochs:        []uint64{to.epoch},
		PlacedUnder:   p.placedUnder,
	}
	go func() {
		p.outcomes <- putOutcome{target: to, result: p.call(to, put)}
	}()
}

// call makes one Put, records the store's health and returns the result.
func (p *putter) call(to target, put *rpc.PutRequest) putResult {
	ctx, cancel := context.WithDeadline(context.Background(), p.message.deadline)
	defer cancel()
	health := p.dispatcher.health
	reply, err := p.dispatcher.cluster.Store(to.store.Address).Put(ctx, put)
	switch {
	case err == nil:
		health.recordSuccess(to.store.Address)
		return putResultOf(reply)
	case isDialError(err):
		health.recordRefused(to.store.Address)
		return putNotSent
	case ctx.Err() != nil:
		return putUnknown // recordTimeout was called while the Put was in progress
	default:
		health.recordError(to.store.Address, err)
		return putUnknown
	}
}

// putResultOf maps the status in the reply to a Put of one message.
func putResultOf(reply *rpc.PutReply) putResult {
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
