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
}

// NewLoop makes a loop. perform is called from the loop's goroutine and must not block or post.
func NewLoop(r *Reducer, clock func() float64, perform func(Effect)) *Loop {
	return &Loop{reducer: r, clock: clock, perform: perform, events: make(chan Event, queueLength),
		news: make(chan Event, 16), done: make(chan struct{})}
}

// Post hands an event to the reducer; after the loop's end it is dropped.
func (l *Loop) Post(ev Event) {
	queue := l.events
	switch ev.(type) {
	case RouteSetTold, RouteSetRefused, Reloaded:
		queue = l.news
	}
	select {
	case queue <- ev:
	case <-l.done:
	}
}

// Run steps the reducer until the context ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		var ev Event
		select { // a drain that was told comes before whatever else waits
		case ev = <-l.news:
		default:
			select {
			case <-ctx.Done():
				return
			case ev = <-l.news:
			case ev = <-l.events:
			case <-wake.C:
				ev = Tick{}
			}
		}
		now := l.clock()
		for _, e := range l.reducer.Step(now, ev) {
			l.perform(e)
		}
		if due, ok := l.reducer.Due(); ok {
			wake.Reset(time.Duration((due - l.clock()) * float64(time.Second)))
		} else {
			wake.Stop()
		}
	}
}
