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

// Giver hands a dispatcher over to new processes.
type HandoverSender struct {
	Runtime         *Runtime
	Command         func() (*exec.Cmd, error) // the new process, to be started; its ExtraFiles and Env are added to
	Log             logrus.FieldLogger
	Leave           func(pid int) // called when the new process acts, before anybody is told
	ShedConns       func()        // called before connections pass on to a newcomer, both of which count; nil for nothing
	OnSeparateStart func()        // called when a newcomer starts by itself, beside this process; nil for nothing

	inputs chan Input
	orders chan order
	putOff atomic.Int64 // orders that wait for the end of an upgrade

	mu       sync.Mutex
	watchers map[chan Progress]struct{}
	last     Progress // the last upgrade's end
	limits   Limits   // for the next upgrade that is ordered here
	meeting  Limits   // for one that a newcomer begins
	strict   bool

	// Of the goroutine that runs.
	machine  Machine
	reloads  int64 // of the body, when the new process was started
	pipe     *Pipe
	other    other
	came     *Replacement // the new process, where it came by itself
	timer    *time.Timer
	follow   chan Followed
	steps    int  // told since the first snapshot; of the loop's goroutine until the hold
	behind   bool // one was left out
	ahead    map[*hold.Conn]int
	collect  func()        // lets the collector run again
	followed chan struct{} // closed when all of follow is written
	heldAt   time.Time
	parcel   Progress
	bytes    int // of the first snapshot
	waiting  []order
}

// NewHandoverSender makes a giver with its limits.
func NewHandoverSender(b *Runtime, l Limits, strict bool, command func() (*exec.Cmd, error), leave func(pid int), log logrus.FieldLogger) *HandoverSender {
	return &HandoverSender{Runtime: b, Command: command, Log: log, Leave: leave, limits: l, strict: strict,
		inputs: make(chan Input, 64), orders: make(chan order), watchers: map[chan Progress]struct{}{}, timer: time.NewTimer(time.Hour)}
}

// Configure sets the limits of the next upgrade.
func (g *HandoverSender) Configure(l Limits, strict bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits, g.strict = l, strict
}

// Meet has every newcomer at a meeting place taken for the beginning of a hand-over, within its own limits. It returns
// when the place is closed.
func (g *HandoverSender) Accept(m *RendezvousListener, l Limits) {
	g.mu.Lock()
	g.meeting = l
	g.mu.Unlock()
	for {
		n, err := m.Accept()
		if err != nil {
			return
		}
		g.inputs <- Begin{Accept: n}
	}
}

// Run hands over whenever it is asked to. It does not return.
func (g *HandoverSender) Run() {
	for {
		var in Input
		select {
		case in = <-g.inputs:
		case <-g.timer.C:
			in = TimerExpired{}
		case o := <-g.orders:
			if g.machine.DefersOrders() || o.signal == syscall.SIGTERM && g.machine.Phase() != Idle {
				g.waiting = append(g.waiting, o)
				g.putOff.Add(1)
			} else {
				o.run()
			}
			continue
		}
		if b, begins := in.(Begin); begins && g.machine.Phase() == Idle {
			g.mu.Lock()
			g.machine.Limits, g.machine.Strict = g.limits, g.strict
			if b.Accept != nil {
				g.machine.Limits, g.machine.Strict = g.meeting, false
			}
			g.came = b.Accept
			g.mu.Unlock()
		}
		g.step(in)
	}
}

// step feeds the machine and carries out its actions. What these find out at once goes back into it.
func (g *HandoverSender) step(in Input) {
	for _, a := range g.machine.Step(in) {
		if next := g.carryOut(a); next != nil {
			g.step(next)
		}
	}
}

func (g *HandoverSender) carryOut(a Action) Input {
	switch a := a.(type) {
	case SetTimer:
		if g.timer.Stop(); a.After > 0 {
			g.timer.Reset(a.After)
		}
	case Step:
		g.Log.WithField("phase", a.Phase.String()).Info("upgrade")
		g.tell(Progress{Step: a.Phase.String()})
	case Start:
		if err := g.start(); err != nil {
			return PeerExited{Cause: err.Error()}
		}
	case SendTrial:
		if err := g.sendTrial(); err != nil {
			g.Log.WithError(err).Warn("upgrade: the first snapshot was not sent")
			return MessageReceived{Refused{Reason: "it could not be sent its first snapshot: " + err.Error()}}
		}
	case Hold:
		g.heldAt = time.Now()
		err := g.Runtime.Hold(g.machine.Limits.Hold)
		g.parcel = Progress{Held: HoldTimes{Quiesce: millis(time.Since(g.heldAt))}}
		return Held{err}
	case SendAll:
		return Sent{g.sendAll()}
	case SendFilesAhead:
		if err := g.passAhead(); err != nil {
			return MessageReceived{Refused{Reason: "descriptors could not be passed on ahead: " + err.Error()}}
		}
	case SendState:
		text, err := g.Runtime.Snapshot()
		if err == nil {
			err = g.pipe.Send(State{Reducer: text})
		}
		g.Log.Warn("upgrade: the new process could not follow every step; the whole state is sent while everything is held")
		return Sent{err}
	case SendGo:
		if err := g.pipe.Send(Go{}); err != nil {
			g.Log.WithError(err).Warn("upgrade: the word to go was not sent")
		}
	case Kill:
		if g.other.kill != nil {
			g.other.kill()
		}
	case ReleaseHold:
		g.Runtime.Release()
	case Finished:
		g.ended(a)
	case Exit:
		g.leave()
	case ExitCrashed:
		g.Log.Error("the new process took over and ended at once; what it did is not known, so this one ends too")
		os.Exit(1)
	}
	return nil
}
