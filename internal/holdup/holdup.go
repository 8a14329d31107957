// Package holdup measures how long the machine keeps this process from running, by how late a timer fires: where processors are short,
// where the process was stopped, or where the machine itself stood still while its clock went on.
package holdup

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"foldlb.example/foldlb/internal/metrics"
)

const (
	period    = 100 * time.Millisecond // between two looks
	countFrom = 200 * time.Millisecond // lateness from which a hold-up is counted and logged: leases are some times as long
)

// Meter counts hold-ups since its start. Its methods are safe for concurrent use.
type Meter struct {
	log     logr.Logger
	now     func() time.Time
	count   atomic.Uint64
	total   atomic.Int64 // nanoseconds
	longest atomic.Int64 // nanoseconds
}

// Watch measures until the context ends.
func Watch(ctx context.Context, log logr.Logger) *Meter {
	meter := &Meter{log: log, now: time.Now}
	go meter.run(ctx)
	return meter
}

func (m *Meter) run(ctx context.Context) {
	timer := time.NewTimer(period)
	defer timer.Stop()
	for {
		began := m.now()
		timer.Reset(period)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			m.note(m.now().Sub(began) - period)
		}
	}
}

// note takes in by how much a look was late.
func (m *Meter) note(late time.Duration) {
	if late < countFrom {
		return
	}
	m.log.Info("this process was kept from running: give its machine more processor time if that goes on", "ms", late.Milliseconds())
	m.count.Add(1)
	m.total.Add(int64(late))
	m.longest.Store(max(m.longest.Load(), int64(late))) // one goroutine writes
}

// Figures tells the hold-ups.
func (m *Meter) Figures() []metrics.Metric {
	return []metrics.Metric{
		{Name: "foldlb_process_holdups_total", Help: "times that the machine kept this process from running for 200 ms or more", Value: m.count.Load()},
		{Name: "foldlb_process_holdups_ms_total", Help: "milliseconds of these", Value: milliseconds(m.total.Load())},
		{Name: "foldlb_process_holdups_longest_ms", Help: "the longest of these since the start of the process", Value: milliseconds(m.longest.Load())},
	}
}

func milliseconds(nanoseconds int64) uint64 { return uint64(time.Duration(nanoseconds).Milliseconds()) }
