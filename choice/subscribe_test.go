package choice

import (
	"testing"

	"pgregory.net/rapid"
)

// subscribeTimes returns the times at which a dispatcher requests a subscription while discovery refuses so many of them.
// It also checks that delays start anew after one that was accepted.
func subscribeTimes(t *rapid.T, seed uint64, within float64, refusals int) (at []float64) {
	s := testSettings(Idempotent)
	s.ListOnRequest, s.AskWithin, s.Seed = true, within, seed
	h := &host{}
	now := 1.0
	d, err := New(now, s, h)
	if err != nil {
		t.Fatal(err)
	}
	d.List(now, ListRemembered, newWorkers("a"))
	for len(at) <= refusals {
		var next *action
		for _, a := range h.log {
			if a.name == "timer" && a.token == listTimer {
				next = &a
			}
		}
		h.log = nil
		if next == nil {
			t.Fatalf("no timer for a call after %d", len(at))
		}
		now += next.value
		d.Timer(now, next.token)
		at = append(at, now)
		if len(at) <= refusals {
			d.List(now, ListRefused, nil)
		}
	}
	h.log = nil
	d.List(now, ListAll, newWorkers("a", "b"))
	d.List(now+30, ListRefused, nil) // the subscription breaks much later
	for _, a := range h.log {
		if a.name == "timer" && a.token == listTimer && a.value > 1.5*within/16 {
			t.Fatalf("a broken subscription is renewed after %.2f s, as if calls had been refused before", a.value)
		}
	}
	return at
}

// TestAsksAreSpread: while discovery refuses subscriptions, each request for one comes within the time that the settings
// allow, and within 1.5 * listRetryMaxS, since changes count as known 6 s after discovery recovers. No delay is too
// short, and dispatchers with different seeds call at different times.
func TestAsksAreSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		within := rapid.Float64Range(0.1, 60).Draw(t, "within")
		n := rapid.IntRange(0, 12).Draw(t, "refusals")
		seed := rapid.Uint64Range(0, 1<<40).Draw(t, "seed")
		a := subscribeTimes(t, seed, within, n)
		b := subscribeTimes(t, seed+1, within, n)
		if a[0]-1 > within/4 {
			t.Fatalf("the first call comes after %.2f s, with %.2f s allowed", a[0]-1, within)
		}
		for i := range a {
			if a[i] == b[i] {
				t.Fatalf("call %d of two dispatchers comes at the same time", i)
			}
			if i > 0 && (a[i]-a[i-1] < min(within/16, listRetryMaxS)/2 || a[i]-a[i-1] > min(within/2, listRetryMaxS)*3/2) {
				t.Fatalf("%.3f s between calls %d and %d, with %.2f s allowed", a[i]-a[i-1], i-1, i, within)
			}
		}
	})
}
