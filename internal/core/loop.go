package core

import (
	"context"
	"time"
)

// queueLength is the capacity of the event queue. Post blocks while the queue is full.
const queueLength = 4096

// Loop runs a reducer on one goroutine and passes its effects to the host process.
type Loop struct {
	reducer      *Reducer
	clock        func() float64
	perform      func(Effect)
	events       chan Event
	urgent       chan Event // route sets, drains and orders, which must not wait behind requests
	done         chan struct{}
	holdRequests chan chan struct{} // the loop resumes when the received channel is closed
	backlog      []Event            // applied before all posted events; accessed by the loop's goroutine, or by others while it is held
	observe      func(now float64, ev Event, effects []Effect)
	publish      func(View)
	nextViewAt   float64 // in seconds on the loop's clock
}

// viewIntervalS is the time between two views in seconds: half the maximum age that the operators' figures may have.
const viewIntervalS = 0.25

// NewLoop returns a loop for a reducer. clock returns the dispatcher's time in seconds. perform is called on the loop's
// goroutine and must neither block nor post events.
func NewLoop(r *Reducer, clock func() float64, perform func(Effect)) *Loop {
	return &Loop{reducer: r, clock: clock, perform: perform, events: make(chan Event, queueLength),
		urgent: make(chan Event, 16), done: make(chan struct{}), holdRequests: make(chan chan struct{})}
}

// Post queues an event for the reducer. It blocks while the queue is full; after the loop has ended it drops the event.
func (l *Loop) Post(ev Event) {
	queue := l.events
	if isUrgent(ev) {
		queue = l.urgent
	}
	select {
	case queue <- ev:
	case <-l.done:
	}
}

// isUrgent reports whether an event must be applied before queued requests.
func isUrgent(ev Event) bool {
	switch ev.(type) {
	case RouteSetTold, RouteSetRefused, Reloaded, BanOrdered, DrainOrdered, RemoveOrdered, FleetHinted, FleetFloored, FleetContacted, FloorOrdered:
		return true
	}
	return false
}

// PublishViews has f called with the view every viewIntervalS seconds, on the loop's goroutine. It must be called before Run.
func (l *Loop) PublishViews(f func(View)) { l.publish = f }

// Run steps the reducer until the context is cancelled.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		ev, ok := l.next(ctx, wake.C)
		if !ok {
			return
		}
		now := l.clock()
		effects := l.reducer.Step(now, ev)
		if l.observe != nil {
			l.observe(now, ev, effects)
		}
		for _, e := range effects {
			l.perform(e)
		}
		due, ok := l.reducer.NextTimer()
		if l.publish != nil {
			if now >= l.nextViewAt {
				l.publish(l.reducer.View(now))
				l.nextViewAt = now + viewIntervalS
			}
			if !ok || due > l.nextViewAt {
				due, ok = l.nextViewAt, true
			}
		}
		if ok {
			wake.Reset(time.Duration((due - l.clock()) * float64(time.Second)))
		} else {
			wake.Stop()
		}
	}
}

// next waits for the next event. It returns false if the context is cancelled.
func (l *Loop) next(ctx context.Context, wake <-chan time.Time) (Event, bool) {
	for {
		if len(l.backlog) > 0 {
			ev := l.backlog[0]
			l.backlog = l.backlog[1:]
			return ev, true
		}
		select { // a drain must be applied before any other waiting event
		case ev := <-l.urgent:
			return ev, true
		default:
		}
		select {
		case <-ctx.Done():
			return nil, false
		case ev := <-l.urgent:
			return ev, true
		case ev := <-l.events:
			return ev, true
		case <-wake:
			return Tick{}, true
		case resume := <-l.holdRequests:
			<-resume
		}
	}
}

// Hold stops the loop between two steps and returns the function that resumes it, or false if the loop has ended. While
// the loop is held, the caller may use the reducer, DrainQueues and Backlog.
func (l *Loop) Hold() (resume func(), ok bool) {
	held := make(chan struct{})
	select {
	case l.holdRequests <- held:
		return func() { close(held) }, true
	case <-l.done:
		return nil, false
	}
}

// DrainQueues moves all posted events from the queues to the backlog, urgent ones first, so that no call of Post stays
// blocked. The loop must be held, or not running yet.
func (l *Loop) DrainQueues() {
	for {
		select {
		case ev := <-l.urgent:
			at := 0
			for at < len(l.backlog) && isUrgent(l.backlog[at]) {
				at++
			}
			l.backlog = append(l.backlog[:at], append([]Event{ev}, l.backlog[at:]...)...)
			continue
		default:
		}
		select {
		case ev := <-l.events:
			l.backlog = append(l.backlog, ev)
		default:
			return
		}
	}
}

// Backlog returns the events that were taken from the queues and not applied yet. The loop must be held.
func (l *Loop) Backlog() []Event { return l.backlog }

// Prepend puts events before all that were posted. The loop must be held, or not running yet.
func (l *Loop) Prepend(events []Event) { l.backlog = append(events, l.backlog...) }

// Observe has f called for every step before its effects are performed, on the loop's goroutine. f must not block; nil
// removes it. The loop must be held, or not running yet.
func (l *Loop) Observe(f func(now float64, ev Event, effects []Effect)) { l.observe = f }
