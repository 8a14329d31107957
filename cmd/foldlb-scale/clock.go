package main

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// moment is a reading of the machine's steady clock. Those of all processes of one machine may be compared.
type moment int64

// now reads the steady clock.
func now() moment {
	var reading unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &reading); err != nil {
		panic(err) // the clock exists on every Linux
	}
	return moment(reading.Nano())
}

// since is the time from an earlier moment.
func (m moment) since(earlier moment) time.Duration { return time.Duration(m - earlier) }

// pause waits, and returns the context's error if that ended.
func pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
