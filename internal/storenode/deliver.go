package storenode

import (
	"context"
	"time"

	"foldlb.example/foldlb/coord/applog"
	"foldlb.example/foldlb/internal/delivery"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	failedRetryDelay      = 100 * time.Millisecond // after an attempt that the worker failed
	unknownRetryDelay     = 30 * time.Millisecond  // after an attempt with unknown outcome; doubles with each, up to maxUnknownRetryDelay
	maxUnknownRetryDelay  = 500 * time.Millisecond
	notRunRetryDelay      = 20 * time.Millisecond  // after an attempt that did not run
	bodyRetryDelay        = 100 * time.Millisecond // after a body could not be read from any store
	defaultScheduleTarget = 500 * time.Millisecond // for messages whose route is gone
	defaultMaxFailures    = 3                      // failed attempts until a message becomes a dead letter, unless its route says otherwise
)

// scheduleAttempts starts attempts for due messages, as many as the limits of their routes allow, and sets the timer for the next message.
func (n *Node) scheduleAttempts() {
	if !n.hasRequiredConfig() || !n.mayDeliver() {
		n.setTimer(n.now() + 50*time.Millisecond)
		return
	}
	now := n.now()
	n.table.Advance(now)
	n.table.EachWaitingRoute(func(name string, waiting, running int) {
		limit, scheduleTarget := 1, defaultScheduleTarget
		if route, ok := n.view.Table.Route(name); ok {
			limit, scheduleTarget = n.attemptLimits[route.Name], time.Duration(route.ScheduleTargetMs)*time.Millisecond
		}
		for ; running < limit; running++ {
			entry := n.table.StartNext(name, scheduleTarget, now)
			if entry == nil {
				return
			}
			n.beginAttempt(entry)
		}
	})
	if due, ok := n.table.NextDue(); ok {
		n.setTimer(due)
	}
}

// mayDeliver reports whether messages may be sent to workers now: the lease is valid, and the configuration in force was recently confirmed
// as the newest one. Otherwise a change of routes that the control plane has already acknowledged might be missing here. It is safe for
// concurrent use.
func (n *Node) mayDeliver() bool {
	return n.cluster.LeaseValid() && n.cluster.ConfigConfirmed(n.configVersion.Load())
}

// setTimer schedules the next scheduleAttempts for the given time at the latest.
func (n *Node) setTimer(at time.Duration) {
	if n.timerAt != 0 && n.timerAt <= at {
		return
	}
	n.timerAt = at
	n.timer.Reset(max(time.Millisecond, at-n.now()))
}

// beginAttempt starts one attempt of a message that the table has marked as running.
func (n *Node) beginAttempt(entry *message.Entry) {
	if n.routeOf(entry) == nil {
		n.finishMessage(entry, rpc.State_DEAD, "")
		return
	}
	if entry.Body != nil || entry.BodyBytes == 0 {
		n.submit(entry, entry.Body)
		return
	}
	go n.loadBodyAndSubmit(entry, entry.Record, entry.Stored, append([]string(nil), entry.Holders...))
}

// loadBodyAndSubmit reads the body from the log or from another holder, then submits the attempt.
func (n *Node) loadBodyAndSubmit(entry *message.Entry, position applog.Position, stored bool, holders []string) {
	var body []byte
	found := false
	if stored {
		if m, err := n.readCopy(recordRef{entry: entry, record: position}); err == nil {
			body, found = m.Body, true
		}
	}
	var fetched *rpc.Message
	if !found {
		if fetched = n.fetchFromHolders(entry.Name, holders); fetched != nil {
			body, found = fetched.Body, true
		}
	}
	n.post(func() {
		if fetched != nil && !entry.Ended() {
			n.appendFetched(entry, fetched)
		}
		if !found {
			n.table.Requeue(entry, n.now()+bodyRetryDelay, n.now())
			n.attemptEnded(entry)
			return
		}
		n.submit(entry, body)
	})
}

// fetchFromHolders fetches a message from the first of the disks that returns it, or returns nil.
func (n *Node) fetchFromHolders(name string, holders []string) *rpc.Message {
	for _, disk := range holders {
		peer := n.peers.get(disk)
		if peer == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), putTimeout)
		reply, err := n.cluster.Store(peer.address).Fetch(ctx, &rpc.FetchRequest{Names: []string{name}})
		cancel()
		if err == nil && len(reply.Messages) == 1 && reply.Messages[0].Name == name {
			return reply.Messages[0]
		}
	}
	return nil
}

