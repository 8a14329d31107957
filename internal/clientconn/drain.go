package clientconn

import (
	"slices"
	"time"
)

// On a planned restart new connections keep arriving for up to 0.4 s, and callers go on using those that stay open.
// Danger: where dispatchers restart one after the other, the last one may still be away, and callers whose
// connections close early find nobody.
const (
	drainServe = 1700 * time.Millisecond // callers' connections stay open for so long, but for half of a shorter drain
	drainIdle  = 50 * time.Millisecond   // then those are closed that have waited for so long
	drainQuiet = 100 * time.Millisecond  // without a new request, before the end
	drainPoll  = 10 * time.Millisecond
)

// Drain goes on taking and answering requests and returns when nothing taken is unanswered. Its steps: serving as before; from drainServe on every
// answer ends its connection and idle ones are ended; when nothing is left, refuse closes the listener, and what it had accepted by then is served;
// after most, all that still waits is answered by giveUp, and what comes later by a refusal, until the end soon after.
func (s *Server) Drain(most time.Duration, refuse, giveUp func()) {
	s.draining.Store(true)
	begin := time.Now()
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	gaveUp, refused := false, false
	for now := range t.C {
		passed := now.Sub(begin)
		if passed >= min(drainServe, most/2) {
			s.closing.Store(true)
			s.closeIdle(now, unknown)
			if s.quiet(now) {
				if refused {
					return
				}
				refused = true
				refuse()
			}
		}
		if passed >= most && !gaveUp {
			gaveUp = true
			giveUp()
		}
		if passed >= most+drainQuiet {
			if !refused {
				refuse()
			}
			return
		}
	}
}

// closeIdle closes what has been idle for long enough, on one side or, for unknown, on all.
func (s *Server) closeIdle(now time.Time, of side) {
	s.mu.Lock()
	var idle []*conn
	for c := range s.conns {
		// Danger: a new connection is idle too until its first byte is read, and may bring a call-back.
		if c.idleFor(now, of) >= drainIdle {
			idle = append(idle, c)
		}
	}
	s.mu.Unlock()
	for _, c := range idle {
		if c.claim() {
			c.end() // its reader closes it
		}
	}
}

// Shed closes up to n connections that wait for a next request, those that have waited longest first.
func (s *Server) CloseOldestIdle(n int) {
	type waiter struct {
		c     *conn
		since time.Time
	}
	var all []waiter
	now := time.Now()
	s.mu.Lock()
	for c := range s.conns {
		if r, since := c.rank(now); r == keptIdle {
			all = append(all, waiter{c, since})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(all, func(a, b waiter) int { return a.since.Compare(b.since) })
	for _, w := range all {
		if n <= 0 {
			return
		}
		if w.c.claim() {
			w.c.Close()
			n--
		}
	}
}

// quiet tells whether nothing is being read or answered. Danger: connections that say nothing keep coming from
// those who mean harm; they must not hold the end of a drain.
func (s *Server) quiet(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.saysNothing() {
			return false
		}
	}
	return len(s.exchanges) == 0 && now.Sub(s.last) >= drainQuiet
}
