package lab

import (
	"testing"
	"time"
)

// TestColdWorkerFalls when it is sent far more than it bears, and stands what its dispatchers may send it; the limit follows its warmth.
func TestColdWorkerFalls(t *testing.T) {
	begin := time.Now()
	for _, c := range []struct {
		name string
		at   time.Duration // of the first job
		gap  time.Duration
		jobs int
		fell bool
	}{
		{"a trickle", 0, 200 * time.Millisecond, 50, false},
		{"a burst at the start", 0, 0, 60, true},
		{"the same burst, half warm", 12 * time.Second, 0, 60, false},
		{"a burst, warm", 25 * time.Second, 0, 1000, false},
	} {
		x := &coldness{since: begin, slots: 4, mean: 100 * time.Millisecond}
		for i := range c.jobs {
			x.bears(begin.Add(c.at+time.Duration(i)*c.gap), x.mean)
		}
		if x.fell != c.fell || x.fell != (x.most > 1) {
			t.Errorf("%s: fell %v, at the most %.2f of what it bears", c.name, x.fell, x.most)
		}
	}
}
