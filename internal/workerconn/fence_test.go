package workerconn

import (
	"math"
	"sync/atomic"
	"testing"
	"time"

	"foldlb.example/foldlb/internal/core"
)

// TestFenceBetweenDecisionAndWrite checks that a branch decided on before the fence is not written if its connection is
// ready only after it. The connection stays usable, and carries a branch once the fence has been moved.
func TestFenceBetweenDecisionAndWrite(t *testing.T) {
	p := listen(t)
	s, events := newTestSender(Options{IdleClose: time.Minute})
	var now atomic.Int64 // seconds
	now.Store(5)
	s.clock = func() float64 { return float64(now.Load()) }
	s.Fence(10)
	dial := s.pool.dial
	connected, proceed := pauseDials(s)
	s.Send(branch(2, p.addr()))
	<-connected
	l := p.accept()
	now.Store(10) // as after a pause of the process
	proceed <- struct{}{}
	s.pool.dial = dial
	wantFault(t, events, 2, core.NotSent)
	if n, _ := s.Fenced(); n != 1 {
		t.Errorf("%d branches blocked by the fence, want 1", n)
	}
	s.Fence(20)
	s.Send(branch(3, p.addr()))
	if got := l.request(); got == "" {
		t.Error("branch not written after the fence was moved")
	}
	l.respond("202 Accepted")
	waitUntilIdle(t, s)
	s.Fence(math.Inf(1))
	now.Store(25)
	s.Send(branch(4, p.addr()))
	l.request()
	if n, longest := s.Fenced(); n != 1 || longest < 0 {
		t.Errorf("%d branches blocked by the fence, want 1; longest write %v s", n, longest)
	}
}
