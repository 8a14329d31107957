package lab

import (
	"math"
	"time"
)

// What a worker bears after a start, as the configuration of the lab's dispatchers says it.
const (
	coldShare    = 0.13 // of its capacity that it begins with
	coldFactor   = 3.0  // times what it can do at a moment, for
	coldWindow   = 2 * time.Second
	warmAfter    = 24 * time.Second
	coldStandard = 3 // standard deviations that chance is allowed
)

// coldness is a worker that has started a short time ago: its capacity rises evenly, and one that is sent far more than that falls over.
type coldness struct {
	since time.Time
	slots int
	mean  time.Duration // of a job here, warm
	sent  []sending     // of the last window
	most  float64       // work sent within a window, over what it bears; the highest yet
	fell  bool
}

type sending struct {
	at   time.Time
	work float64 // jobs of mean length
}

// warmth is the part of its capacity that it has.
func (c *coldness) warmth(now time.Time) float64 {
	return min(1, coldShare+(1-coldShare)*max(0, now.Sub(c.since).Seconds())/warmAfter.Seconds())
}

// limit is how many jobs of mean length it bears in a window that begins at a time: what the settings allow, and what chance may add.
func (c *coldness) limit(begin time.Time) float64 {
	n := coldFactor * c.warmth(begin) * float64(c.slots) * coldWindow.Seconds() / c.mean.Seconds()
	return n + coldStandard*math.Sqrt(n) + coldStandard
}

// bears takes a job that it is sent into account, and tells whether it still stands.
func (c *coldness) bears(now time.Time, length time.Duration) bool {
	if now.Sub(c.since) > warmAfter {
		return !c.fell
	}
	c.sent = append(c.sent, sending{now, length.Seconds() / c.mean.Seconds()})
	begin := now.Add(-coldWindow)
	for len(c.sent) > 0 && c.sent[0].at.Before(begin) {
		c.sent = c.sent[1:]
	}
	sum := 0.0
	for _, x := range c.sent {
		sum += x.work
	}
	c.most = max(c.most, sum/c.limit(begin))
	c.fell = c.fell || c.most > 1
	return !c.fell
}

// startCold makes a worker one that has just started. Its jobs are over, as after the drain before.
func (w *Worker) startCold(mean time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := 0.0
	if w.cold != nil {
		most = w.cold.most
	}
	w.cold = &coldness{since: time.Now(), slots: w.Slots, mean: time.Duration(float64(mean) / w.Pace), most: most}
}

// meanWork is the mean time of a job, at pace 1.
func (s *Scenario) meanWork() time.Duration {
	sum, parts := 0.0, 0.0
	for _, c := range s.Classes {
		sum += c.Part * c.WorkMS * math.Exp(c.Spread*c.Spread/2)
		parts += c.Part
	}
	return ms(sum / parts)
}

// ColdResult is what workers that started during a run were sent while cold, by all dispatchers together.
type ColdResult struct {
	Workers int     `json:"workers"`
	Most    float64 `json:"most_in_a_window_over_what_it_bears"`
	Mean    float64 `json:"the_same_in_the_mean_of_the_workers"`
	Fell    int     `json:"fell_over"`
}

// cold sums up what cold workers were sent, and promises that none fell over.
func (r *Result) cold(workers []*Worker) {
	var c ColdResult
	for _, w := range workers {
		w.mu.Lock()
		if x := w.cold; x != nil {
			c.Workers++
			c.Most, c.Mean = max(c.Most, x.most), c.Mean+x.most
			if x.fell {
				c.Fell++
			}
		}
		w.mu.Unlock()
	}
	if c.Workers == 0 {
		return
	}
	c.Mean /= float64(c.Workers)
	r.Cold = &c
	r.Promises = append(r.Promises, Promise{"cold workers pushed over", c.Fell == 0, float64(c.Fell), 0})
	r.OK = r.OK && c.Fell == 0
}
