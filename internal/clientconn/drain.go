package clientconn

import (
	"slices"
	"time"
)

// Times of the drain before a planned restart. New connections keep arriving for up to 0.4 s, and callers go on using
// those that stay open. If dispatchers restart one after the other, the previous one may still be down: callers whose
// connections close too early find no dispatcher.
const (
	drainKeepOpen     = 1700 * time.Millisecond // callers' connections are kept open for this long, or for half of a shorter drain
	drainMinIdle      = 50 * time.Millisecond   // afterwards, connections that have been idle for this long are closed
	drainQuietTime    = 100 * time.Millisecond  // time without a new request before the drain ends
	drainPollInterval = 10 * time.Millisecond
)

// Drain continues to serve requests until none is left, and blocks until then. At first nothing changes but the health
// check. From drainKeepOpen (or half of limit, if that is shorter) on, each response closes its connection, and idle
// connections are closed. When no request is left, closeListener must close the listener; connections that it had
// accepted by then are still served. After limit, giveUp must have the waiting requests answered; later requests are
// refused, and Drain returns drainQuietTime later at the latest.
func (s *Server) Drain(limit time.Duration, closeListener, giveUp func()) {
	s.draining.Store(true)
	start := time.Now()
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	gaveUp, listenerClosed := false, false
	for now := range t.C {
		elapsed := now.Sub(start)
		if elapsed >= min(drainKeepOpen, limit/2) {
			s.closing.Store(true)
			s.closeIdle(now, peerUnknown)
			if s.quiet(now) {
				if listenerClosed {
					return
				}
				listenerClosed = true
				closeListener()
			}
		}
		if elapsed >= limit && !gaveUp {
			gaveUp = true
			giveUp()
		}
		if elapsed >= limit+drainQuietTime {
			if !listenerClosed {
				closeListener()
			}
			return
		}
	}
}

// closeIdle shuts down connections of one kind of peer, or of all for peerUnknown, that have been idle for drainMinIdle.
func (s *Server) closeIdle(now time.Time, of peerKind) {
	s.mu.Lock()
	var idle []*conn
	for c := range s.conns {
		// The minimum matters: a new connection counts as idle until its first byte is read, and may bring a callback.
		if c.idleTime(now, of) >= drainMinIdle {
			idle = append(idle, c)
		}
	}
	s.mu.Unlock()
	for _, c := range idle {
		if c.claim() {
			c.shutdownWrite() // its reader then closes it
		}
	}
}

// CloseOldestIdle closes up to n keep-alive connections that wait for their next request, those idle for longest first.
func (s *Server) CloseOldestIdle(n int) {
	type waiter struct {
		c     *conn
		since time.Time
	}
	var all []waiter
	now := time.Now()
	s.mu.Lock()
	for c := range s.conns {
		if r, since := c.evictionRank(now); r == idleKeepAlive {
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

// quiet reports whether no request is being read or processed and none was received recently. New connections without
// input don't count: an attacker could otherwise keep the drain from ending.
func (s *Server) quiet(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !c.isSilent() {
			return false
		}
	}
	return len(s.exchanges) == 0 && now.Sub(s.lastRequestAt) >= drainQuietTime
}
