package lab

import (
	"math"
	"time"
)

// Cost is what a member costs in the mean, over the time in which all that was begun with ran on, requests and all.
type Cost struct {
	Seconds  float64 `json:"seconds"`
	Sent     float64 `json:"datagrams_a_second"`
	Bytes    float64 `json:"bytes_a_second"`
	Opened   float64 `json:"connections_opened_a_second"`
	CPU      float64 `json:"cpu_ms_a_second"`
	Resident float64 `json:"resident_kb"`
	Files    float64 `json:"descriptors"`
}

// sample is what the members have used since their starts; only processes that both of two samples have count.
func (q *squad) sample() map[int]Cost {
	q.mu.Lock()
	defer q.mu.Unlock()
	all := map[int]Cost{}
	for _, p := range q.peers {
		if pid := p.serving(); p.up && !p.paused {
			c := p.view.Counts
			all[pid] = Cost{Seconds: time.Since(q.begin).Seconds(), Sent: float64(c.Sent), Bytes: float64(c.SentBytes), Opened: float64(c.Opened),
				CPU: processorMS(pid), Resident: float64(resident(pid)), Files: float64(openFiles(pid))}
		}
	}
	return all
}

// between is the mean cost of a member between two samples.
func between(a, b map[int]Cost) (mean Cost) {
	n := 0.0
	for pid, x := range a {
		y, on := b[pid]
		if !on {
			continue
		}
		n++
		s := y.Seconds - x.Seconds
		mean.Seconds = s
		mean.Sent += (y.Sent - x.Sent) / s
		mean.Bytes += (y.Bytes - x.Bytes) / s
		mean.Opened += (y.Opened - x.Opened) / s
		mean.CPU += (y.CPU - x.CPU) / s
		mean.Resident += y.Resident
		mean.Files += y.Files
	}
	for _, f := range []*float64{&mean.Sent, &mean.Bytes, &mean.Opened, &mean.CPU, &mean.Resident, &mean.Files} {
		*f = math.Round(100**f/max(1, n)) / 100
	}
	return mean
}
