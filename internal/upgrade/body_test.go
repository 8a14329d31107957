package upgrade

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/atomic"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/core"
	"foldlb.example/foldlb/internal/hold"
)

const (
	heldJobs  = 32
	laterJobs = 200
	heldFor   = 0.5 // seconds; the aim is 0.2
)

// heldSettings have one class whose late answers are worth nothing, so that any lateness turns jobs away.
func heldSettings() choice.Settings {
	return choice.Settings{Dispatchers: 1, Zone: "a", MaxAttempts: 2, RetryAfter: true, MaxRetryAfter: 2, DialTimeout: 0.25, ConnIdle: 5,
		FreeSlots: -1, FreeMem: -1, ErrorsPerS: -1, ServiceMillis: -1, Prices: choice.Prices{Waste: 0.01}, OverloadFactor: 3, TipAfter: 2,
		ColdShare: 0.13, WarmWithin: 24, TellsStart: true, ProgressEvery: 0.1, Seed: 7,
		Classes: []choice.Class{{Name: "once", Effect: choice.AtMostOnce, Aim: 0.2, Stretch: 2, Deadline: 60, Worth: 1}}}
}

// An upgrade that falls back has held everything for a while. That is no lateness of the workers, and turns nothing away.
func TestHoldThatFellBackTurnsNothingAway(t *testing.T) {
	var now atomic.Float64
	var workers []core.Worker
	for i := range 8 {
		workers = append(workers, core.Worker{ID: core.WorkerID(fmt.Sprint("s-", i)), Addr: fmt.Sprint("127.0.0.1:", 9000+i), Zone: "a", Kind: "k", Weight: 1})
	}
	reducer, err := core.New(0, heldSettings(), core.RouteSet{Workers: workers}, "d:1")
	must.NoError(t, err)
	sent, answers := make(chan core.SendBranch, heldJobs+laterJobs), make(chan core.Answer, heldJobs+laterJobs)
	loop := core.NewLoop(reducer, now.Load, func(effect core.Effect) {
		switch effect := effect.(type) {
		case core.SendBranch:
			sent <- effect
		case core.Answer:
			answers <- effect
		}
	})
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go loop.Run(ctx)
	call := func(number int) core.CallArrived {
		return core.CallArrived{Call: core.Call{Exchange: core.ExchangeID(number + 1), ID: core.RequestID(fmt.Sprint("r", number)), Class: "once", Slots: 1, Remaining: 50}}
	}
	for number := range heldJobs {
		loop.Post(call(number))
	}
	var out []core.SendBranch
	for len(out) < heldJobs {
		out = append(out, <-sent)
	}
	body := &Runtime{Loop: loop, Reducer: reducer, Gate: hold.NewGate()}
	must.NoError(t, body.Hold(time.Minute))
	now.Store(heldFor)
	body.Release()
	for _, branch := range out {
		loop.Post(core.JobReported{Request: branch.Request, From: branch.Worker, State: core.JobStarted})
	}
	for number := range laterJobs {
		loop.Post(call(heldJobs + number))
	}
	for range laterJobs {
		select {
		case <-sent:
		case answer := <-answers:
			t.Fatalf("%v: %s", answer.Verdict, answer.Reason)
		}
	}
}