// appendFetched writes a message fetched from another store to this store's log.
func (n *Node) appendFetched(entry *message.Entry, m *rpc.Message) {
	if entry.HasLocalCopy() || n.table.Get(entry.Name) != entry {
		return
	}
	if n.appendMessage(entry, withBody(entry.Message(n.now()), m.Body)) == rpc.PutStatus_STORED {
		n.file.RequestSync(n.reportDiskError)
	}
}

// Fetch implements rpc.Store: it returns those of the named messages that this store's log holds.
func (n *Node) Fetch(_ context.Context, request *rpc.FetchRequest) (*rpc.FetchReply, error) {
	reply := &rpc.FetchReply{}
	for _, name := range request.Names {
		if m := n.readStored(name); m != nil {
			reply.Messages = append(reply.Messages, m)
		}
	}
	return reply, nil
}

// readStored reads a message with its body from this store's log. It returns nil if the log does not hold it.
func (n *Node) readStored(name string) *rpc.Message {
	var ref recordRef
	var current *rpc.Message
	n.do(func() {
		if entry := n.table.Get(name); entry != nil && entry.Stored {
			ref = recordRef{entry: entry, record: entry.Record}
			current = entry.Message(n.now())
		}
	})
	if current == nil {
		return nil
	}
	m, err := n.readCopy(ref)
	if err != nil {
		return nil
	}
	return withBody(current, m.Body)
}

// submit passes an attempt to the delivery engine.
func (n *Node) submit(entry *message.Entry, body []byte) {
	route := n.routeOf(entry)
	if route == nil { // it was dropped while the body was read
		n.table.Requeue(entry, n.now(), n.now())
		n.attemptEnded(entry)
		return
	}
	epoch := n.table.OwnedEpoch(entry.Partition)
	job := &delivery.Job{Name: entry.Name, Route: route.Name, Method: entry.Method, Path: entry.Path, Host: entry.Host,
		RequestID: entry.RequestID, OrderKey: entry.OrderKey, ContentType: entry.ContentType, Body: body}
	guard := func() bool {
		return epoch > 0 && n.attemptEpochs[entry.Partition].Load() == epoch && n.mayDeliver()
	}
	n.engine.Submit(job, guard, func(outcome delivery.Outcome) {
		n.post(func() { n.outcome(entry, outcome) })
	})
}

// outcome processes the outcome of an attempt.
func (n *Node) outcome(entry *message.Entry, outcome delivery.Outcome) {
	now := n.now()
	switch outcome.Kind {
	case delivery.Succeeded:
		n.finishMessage(entry, rpc.State_COMPLETED, outcome.Stamp)
		return
	case delivery.Rejected:
		n.finishMessage(entry, rpc.State_DEAD, "")
		return
	case delivery.FailedAttempt:
		entry.Attempts++
		if int(entry.Attempts) >= n.maxFailures(entry) {
			n.finishMessage(entry, rpc.State_DEAD, "")
			return
		}
		n.table.Requeue(entry, now+failedRetryDelay, now)
		n.publishFate(entry)
	case delivery.NotRun:
		n.table.Requeue(entry, now+max(notRunRetryDelay, outcome.RetryAfter), now)
	default:
		entry.Retries++
		delay := min(unknownRetryDelay<<min(entry.Retries, 5), maxUnknownRetryDelay)
		n.table.Requeue(entry, now+delay, now)
	}
	if entry.Due-now > maxCachedDelay || n.table.LiveBytes() > maxCachedBodyBytes {
		entry.Body = nil
	}
	n.attemptEnded(entry)
}

// maxFailures returns how many failed attempts make a message a dead letter: what was promised, or more if its route now allows more.
func (n *Node) maxFailures(entry *message.Entry) int {
	failures := int(entry.Promise.Retries)
	if route := n.routeOf(entry); route != nil {
		failures = max(failures, route.Retries)
	}
	if failures == 0 {
		return defaultMaxFailures
	}
	return failures
}

// attemptEnded schedules the messages that may run now that an attempt has ended, and releases the partition if it is waiting for that.
func (n *Node) attemptEnded(entry *message.Entry) {
	n.schedulePending = true
	if n.attemptEpochs[entry.Partition].Load() == 0 {
		n.releasePaused()
	}
}

// finishMessage sets the final state of a message after an attempt and publishes it.
func (n *Node) finishMessage(entry *message.Entry, state rpc.State, stamp string) {
	n.table.FinishAttempt(entry, state, stamp, n.now())
	n.publishFate(entry)
	n.attemptEnded(entry)
}
