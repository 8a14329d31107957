package clientconn

import "time"

// callerDrainDelay is how long callers' connections are kept after the health check begins to fail. The load balancer in
// front checks /healthz ten times a second and assigns new connections for up to 0.2 s after a failed check. Connections
// closed earlier would only be reopened here.
const callerDrainDelay = 350 * time.Millisecond

// SendAway starts or ends the drain of callers. While it is on, /healthz answers 503, and after callerDrainDelay
// callers' connections are closed when they are idle and after each response. Connections of workers are not closed. It
// does not block.
func (s *Server) SendAway(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on == (s.callerDrainEnd != nil) {
		return
	}
	if !on {
		close(s.callerDrainEnd)
		s.callerDrainEnd = nil
		s.drainingCallers.Store(false)
		return
	}
	end := make(chan struct{})
	s.callerDrainEnd = end
	go s.runCallerDrain(end)
}

// runCallerDrain closes callers' connections from callerDrainDelay on, until end is closed.
func (s *Server) runCallerDrain(end <-chan struct{}) {
	delay := time.NewTimer(callerDrainDelay)
	defer delay.Stop()
	select {
	case <-end:
		return
	case <-delay.C:
	}
	s.mu.Lock()
	if s.callerDrainEnd == end { // the drain has not ended or been restarted meanwhile
		s.drainingCallers.Store(true)
	}
	s.mu.Unlock()
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for {
		select {
		case <-end:
			return
		case now := <-t.C:
			s.closeIdle(now, peerCaller)
		}
	}
}
