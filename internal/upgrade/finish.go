package upgrade

import (
	"os"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// finishAttempt cleans up after an upgrade that was refused or fell back.
func (s *HandoverSender) finishAttempt(result Finished) {
	if result.Refused {
		if result.Peer != nil {
			result.Peer.Refuse(result.Reason)
			s.notifySeparateStart()
		}
		if c, ok := result.Requester.(chan Progress); ok {
			c <- Progress{At: time.Now(), Step: s.machine.Phase().String(), Final: true, Result: Refusal, Detail: result.Reason}
		}
		return
	}
	if s.resumeGC != nil {
		s.resumeGC()
		s.resumeGC = nil
	}
	if s.stepQueue != nil {
		s.Runtime.StopFollowing()
		s.stopFollowing()
	}
	if s.pipe != nil {
		s.pipe.Close()
	}
	if s.replacement != nil {
		s.notifySeparateStart()
	}
	s.pipe, s.peer, s.replacement = nil, peer{}, nil
	s.Log.WithField("reason", result.Reason).Warn("upgrade fell back: this process continues to serve")
	s.notifyWatchers(Progress{Step: Idle.String(), Final: true, Result: FellBack, Detail: result.Reason})
	for _, o := range s.deferred {
		o.run()
	}
	s.deferred = nil
	s.deferredOrders.Store(0)
}

func (s *HandoverSender) notifySeparateStart() {
	if s.OnSeparateStart != nil {
		s.OnSeparateStart()
	}
}

// exitReplaced ends this process. It must not close anything in an orderly way: shutting down a socket that both
// processes hold would reach the peers.
func (s *HandoverSender) exitReplaced() {
	pid := s.peer.pid
	p := s.progress
	p.Bytes = s.snapshotBytes
	p.Step, p.Final, p.Result, p.PID, p.HeldMS = Leaving.String(), true, Replaced, pid, milliseconds(time.Since(s.heldAt))
	p.Held.Takeover = p.HeldMS - p.Held.Quiesce - p.Held.Pack - p.Held.Send
	if s.Leave != nil {
		s.Leave(pid) // first: a watcher that receives the final progress may ask at once which process serves
	}
	s.notifyWatchers(p)
	s.Log.WithFields(logrus.Fields{"pid": pid, "held_ms": p.HeldMS, "held_parts_ms": p.Held.String(), "descriptors": p.Files, "bytes": p.Bytes}).Info("upgraded: the new process has taken over")
	for _, o := range s.deferred {
		s.forwardOrder(o)
	}
	s.flush()
	os.Exit(0)
}

// maxFlushWait bounds the wait until the watchers have received the final progress. The wait must be short, since a
// connection that the new process closes stays open for its peer until this process has exited too.
const maxFlushWait = 100 * time.Millisecond

// lateOrderWait is how long orders are forwarded that were received before the new process acted and are still queued
// inside this process.
const lateOrderWait = 5 * time.Millisecond

// forwardOrder signals the new process. A SIGTERM is not forwarded to an external replacement: it was meant for this process, which exits.
func (s *HandoverSender) forwardOrder(o ownerOrder) {
	if s.replacement == nil || o.signal != syscall.SIGTERM {
		syscall.Kill(s.peer.pid, o.signal.(syscall.Signal))
	}
}

// flush forwards the last orders, and waits until the watchers have received the final progress.
func (s *HandoverSender) flush() {
	begin := time.Now()
	t := time.NewTicker(time.Millisecond)
	defer t.Stop()
	for {
		select {
		case o := <-s.orders:
			s.forwardOrder(o)
		case now := <-t.C:
			s.mu.Lock()
			n := len(s.watchers)
			s.mu.Unlock()
			if past := now.Sub(begin); past >= maxFlushWait || n == 0 && past >= lateOrderWait {
				return
			}
		}
	}
}
