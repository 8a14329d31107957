package workerconn

import (
	"math"
	"sync/atomic"
	"testing"
	"time"

	"foldlb.example/foldlb/internal/core"
)

// TestFenceBetweenDecisionAndWrite: a branch that was decided on while this dispatcher might act, and whose connection is ready only when it
// may not, is not written; the connection stays good for what is written once the fence is over.
func TestFenceBetweenDecisionAndWrite(t *testing.T) {
	p := listen(t)
	s, events := newTestSender(Options{IdleClose: time.Minute})
	var now atomic.Int64 // seconds
	now.Store(5)
	s.clock = func() float64 { return float64(now.Load()) }
	s.Fence(10)
	dial := s.pool.dial
	up, on := pauseDials(s)
	s.Send(branch(2, p.addr()))
	<-up
	l := p.accept()
	now.Store(10) // as after a stop of the process
	on <- struct{}{}
	s.pool.dial = dial
	wantFault(t, events, 2, core.NotSent)
	if n, _ := s.Fenced(); n != 1 {
		t.Errorf("%d branches stopped by the fence, want 1", n)
	}
	s.Fence(20)
	s.Send(branch(3, p.addr()))
	if got := l.request(); got == "" {
		t.Error("not written once the fence is over")
	}
	l.respond("202 Accepted")
	waitUntilIdle(t, s)
	s.Fence(math.Inf(1))
	now.Store(25)
	s.Send(branch(4, p.addr()))
	l.request()
	if n, longest := s.Fenced(); n != 1 || longest < 0 {
		t.Errorf("%d branches stopped by the fence, want 1; longest write %v", n, longest)
	}
}
