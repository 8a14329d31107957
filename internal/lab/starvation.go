package lab

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	starvationLook = 50 * time.Millisecond // between two looks at a process
	// starvedShare is the part of the time in which threads could run that they waited for a processor, from which on the machine
	// explains refusals: a process that waits for longer than it runs.
	starvedShare = 0.5
	// starvedLeast is the least that threads must have waited within one look, so that a process that hardly runs is not called starved.
	starvedLeast = 10 * time.Millisecond
)

// processorUse is what the threads of a process have had of processors since they began.
type processorUse struct {
	ran    time.Duration
	waited time.Duration // for a processor, ready to run
}

// parseScheduling reads a thread's schedstat file: nanoseconds that it ran and that it waited, and the number of its turns.
func parseScheduling(text string) (processorUse, error) {
	fields := strings.Fields(text)
	if len(fields) < 2 {
		return processorUse{}, fmt.Errorf("schedstat has %d fields, at least 2 are needed", len(fields))
	}
	ran, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return processorUse{}, fmt.Errorf("schedstat: time run: %w", err)
	}
	waited, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return processorUse{}, fmt.Errorf("schedstat: time waited: %w", err)
	}
	return processorUse{ran: time.Duration(ran), waited: time.Duration(waited)}, nil
}

// processorUseOf sums up the threads of a process. Those that have ended are no part of it.
func processorUseOf(pid int) map[string]processorUse {
	paths, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid)) // none for a process that has ended
	use := make(map[string]processorUse, len(paths))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		if one, err := parseScheduling(string(text)); err == nil {
			use[path] = one
		}
	}
	return use
}

// since is what threads have had after an earlier look.
func since(before, after map[string]processorUse) processorUse {
	var sum processorUse
	for thread, now := range after {
		earlier := before[thread]
		sum.ran += now.ran - earlier.ran
		sum.waited += now.waited - earlier.waited
	}
	return sum
}

// isStarved reports whether the machine kept a process from running.
func (u processorUse) isStarved() bool {
	return u.waited >= starvedLeast && float64(u.waited) >= starvedShare*float64(u.waited+u.ran)
}

// interval is a time between two looks.
type interval struct{ from, to time.Time }

// starvation watches whether the machine lets the process that serves run.
type starvation struct {
	mutex   sync.Mutex
	starved []interval
}

// watch looks at the process that serves until stopped.
func (s *starvation) watch(serving func() int, stopped <-chan struct{}) {
	ticks := time.NewTicker(starvationLook)
	defer ticks.Stop()
	pid, before, at := 0, map[string]processorUse(nil), time.Now()
	for {
		select {
		case <-stopped:
			return
		case <-ticks.C:
		}
		current := serving()
		after, now := processorUseOf(current), time.Now()
		if current == pid && since(before, after).isStarved() {
			s.add(interval{from: at, to: now})
		}
		pid, before, at = current, after, now
	}
}

func (s *starvation) add(one interval) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.starved = append(s.starved, one)
}

// during reports whether the process was kept from running within a time.
func (s *starvation) during(from, to time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, one := range s.starved {
		if one.from.Before(to) && from.Before(one.to) {
			return true
		}
	}
	return false
}

// total is for how long the process was kept from running.
func (s *starvation) total() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var sum time.Duration
	for _, one := range s.starved {
		sum += one.to.Sub(one.from)
	}
	return sum
}
