// Package holdup measures for how long the process could not run, by how late a timer fires. Causes are a shortage of
// processor time, a stopped process, or a machine that was suspended while its clock went on.
package holdup

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"foldlb.example/foldlb/internal/metrics"
)

const (
	pollInterval = 100 * time.Millisecond // time of the timer
	minHoldup    = 200 * time.Millisecond // delays from here on are counted and logged; leases are only a few times as long
)

// Meter counts hold-ups since its start. Its methods are safe for concurrent use.
type Meter struct {
	log     logr.Logger
	now     func() time.Time
	count   atomic.Uint64
	total   atomic.Int64 // nanoseconds
	longest atomic.Int64 // nanoseconds
}

// Watch starts a meter that measures until the context ends.
func Watch(ctx context.Context, log logr.Logger) *Meter {
	meter := &Meter{log: log, now: time.Now}
	go meter.run(ctx)
	return meter
}

func (m *Meter) run(ctx context.Context) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	for {
		began := m.now()
		timer.Reset(pollInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			m.record(m.now().Sub(began) - pollInterval)
		}
	}
}

// record counts and logs a delay of the timer if it is at least minHoldup.
func (m *Meter) record(late time.Duration) {
	if late < minHoldup {
		return
	}
	m.log.Info("the process could not run: give its machine more processor time if this repeats", "ms", late.Milliseconds())
	m.count.Add(1)
	m.total.Add(int64(late))
	m.longest.Store(max(m.longest.Load(), int64(late))) // not a race: only run's goroutine writes
}

// Figures returns the metrics of the hold-ups.
func (m *Meter) Figures() []metrics.Metric {
	return []metrics.Metric{
		{Name: "foldlb_process_holdups_total", Help: "times that the machine kept this process from running for 200 ms or more", Value: m.count.Load()},
		{Name: "foldlb_process_holdups_ms_total", Help: "milliseconds of these", Value: milliseconds(m.total.Load())},
		{Name: "foldlb_process_holdups_longest_ms", Help: "the longest of these since the start of the process", Value: milliseconds(m.longest.Load())},
	}
}

func milliseconds(nanoseconds int64) uint64 { return uint64(time.Duration(nanoseconds).Milliseconds()) }
