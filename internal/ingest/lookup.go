package ingest

import (
	"context"
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"foldlb.example/foldlb/internal/cluster"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	lookupTimeout  = 700 * time.Millisecond
	ownerHeadStart = 150 * time.Millisecond // before the other stores are asked too
)

// found is what the stores know of a message.
type found struct {
	reply  *rpc.LookupReply // the best answer; nil for none
	silent int              // stores that did not answer
	asked  int
}

// lookupAnswer is the answer of one store; reply is nil where there was none.
type lookupAnswer struct {
	reply *rpc.LookupReply
}

// lookup asks the owner of a message, and all other stores where the owner does not settle it.
func (d *dispatcher) lookup(name string, partition uint32, body bool) found {
	view := d.cluster.View()
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout+ownerHeadStart)
	defer cancel()
	query := &lookupQuery{
		dispatcher: d,
		request:    &rpc.LookupRequest{Name: name, Body: body},
		answers:    make(chan lookupAnswer, len(view.Stores())),
	}
	owner, _, owned := view.Owner(partition)
	if owned {
		query.ask(ctx, owner.Address)
	}
	query.wait(ctx, ownerHeadStart)
	if query.settled() {
		return query.found
	}
	query.askOthers(ctx, view, owner)
	query.wait(ctx, lookupTimeout)
	return query.found
}

// lookupQuery asks several stores about one message. It belongs to one goroutine.
type lookupQuery struct {
	dispatcher *dispatcher
	request    *rpc.LookupRequest
	answers    chan lookupAnswer // has room for all
	pending    int
	found      found
}

func (q *lookupQuery) ask(ctx context.Context, address string) {
	q.pending++
	q.found.asked++
	q.found.silent++
	store := q.dispatcher.cluster.Store(address)
	go func() {
		reply, err := store.Lookup(ctx, q.request)
		if err != nil {
			reply = nil
		}
		q.answers <- lookupAnswer{reply: reply}
	}()
}

func (q *lookupQuery) askOthers(ctx context.Context, view *cluster.View, owner *rpc.StoreMember) {
	for _, store := range view.Stores() {
		if owner == nil || store.Node != owner.Node {
			q.ask(ctx, store.Address)
		}
	}
}

// wait takes answers until all have come, one settles it, or the time is over.
func (q *lookupQuery) wait(ctx context.Context, bound time.Duration) {
	timer := time.NewTimer(bound)
	defer timer.Stop()
	for q.pending > 0 && !q.settled() {
		select {
		case answer := <-q.answers:
			q.take(answer.reply)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// take keeps the better of the answers.
func (q *lookupQuery) take(reply *rpc.LookupReply) {
	q.pending--
	if reply == nil {
		return
	}
	q.found.silent--
	if q.rank(reply) > q.rank(q.found.reply) {
		q.found.reply = reply
	}
}

// rank orders answers: those that have ended first, then the owner's, then any that found it. For a body, an
// answer that has it goes before all others.
func (q *lookupQuery) rank(reply *rpc.LookupReply) int {
	const bodyRank, endedRank, ownerRank, foundRank = 8, 4, 2, 1
	if !reply.GetFound() {
		return 0
	}
	rank := foundRank
	if q.request.Body && reply.HasBody {
		rank += bodyRank
	}
	if reply.State != rpc.State_QUEUED {
		rank += endedRank
	}
	if reply.Owner {
		rank += ownerRank
	}
	return rank
}

// settled reports whether no other store can know better.
func (q *lookupQuery) settled() bool {
	reply := q.found.reply
	if !reply.GetFound() {
		return false
	}
	if q.request.Body {
		return reply.HasBody
	}
	return reply.Owner || reply.State != rpc.State_QUEUED
}

// messageState is the answer to a question for a message's state.
type messageState struct {
	State string `json:"state"`
	Stamp string `json:"stamp,omitempty"`
}

// stateName is how a state is written for clients.
func stateName(state rpc.State) string {
	switch state {
	case rpc.State_COMPLETED:
		return "completed"
	case rpc.State_DEAD:
		return "dead_letter"
	default:
		return "queued"
	}
}

// handleState answers GET /api/message/ID.
func (d *dispatcher) handleState(ctx *fasthttp.RequestCtx, name string) {
	result, ok := d.answerable(ctx, name, false)
	if !ok {
		return
	}
	state := messageState{State: stateName(result.reply.State)}
	if result.reply.State == rpc.State_COMPLETED {
		state.Stamp = result.reply.Stamp
	}
	body, err := json.Marshal(state)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(contentJSON)
	ctx.SetBody(body)
}

// handleBody answers GET /api/message-body/ID.
func (d *dispatcher) handleBody(ctx *fasthttp.RequestCtx, name string) {
	result, ok := d.answerable(ctx, name, true)
	if !ok {
		return
	}
	switch {
	case result.reply.HasBody:
		ctx.SetContentType(contentBinary)
		ctx.SetBody(result.reply.Body)
	case result.reply.State == rpc.State_COMPLETED:
		ctx.SetStatusCode(fasthttp.StatusNotFound) // the bytes of a completed message are not kept
	default:
		refuse(ctx)
	}
}

// answerable looks a message up, and answers itself where it is not found: 404 if every store says so, else 503.
func (d *dispatcher) answerable(ctx *fasthttp.RequestCtx, name string, body bool) (found, bool) {
	partition, ok := partitionOf(name)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return found{}, false
	}
	if !d.load.enter(0) {
		refuse(ctx)
		return found{}, false
	}
	defer d.load.leave(0)
	result := d.lookup(name, partition, body)
	d.lookups.asked.Inc()
	switch {
	case result.reply.GetFound():
		return result, true
	case result.asked == 0 || result.silent > 0:
		d.lookups.unsure.Inc()
		refuse(ctx)
	default:
		d.lookups.unknown.Inc()
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
	return found{}, false
}
