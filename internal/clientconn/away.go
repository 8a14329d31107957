package clientconn

import "time"

// awayFront is how long after the word callers' connections are still kept: the front asks /healthz ten times a second
// and deals out new connections for 0.2 s after a no. Danger: what was closed before that would only be opened again.
const awayFront = 350 * time.Millisecond

// DrainCallers has callers leave, or stay again. From the word on /healthz says no; a little later callers' connections are
// closed as they fall idle, and with each answer. Call-backs' connections are never touched. It does not block.
func (s *Server) DrainCallers(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on == (s.awayEnd != nil) {
		return
	}
	if !on {
		close(s.awayEnd)
		s.awayEnd = nil
		s.away.Store(false)
		return
	}
	end := make(chan struct{})
	s.awayEnd = end
	go s.sendAway(end)
}

func (s *Server) sendAway(end <-chan struct{}) {
	front := time.NewTimer(awayFront)
	defer front.Stop()
	select {
	case <-end:
		return
	case <-front.C:
	}
	s.mu.Lock()
	if s.awayEnd == end { // not ended meanwhile, nor begun anew
		s.away.Store(true)
	}
	s.mu.Unlock()
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for {
		select {
		case <-end:
			return
		case now := <-t.C:
			s.closeIdle(now, ofCallers)
		}
	}
}
