package upgrade

import (
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"foldlb.example/foldlb/internal/hold"
)

// HandoverSender hands a dispatcher over to new processes.
type HandoverSender struct {
	Runtime         *Runtime
	Command         func() (*exec.Cmd, error) // the new process, not started; its ExtraFiles and Env are extended
	Log             logrus.FieldLogger
	Leave           func(pid int) // called when the new process acts, before the watchers are notified
	ShedConns       func()        // called before connections are sent to an external replacement, since both processes count them; nil for none
	OnSeparateStart func()        // called when an external replacement starts without a handover, beside this process; nil for none

	inputs         chan Input
	orders         chan ownerOrder
	deferredOrders atomic.Int64 // number of orders that wait for the end of an upgrade

	mu                sync.Mutex
	watchers          map[chan Progress]struct{}
	lastResult        Progress // the final progress of the last upgrade
	limits            Limits   // for the next upgrade that is requested here
	replacementLimits Limits   // for one that an external replacement begins
	strict            bool     // fall back if the new process decides differently

	// Used by the goroutine of Run only.
	machine        Machine
	reloadsAtStart int64 // Runtime.Reloads when the new process was started
	pipe           *Pipe
	peer           peer
	replacement    *Replacement // the new process if it was started externally
	timer          *time.Timer
	stepQueue      chan Followed
	stepsQueued    int                // since the first snapshot; used by the loop's goroutine until the hold
	stepDropped    bool               // the queue was full once, so the new process can't follow
	sentAhead      map[*hold.Conn]int // see hold.Files.SentAhead
	resumeGC       func()             // enables the garbage collector again
	stepsWritten   chan struct{}      // closed when all of stepQueue is written
	heldAt         time.Time
	progress       Progress
	snapshotBytes  int          // size of the first snapshot
	deferred       []ownerOrder // orders that wait for the end of the upgrade
}

// NewHandoverSender returns a sender. leave becomes its Leave.
func NewHandoverSender(runtime *Runtime, initialLimits Limits, strict bool, command func() (*exec.Cmd, error), leave func(pid int), log logrus.FieldLogger) *HandoverSender {
	return &HandoverSender{Runtime: runtime, Command: command, Log: log, Leave: leave, limits: initialLimits, strict: strict,
		inputs: make(chan Input, 64), orders: make(chan ownerOrder), watchers: map[chan Progress]struct{}{}, timer: time.NewTimer(time.Hour)}
}

// Configure sets the limits of the next upgrade that is requested here.
func (s *HandoverSender) Configure(limits Limits, strict bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits, s.strict = limits, strict
}

// Accept begins a handover for every replacement that connects at the rendezvous, with limits of its own. It
// returns when the listener is closed.
func (s *HandoverSender) Accept(listener *RendezvousListener, limits Limits) {
	s.mu.Lock()
	s.replacementLimits = limits
	s.mu.Unlock()
	for {
		replacement, err := listener.Accept()
		if err != nil {
			return
		}
		s.inputs <- Begin{Accept: replacement}
	}
}

// Run performs every upgrade that is requested. It does not return.
func (s *HandoverSender) Run() {
	for {
		var in Input
		select {
		case in = <-s.inputs:
		case <-s.timer.C:
			in = TimerExpired{}
		case o := <-s.orders:
			if s.machine.DefersOrders() || o.signal == syscall.SIGTERM && s.machine.Phase() != Idle {
				s.deferred = append(s.deferred, o)
				s.deferredOrders.Add(1)
			} else {
				o.run()
			}
			continue
		}
		if b, begins := in.(Begin); begins && s.machine.Phase() == Idle {
			s.mu.Lock()
			s.machine.Limits, s.machine.Strict = s.limits, s.strict
			if b.Accept != nil {
				s.machine.Limits, s.machine.Strict = s.replacementLimits, false
			}
			s.replacement = b.Accept
			s.mu.Unlock()
		}
		s.step(in)
	}
}

// step feeds the machine and executes its actions. An input that results from an action is fed back at once.
func (s *HandoverSender) step(in Input) {
	for _, a := range s.machine.Step(in) {
		if next := s.execute(a); next != nil {
			s.step(next)
		}
	}
}

func (s *HandoverSender) execute(a Action) Input {
	switch a := a.(type) {
	case SetTimer:
		if s.timer.Stop(); a.After > 0 {
			s.timer.Reset(a.After)
		}
	case Step:
		s.Log.WithField("phase", a.Phase.String()).Info("upgrade")
		s.notifyWatchers(Progress{Step: a.Phase.String()})
	case Start:
		if err := s.start(); err != nil {
			return PeerExited{Cause: err.Error()}
		}
	case SendTrial:
		if err := s.sendTrial(); err != nil {
			s.Log.WithError(err).Warn("upgrade: the first snapshot was not sent")
			return MessageReceived{Refused{Reason: "it could not be sent its first snapshot: " + err.Error()}}
		}
	case Hold:
		s.heldAt = time.Now()
		err := s.Runtime.Hold(s.machine.Limits.Hold)
		s.progress = Progress{Held: HoldTimes{Quiesce: milliseconds(time.Since(s.heldAt))}}
		return Held{err}
	case SendAll:
		return Sent{s.sendAll()}
	case SendFilesAhead:
		if err := s.sendFilesAhead(); err != nil {
			return MessageReceived{Refused{Reason: "descriptors could not be sent ahead: " + err.Error()}}
		}
	case SendState:
		text, err := s.Runtime.Snapshot()
		if err == nil {
			err = s.pipe.Send(State{Reducer: text})
		}
		s.Log.Warn("upgrade: the new process could not follow every step; the whole state is sent while everything is held")
		return Sent{err}
	case SendGo:
		if err := s.pipe.Send(Go{}); err != nil {
			s.Log.WithError(err).Warn("upgrade: the go message was not sent")
		}
	case Kill:
		if s.peer.kill != nil {
			s.peer.kill()
		}
	case ReleaseHold:
		s.Runtime.Release()
	case Finished:
		s.finishAttempt(a)
	case Exit:
		s.exitReplaced()
	case ExitCrashed:
		s.Log.Error("the new process took over and was killed; what it did is not known, so this process exits too")
		os.Exit(1)
	}
	return nil
}
