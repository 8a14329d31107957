package core

import (
	"context"
	"reflect"
	"testing"

	"foldlb.example/foldlb/choice"
)

// TestHeldLoop: a held loop steps nothing; what is posted meanwhile comes out news first, and goes in again there or
// in another loop before anything that is posted later.
func TestHeldLoop(t *testing.T) {
	r := start(t, choice.Idempotent, "a")
	effects := make(chan Effect, 64)
	l := NewLoop(r, func() float64 { return 2 }, func(e Effect) { effects <- e })
	ctx, stop := context.WithCancel(context.Background())
	go l.Run(ctx)
	goOn, ok := l.Hold()
	if !ok {
		t.Fatal("not held")
	}
	news := RouteSetTold{RouteSet: RouteSet{Version: 2, Full: true, Workers: workers("b")}}
	l.Post(call("one"))
	l.Post(HealthAsked{Exchange: 99})
	l.Post(news)
	l.DrainQueues()
	l.Post(RouteSetRefused{Source: Source{Addr: "other"}})
	l.Post(call("two"))
	l.DrainQueues()
	want := []Event{news, RouteSetRefused{Source: Source{Addr: "other"}}, call("one"), HealthAsked{Exchange: 99}, call("two")}
	if got := l.Backlog(); !reflect.DeepEqual(got, want) {
		t.Fatalf("backlog %+v", got)
	}
	if len(effects) != 0 {
		t.Fatal("a held loop has stepped")
	}
	goOn()
	got := []Effect{<-effects, <-effects, <-effects, <-effects}
	expect(t, got, "core.DropWorker", "send b", "answer 0 ready\n", "send b")
	stop()
	<-l.done
	if _, ok := l.Hold(); ok {
		t.Error("a loop that has ended is held")
	}

	twin := start(t, choice.Idempotent, "a")
	other := NewLoop(twin, func() float64 { return 2 }, func(e Effect) { effects <- e })
	other.Post(HealthAsked{Exchange: 100})
	other.Prepend(want)
	steps := 0
	other.Observe(func(float64, Event, []Effect) { steps++ })
	ctx, stop = context.WithCancel(context.Background())
	defer stop()
	go other.Run(ctx)
	got = []Effect{<-effects, <-effects, <-effects, <-effects, <-effects}
	expect(t, got, "core.DropWorker", "send b", "answer 0 ready\n", "send b", "answer 0 ready\n")
	if got[4].(Answer).Exchange != 100 || steps < 6 {
		t.Errorf("%+v is last, %d steps were told", got[4], steps)
	}
}
