package storenode

import (
	"context"
	"time"

	"foldlb.example/foldlb/coord/applog"
	"foldlb.example/foldlb/internal/catalog"
	"foldlb.example/foldlb/internal/delivery"
	"foldlb.example/foldlb/internal/message"
	"foldlb.example/foldlb/internal/rpc"
)

const (
	failedPause    = 100 * time.Millisecond // after an attempt that the worker failed
	unknownPause   = 30 * time.Millisecond  // after an attempt whose outcome is not known, growing with each
	unknownMost    = 500 * time.Millisecond
	notRunPause    = 20 * time.Millisecond // after an attempt that did not run
	bodyPause      = 100 * time.Millisecond
	defaultAim     = 500 * time.Millisecond
	defaultRetries = 3
)

// pump begins attempts for messages that are due, as many as the limits of their routes allow, and sets the timer for the next.
func (n *Node) pump() {
	if n.view == nil || n.view.Config == nil || n.view.ConfigVersion < n.needs || !n.mayDeliver() {
		n.setTimer(n.now() + 50*time.Millisecond)
		return
	}
	now := n.now()
	n.table.Advance(now)
	n.table.EachWaitingRoute(func(name string, waiting, running int) {
		route := n.routeNamed(name)
		limit, aim := 1, defaultAim
		if route != nil {
			limit, aim = n.limits[route.Name], time.Duration(route.ScheduleTargetMs)*time.Millisecond
		}
		for ; running < limit; running++ {
			entry := n.table.StartNext(name, aim, now)
			if entry == nil {
				return
			}
			n.attempt(entry, route)
		}
	})
	if due, ok := n.table.NextDue(); ok {
		n.setTimer(due)
	}
}

// mayDeliver reports whether messages may be sent to workers at this moment: the lease holds, and the configuration in force here was confirmed
// lately as the newest one, so that no change has been acknowledged for long that leads them elsewhere. It is safe for concurrent use.
func (n *Node) mayDeliver() bool {
	return n.cluster.LeaseValid() && n.cluster.ConfigConfirmed(n.configVersion.Load())
}

// setTimer has pump called at the given time at the latest.
func (n *Node) setTimer(at time.Duration) {
	if n.timerAt != 0 && n.timerAt <= at {
		return
	}
	n.timerAt = at
	n.timer.Reset(max(time.Millisecond, at-n.now()))
}

// routeNamed returns the route of this name, or nil where the configuration has dropped it.
func (n *Node) routeNamed(name string) *catalog.Route {
	route, ok := n.view.Table.Route(name)
	if !ok {
		return nil
	}
	return route
}

// attempt begins one attempt of a message that was started in the table.
func (n *Node) attempt(entry *message.Entry, route *catalog.Route) {
	if route == nil {
		n.finish(entry, rpc.State_DEAD, "")
		return
	}
	if entry.Body != nil || entry.BodyBytes == 0 {
		n.submit(entry, entry.Body)
		return
	}
	go n.loadBody(entry, entry.Record, entry.Stored, append([]string(nil), entry.Holders...))
}

// loadBody reads the body from the log, or from another store that holds it, then sends the message.
func (n *Node) loadBody(entry *message.Entry, at applog.Position, stored bool, holders []string) {
	var body []byte
	found := false
	if stored {
		if m, err := n.readCopy(verified{entry: entry, record: at}); err == nil {
			body, found = m.Body, true
		}
	}
	var fetched *rpc.Message
	if !found {
		if fetched = n.fetch(entry.Name, holders); fetched != nil {
			body, found = fetched.Body, true
		}
	}
	n.post(func() {
		if fetched != nil && !entry.Ended() {
			n.keepFetched(entry, fetched)
		}
		if !found {
			n.table.Requeue(entry, n.now()+bodyPause, n.now())
			n.stopped(entry)
			return
		}
		n.submit(entry, body)
	})
}

// fetch asks the holders of a message for it.
func (n *Node) fetch(name string, holders []string) *rpc.Message {
	for _, disk := range holders {
		one := n.peers.get(disk)
		if one == nil {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), putWithin)
		reply, err := n.cluster.Store(one.address).Fetch(ctx, &rpc.FetchRequest{Names: []string{name}})
		cancel()
		if err == nil && len(reply.Messages) == 1 && reply.Messages[0].Name == name {
			return reply.Messages[0]
		}
	}
	return nil
}

