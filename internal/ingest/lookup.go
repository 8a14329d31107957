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
	ownerHeadStart = 150 * time.Millisecond // before the other stores are queried too
)

// lookupResult is what the stores know about a message.
type lookupResult struct {
	reply      *rpc.LookupReply // the best reply; nil if none
	unanswered int              // stores that have not replied
	queries    int
}

// lookupResponse is the response of one store; reply is nil if the call failed.
type lookupResponse struct {
	reply *rpc.LookupReply
}

// lookup queries the owner of a message, and all other stores if the owner's reply does not settle the query or
// takes longer than ownerHeadStart.
func (d *dispatcher) lookup(name string, partition uint32, body bool) lookupResult {
	view := d.cluster.View()
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout+ownerHeadStart)
	defer cancel()
	query := &lookupQuery{
		dispatcher: d,
		request:    &rpc.LookupRequest{Name: name, Body: body},
		responses:  make(chan lookupResponse, len(view.Stores())),
	}
	owner, _, owned := view.Owner(partition)
	if owned {
		query.query(ctx, owner.Address)
	}
	query.wait(ctx, ownerHeadStart)
	if query.settled() {
		return query.lookupResult
	}
	query.queryOthers(ctx, view, owner)
	query.wait(ctx, lookupTimeout)
	return query.lookupResult
}

// lookupQuery queries several stores about one message. Only one goroutine uses it.
type lookupQuery struct {
	dispatcher   *dispatcher
	request      *rpc.LookupRequest
	responses    chan lookupResponse // has capacity for all stores
	pending      int
	lookupResult lookupResult
}

func (q *lookupQuery) query(ctx context.Context, address string) {
	q.pending++
	q.lookupResult.queries++
	q.lookupResult.unanswered++
	store := q.dispatcher.cluster.Store(address)
	go func() {
		reply, err := store.Lookup(ctx, q.request)
		if err != nil {
			reply = nil
		}
		q.responses <- lookupResponse{reply: reply}
	}()
}

func (q *lookupQuery) queryOthers(ctx context.Context, view *cluster.View, owner *rpc.StoreMember) {
	for _, store := range view.Stores() {
		if owner == nil || store.Node != owner.Node {
			q.query(ctx, store.Address)
		}
	}
}

// wait collects responses until all have arrived, one settles the query, or the time is over.
func (q *lookupQuery) wait(ctx context.Context, bound time.Duration) {
	timer := time.NewTimer(bound)
	defer timer.Stop()
	for q.pending > 0 && !q.settled() {
		select {
		case response := <-q.responses:
			q.record(response.reply)
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// record keeps a reply if it is better than the best one so far.
func (q *lookupQuery) record(reply *rpc.LookupReply) {
	q.pending--
	if reply == nil {
		return
	}
	q.lookupResult.unanswered--
	if q.rank(reply) > q.rank(q.lookupResult.reply) {
		q.lookupResult.reply = reply
	}
}

// rank orders replies: final states first, then the owner's reply, then any that found the message. In a query
// for the body, a reply with the body ranks above all others.
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

// settled reports whether no other store can have a better reply.
func (q *lookupQuery) settled() bool {
	reply := q.lookupResult.reply
	if !reply.GetFound() {
		return false
	}
	if q.request.Body {
		return reply.HasBody
	}
	return reply.Owner || reply.State != rpc.State_QUEUED
}

// messageState is the response to a query for a message's state.
type messageState struct {
	State string `json:"state"`
	Stamp string `json:"stamp,omitempty"`
}

// stateName returns a state's name in the client API.
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
	result, ok := d.findMessage(ctx, name, false)
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
	result, ok := d.findMessage(ctx, name, true)
	if !ok {
		return
	}
	switch {
	case result.reply.HasBody:
		ctx.SetContentType(contentBinary)
		ctx.SetBody(result.reply.Body)
	case result.reply.State == rpc.State_COMPLETED:
		ctx.SetStatusCode(fasthttp.StatusNotFound) // the body of a completed message is not kept
	default:
		respondUnavailable(ctx)
	}
}

// findMessage looks a message up. If it is not found, findMessage responds itself: with 404 if every store
// replied that it does not know the message, otherwise with 503.
func (d *dispatcher) findMessage(ctx *fasthttp.RequestCtx, name string, body bool) (lookupResult, bool) {
	partition, ok := partitionOf(name)
	if !ok {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return lookupResult{}, false
	}
	if !d.limiter.acquire(0) {
		respondUnavailable(ctx)
		return lookupResult{}, false
	}
	defer d.limiter.release(0)
	result := d.lookup(name, partition, body)
	d.lookups.queries.Inc()
	switch {
	case result.reply.GetFound():
		return result, true
	case result.queries == 0 || result.unanswered > 0:
		d.lookups.unsure.Inc()
		respondUnavailable(ctx)
	default:
		d.lookups.unknown.Inc()
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
	return lookupResult{}, false
}
