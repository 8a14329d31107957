package core

import (
	"context"
	"reflect"
	"testing"

	"foldlb.example/foldlb/choice"
)

// TestHeldLoop: a held loop takes no step. Events posted meanwhile are drained with urgent ones first, and are applied, by
// this loop or another one, before events that are posted later.
func TestHeldLoop(t *testing.T) {
	r := newTestReducer(t, choice.Idempotent, "a")
	effects := make(chan Effect, 64)
	l := NewLoop(r, func() float64 { return 2 }, func(e Effect) { effects <- e })
	ctx, stop := context.WithCancel(context.Background())
	go l.Run(ctx)
	resume, ok := l.Hold()
	if !ok {
		t.Fatal("the loop could not be held")
	}
	update := RouteSetTold{RouteSet: RouteSet{Version: 2, Full: true, Workers: workers("b")}}
	l.Post(call("one"))
	l.Post(HealthAsked{Exchange: 99})
	l.Post(update)
	l.DrainQueues()
	l.Post(RouteSetRefused{Source: Source{Addr: "other"}})
	l.Post(call("two"))
	l.DrainQueues()
	want := []Event{update, RouteSetRefused{Source: Source{Addr: "other"}}, call("one"), HealthAsked{Exchange: 99}, call("two")}
	if got := l.Backlog(); !reflect.DeepEqual(got, want) {
		t.Fatalf("backlog %+v", got)
	}
	if len(effects) != 0 {
		t.Fatal("a held loop took a step")
	}
	resume()
	got := []Effect{<-effects, <-effects, <-effects, <-effects}
	expect(t, got, "core.DropWorker", "send b", "answer 0 ready\n", "send b")
	stop()
	<-l.done
	if _, ok := l.Hold(); ok {
		t.Error("a loop that has ended can be held")
	}

	otherReducer := newTestReducer(t, choice.Idempotent, "a")
	otherLoop := NewLoop(otherReducer, func() float64 { return 2 }, func(e Effect) { effects <- e })
	otherLoop.Post(HealthAsked{Exchange: 100})
	otherLoop.Prepend(want)
	steps := 0
	otherLoop.Observe(func(float64, Event, []Effect) { steps++ })
	ctx, stop = context.WithCancel(context.Background())
	defer stop()
	go otherLoop.Run(ctx)
	got = []Effect{<-effects, <-effects, <-effects, <-effects, <-effects}
	expect(t, got, "core.DropWorker", "send b", "answer 0 ready\n", "send b", "answer 0 ready\n")
	if got[4].(Answer).Exchange != 100 || steps < 6 {
		t.Errorf("%+v is last, %d steps observed", got[4], steps)
	}
}
