package holdup

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/shoenig/test/must"
)

func TestHoldUpsAreCountedAndLogged(t *testing.T) {
	var lines []string
	meter := &Meter{log: funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})}
	for _, late := range []time.Duration{0, minHoldup - 1, minHoldup, 900 * time.Millisecond, 300 * time.Millisecond} {
		meter.record(late)
	}
	var values []uint64
	for _, figure := range meter.Figures() {
		values = append(values, figure.Value)
	}
	must.Eq(t, []uint64{3, 1400, 900}, values)
	must.Len(t, 3, lines)
	must.StrContains(t, lines[1], `"ms"=900`)
}

// A running process has no hold-up, and a watch ends with its context.
func TestProcessThatRunsIsNotHeldUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		meter := Watch(ctx, funcr.New(func(_, line string) { t.Error(line) }, funcr.Options{}))
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		must.Eq(t, 0, meter.Figures()[0].Value)
	})
}

// A timer that fires late by the clock counts as a hold-up.
func TestWatchDetectsHoldUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const held = 2 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		clockReads := 0
		meter := &Meter{log: logr.Discard(), now: func() time.Time {
			clockReads++
			if clockReads < 4 { // time jumps between the start of the second timer and its firing
				return time.Now()
			}
			return time.Now().Add(held)
		}}
		go meter.run(ctx)
		time.Sleep(time.Minute)
		cancel()
		synctest.Wait()
		must.Eq(t, 1, meter.Figures()[0].Value)
		must.Eq(t, uint64(held.Milliseconds()), meter.Figures()[2].Value)
	})
}