// keepFetched writes a message that another store holds to this store's log.
func (n *Node) keepFetched(entry *message.Entry, m *rpc.Message) {
	if entry.HasLocalCopy() || n.table.Get(entry.Name) != entry {
		return
	}
	if n.write(entry, withBody(entry.Message(n.now()), m.Body)) == rpc.PutStatus_STORED {
		n.file.RequestSync(n.noteDisk)
	}
}

// Fetch implements rpc.Store.
func (n *Node) Fetch(_ context.Context, request *rpc.FetchRequest) (*rpc.FetchReply, error) {
	reply := &rpc.FetchReply{}
	for _, name := range request.Names {
		if m := n.stored(name); m != nil {
			reply.Messages = append(reply.Messages, m)
		}
	}
	return reply, nil
}

// stored reads a whole message from this store's log; nil where it holds none.
func (n *Node) stored(name string) *rpc.Message {
	var at verified
	var current *rpc.Message
	n.do(func() {
		if entry := n.table.Get(name); entry != nil && entry.Stored {
			at = verified{entry: entry, record: entry.Record}
			current = entry.Message(n.now())
		}
	})
	if current == nil {
		return nil
	}
	m, err := n.readCopy(at)
	if err != nil {
		return nil
	}
	return withBody(current, m.Body)
}

// submit hands an attempt to the delivery engine.
func (n *Node) submit(entry *message.Entry, body []byte) {
	epoch := n.table.OwnedEpoch(entry.Partition)
	job := &delivery.Job{Name: entry.Name, Route: entry.Route, Method: entry.Method, Path: entry.Path, Host: entry.Host,
		RequestID: entry.RequestID, OrderKey: entry.OrderKey, ContentType: entry.ContentType, Body: body}
	guard := func() bool {
		return epoch > 0 && n.owned[entry.Partition].Load() == epoch && n.mayDeliver()
	}
	n.engine.Submit(job, guard, func(outcome delivery.Outcome) {
		n.post(func() { n.outcome(entry, outcome) })
	})
}

// outcome takes the end of an attempt.
func (n *Node) outcome(entry *message.Entry, outcome delivery.Outcome) {
	now := n.now()
	switch outcome.Kind {
	case delivery.Succeeded:
		n.finish(entry, rpc.State_COMPLETED, outcome.Stamp)
		return
	case delivery.Rejected:
		n.finish(entry, rpc.State_DEAD, "")
		return
	case delivery.FailedAttempt:
		entry.Attempts++
		if int(entry.Attempts) >= n.retries(entry) {
			n.finish(entry, rpc.State_DEAD, "")
			return
		}
		n.table.Requeue(entry, now+failedPause, now)
		n.tell(entry)
	case delivery.NotRun:
		n.table.Requeue(entry, now+max(notRunPause, outcome.RetryAfter), now)
	default:
		entry.Retries++
		pause := min(unknownPause<<min(entry.Retries, 5), unknownMost)
		n.table.Requeue(entry, now+pause, now)
	}
	if entry.Due-now > cachedDelay || n.table.LiveBytes() > cachedBytes {
		entry.Body = nil
	}
	n.stopped(entry)
}

func (n *Node) retries(entry *message.Entry) int {
	if n.view != nil && n.view.Table != nil {
		if route, ok := n.view.Table.Route(entry.Route); ok && route.Retries > 0 {
			return route.Retries
		}
	}
	return defaultRetries
}

// stopped looks for what may run now that an attempt is over.
func (n *Node) stopped(entry *message.Entry) {
	n.pumpDue = true
	if n.owned[entry.Partition].Load() == 0 {
		n.releasePaused()
	}
}

// finish ends a message after an attempt, and tells the stores that hold it.
func (n *Node) finish(entry *message.Entry, state rpc.State, stamp string) {
	n.table.FinishAttempt(entry, state, stamp, n.now())
	n.tell(entry)
	n.stopped(entry)
}
