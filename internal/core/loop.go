package core

import (
	"context"
	"time"
)

// queueLength bounds the events that wait for the reducer. Posting to a full queue waits.
const queueLength = 4096

// Loop runs a reducer on one goroutine and hands its effects to the outside.
type Loop struct {
	reducer *Reducer
	clock   func() float64
	perform func(Effect)
	events  chan Event
	news    chan Event // discovery's, which must not wait behind the rest
	done    chan struct{}
	holds   chan chan struct{} // each closed when the loop may go on
	backlog []Event            // to be applied before anything that is posted; touched by the loop, or while held
	watch   func(now float64, ev Event, effects []Effect)
	publish func(View)
	viewAt  float64 // when the next view is due
}

// viewEvery is the time between two views, in seconds: half the age that operators' figures may have.
const viewEvery = 0.25

// NewLoop makes a loop. perform is called from the loop's goroutine and must not block or post.
func NewLoop(r *Reducer, clock func() float64, perform func(Effect)) *Loop {
	return &Loop{reducer: r, clock: clock, perform: perform, events: make(chan Event, queueLength),
		news: make(chan Event, 16), done: make(chan struct{}), holds: make(chan chan struct{})}
}

// Post hands an event to the reducer; after the loop's end it is dropped.
func (l *Loop) Post(ev Event) {
	queue := l.events
	if isNews(ev) {
		queue = l.news
	}
	select {
	case queue <- ev:
	case <-l.done:
	}
}

// isNews tells what must not wait behind the rest.
func isNews(ev Event) bool {
	switch ev.(type) {
	case RouteSetTold, RouteSetRefused, Reloaded, BanOrdered, DrainOrdered, RemoveOrdered, FleetHinted, FleetFloored, FleetContacted, FloorOrdered:
		return true
	}
	return false
}

// Publish has f told of the route set every viewEvery seconds, from the loop's goroutine. The loop must not run yet.
func (l *Loop) PublishViews(f func(View)) { l.publish = f }

// Run steps the reducer until the context ends.
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
		if l.watch != nil {
			l.watch(now, ev, effects)
		}
		for _, e := range effects {
			l.perform(e)
		}
		due, ok := l.reducer.NextTimer()
		if l.publish != nil {
			if now >= l.viewAt {
				l.publish(l.reducer.View(now))
				l.viewAt = now + viewEvery
			}
			if !ok || due > l.viewAt {
				due, ok = l.viewAt, true
			}
		}
		if ok {
			wake.Reset(time.Duration((due - l.clock()) * float64(time.Second)))
		} else {
			wake.Stop()
		}
	}
}

// next waits for the next event. It tells false where the context has ended.
func (l *Loop) next(ctx context.Context, wake <-chan time.Time) (Event, bool) {
	for {
		if len(l.backlog) > 0 {
			ev := l.backlog[0]
			l.backlog = l.backlog[1:]
			return ev, true
		}
		select { // a drain that was told comes before whatever else waits
		case ev := <-l.news:
			return ev, true
		default:
		}
		select {
		case <-ctx.Done():
			return nil, false
		case ev := <-l.news:
			return ev, true
		case ev := <-l.events:
			return ev, true
		case <-wake:
			return Tick{}, true
		case goOn := <-l.holds:
			<-goOn
		}
	}
}

// Hold stops the loop between two steps and returns the word that lets it go on. It tells false where the loop has
// ended. While it is held the caller may use the reducer, Drain and Backlog.
func (l *Loop) Hold() (goOn func(), ok bool) {
	word := make(chan struct{})
	select {
	case l.holds <- word:
		return func() { close(word) }, true
	case <-l.done:
		return nil, false
	}
}

// Drain takes all posted events out of the queues into the backlog, news first, so that nobody waits to post. The
// loop must be held, or not run yet.
func (l *Loop) DrainQueues() {
	for {
		select {
		case ev := <-l.news:
			at := 0
			for at < len(l.backlog) && isNews(l.backlog[at]) {
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

// Backlog returns the events that were taken out of the queues and not applied yet. The loop must be held.
func (l *Loop) Backlog() []Event { return l.backlog }

// Precede puts events before all that are posted. The loop must be held, or not run yet.
func (l *Loop) Prepend(events []Event) { l.backlog = append(events, l.backlog...) }

// Watch has f told of every step, before its effects are performed. f is called from the loop's goroutine and must
// not block; nil ends it. The loop must be held, or not run yet.
func (l *Loop) Observe(f func(now float64, ev Event, effects []Effect)) { l.watch = f }
