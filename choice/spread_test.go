package choice

import (
	"testing"

	"pgregory.net/rapid"
)

// asks drives a dispatcher through so many refused calls and returns the moments of its calls, the first included.
func asks(t *rapid.T, seed uint64, within float64, refusals int) (at []float64) {
	s := plain(Idempotent)
	s.ListOnRequest, s.AskWithin, s.Seed = true, within, seed
	h := &host{}
	now := 1.0
	d, err := New(now, s, h)
	if err != nil {
		t.Fatal(err)
	}
	d.List(now, ListRemembered, fleet("a"))
	for len(at) <= refusals {
		var next *sent
		for _, a := range h.log {
			if a.what == "timer" && a.token == listTimer {
				next = &a
			}
		}
		h.log = nil
		if next == nil {
			t.Fatalf("no further call is planned after %d", len(at))
		}
		now += next.value
		d.Timer(now, next.token)
		at = append(at, now)
		if len(at) <= refusals {
			d.List(now, ListRefused, nil)
		}
	}
	h.log = nil
	d.List(now, ListAll, fleet("a", "b"))
	d.List(now+30, ListRefused, nil) // the subscription broke, much later
	for _, a := range h.log {
		if a.what == "timer" && a.token == listTimer && a.value > 1.5*within/16 {
			t.Fatalf("a broken subscription is asked for again after %.2f s, as if calls had been refused before", a.value)
		}
	}
	return at
}

// TestAsksAreSpread: whatever is refused, each call comes within the time that the settings allow, and soon enough for news that count as
// told 6 s after discovery is back; no pause is too short, and dispatchers with other seeds ask at other moments.
func TestAsksAreSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		within := rapid.Float64Range(0.1, 60).Draw(t, "within")
		n := rapid.IntRange(0, 12).Draw(t, "refusals")
		seed := rapid.Uint64Range(0, 1<<40).Draw(t, "seed")
		a := asks(t, seed, within, n)
		b := asks(t, seed+1, within, n)
		if a[0]-1 > within/4 {
			t.Fatalf("the first call comes after %.2f s of %.2f", a[0]-1, within)
		}
		for i := range a {
			if a[i] == b[i] {
				t.Fatalf("call %d of two dispatchers comes at the same moment", i)
			}
			if i > 0 && (a[i]-a[i-1] < min(within/16, listRetryMaxS)/2 || a[i]-a[i-1] > min(within/2, listRetryMaxS)*3/2) {
				t.Fatalf("%.3f s between calls %d and %d, of %.2f", a[i]-a[i-1], i-1, i, within)
			}
		}
	})
}
