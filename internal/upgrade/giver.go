package upgrade

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"foldlb.example/foldlb/internal/hold"
)

// EnvPipe names the descriptors of the pipe, for a process that is to take over.
const EnvPipe = "FOLDLB_UPGRADE"

// firstFile is the descriptor that the first of a command's ExtraFiles becomes.
const firstFile = 3

// aheadAtOnce is how many descriptors there are twice for a moment while they pass on ahead.
const aheadAtOnce = 16

// followMost bounds the steps that wait to be told to the new process. Beyond that it is no longer told any.
const followMost = 8192

// Progress is what those who watch an upgrade are told.
type Progress struct {
	At     time.Time `json:"at"`
	Step   string    `json:"step"`
	Detail string    `json:"detail,omitempty"`
	Final  bool      `json:"final,omitempty"`
	Result string    `json:"result,omitempty"` // of the final one: replaced, fell back, refused
	PID    int       `json:"pid,omitempty"`    // of the new process
	Files  int       `json:"descriptors,omitempty"`
	Late   int       `json:"descriptors_held,omitempty"` // of those, passed on while everything was held
	Bytes  int       `json:"bytes,omitempty"`            // of the first snapshot
	HeldMS float64   `json:"held_ms,omitempty"`          // from the beginning of the hold to this moment
	Held   Times     `json:"held_parts,omitzero"`
}

// Times are the parts of a hold, in milliseconds.
type Times struct {
	Rest float64 `json:"rest_ms"` // until everything was at rest
	Pack float64 `json:"pack_ms"` // writing everything down
	Send float64 `json:"send_ms"` // until the last descriptor was taken
	Take float64 `json:"take_ms"` // until the new process acted
}

func (t Times) String() string {
	return fmt.Sprintf("%.1f+%.1f+%.1f+%.1f", t.Rest, t.Pack, t.Send, t.Take)
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// The results of an upgrade.
const (
	Replaced = "replaced"
	FellBack = "fell back"
	Refusal  = "refused"
)

// Giver hands a dispatcher over to new processes.
type Giver struct {
	Body    *Body
	Command func() (*exec.Cmd, error) // the new process, to be started; its ExtraFiles and Env are added to
	Log     logrus.FieldLogger
	Leave   func(pid int) // called when the new process acts, before anybody is told
	Shed    func()        // called before connections pass on to a newcomer, both of which count; nil for nothing
	Apart   func()        // called when a newcomer starts by itself, beside this process; nil for nothing

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
	came     *Newcomer // the new process, where it came by itself
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

// other is the new process.
type other struct {
	pid  int
	kill func()       // ends it, or its part in the hand-over; Gone follows
	wait func() error // until it has ended, once it says no more
}

// order is what somebody wants done by the process that owns everything.
type order struct {
	signal os.Signal // sent to the new process, if that takes over first
	run    func()    // done here, if this process stays
}

// NewGiver makes a giver with its limits.
func NewGiver(b *Body, l Limits, strict bool, command func() (*exec.Cmd, error), leave func(pid int), log logrus.FieldLogger) *Giver {
	return &Giver{Body: b, Command: command, Log: log, Leave: leave, limits: l, strict: strict,
		inputs: make(chan Input, 64), orders: make(chan order), watchers: map[chan Progress]struct{}{}, timer: time.NewTimer(time.Hour)}
}

// Configure sets the limits of the next upgrade.
func (g *Giver) Configure(l Limits, strict bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limits, g.strict = l, strict
}

// Upgrade asks for an upgrade, and has its progress told until the final word. Where another one is under way, that
// final word comes at once.
func (g *Giver) Upgrade(tell func(Progress)) {
	c := make(chan Progress, 64)
	g.mu.Lock()
	g.watchers[c] = struct{}{}
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.watchers, c)
		g.mu.Unlock()
	}()
	g.inputs <- Begin{By: c}
	for p := range c {
		tell(p)
		if p.Final {
			return
		}
	}
}

// Meet has every newcomer at a meeting place taken for the beginning of a hand-over, within its own limits. It returns
// when the place is closed.
func (g *Giver) Meet(m *Meeting, l Limits) {
	g.mu.Lock()
	g.meeting = l
	g.mu.Unlock()
	for {
		n, err := m.Next()
		if err != nil {
			return
		}
		g.inputs <- Begin{Meet: n}
	}
}

// Last tells how the last upgrade that this process began has ended.
func (g *Giver) Last() Progress {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.last
}

// Order has run called by the process that owns everything: here, at once or when an upgrade under way has fallen
// back; or, as the signal says, by the new process. It returns when run has been called here.
func (g *Giver) Order(signal os.Signal, run func()) {
	done := make(chan struct{})
	g.orders <- order{signal, func() { run(); close(done) }}
	<-done
}

// Stop says that the process is to end. It returns when no upgrade is under way any more; where the new process has
// taken over it does not return, and the new one is told instead.
func (g *Giver) Stop() {
	g.inputs <- Stopped{}
	idle := make(chan struct{})
	g.orders <- order{syscall.SIGTERM, func() { close(idle) }}
	<-idle
}

func (g *Giver) tell(p Progress) {
	p.At = time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.Final {
		g.last = p
	}
	for c := range g.watchers {
		select {
		case c <- p:
		default: // danger: one who does not read must not hold up an upgrade
			if p.Final {
				close(c)
				delete(g.watchers, c)
			}
		}
	}
}

// Run hands over whenever it is asked to. It does not return.
func (g *Giver) Run() {
	for {
		var in Input
		select {
		case in = <-g.inputs:
		case <-g.timer.C:
			in = TimeUp{}
		case o := <-g.orders:
			if g.machine.Past() || o.signal == syscall.SIGTERM && g.machine.Phase() != Idle {
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
			if b.Meet != nil {
				g.machine.Limits, g.machine.Strict = g.meeting, false
			}
			g.came = b.Meet
			g.mu.Unlock()
		}
		g.step(in)
	}
}

// step feeds the machine and carries out its actions. What these find out at once goes back into it.
func (g *Giver) step(in Input) {
	for _, a := range g.machine.Step(in) {
		if next := g.carryOut(a); next != nil {
			g.step(next)
		}
	}
}

func (g *Giver) carryOut(a Action) Input {
	switch a := a.(type) {
	case SetTimer:
		if g.timer.Stop(); a.In > 0 {
			g.timer.Reset(a.In)
		}
	case Step:
		g.Log.WithField("phase", a.Phase.String()).Info("upgrade")
		g.tell(Progress{Step: a.Phase.String()})
	case Start:
		if err := g.start(); err != nil {
			return Gone{How: err.Error()}
		}
	case SendTrial:
		if err := g.sendTrial(); err != nil {
			g.Log.WithError(err).Warn("upgrade: the first snapshot was not sent")
			return Heard{Refused{Reason: "it could not be sent its first snapshot: " + err.Error()}}
		}
	case Hold:
		g.heldAt = time.Now()
		err := g.Body.Hold(g.machine.Limits.Hold)
		g.parcel = Progress{Held: Times{Rest: millis(time.Since(g.heldAt))}}
		return Held{err}
	case SendAll:
		return Sent{g.sendAll()}
	case PassAhead:
		if err := g.passAhead(); err != nil {
			return Heard{Refused{Reason: "descriptors could not be passed on ahead: " + err.Error()}}
		}
	case SendState:
		text, err := g.Body.State()
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
	case LetGo:
		g.Body.LetGo()
	case Ended:
		g.ended(a)
	case Leave:
		g.leave()
	case Abandon:
		g.Log.Error("the new process took over and ended at once; what it did is not known, so this one ends too")
		os.Exit(1)
	}
	return nil
}

// start starts the new process, or takes the one that came, and listens to it.
func (g *Giver) start() error {
	g.reloads = g.Body.Reloads.Load()
	var err error
	if g.came != nil {
		g.pipe, g.other = g.came.pipe, g.metBy(g.came)
	} else if g.pipe, g.other, err = g.launch(); err != nil {
		return err
	}
	go g.listen(g.pipe, g.other)
	return nil
}

// launch starts the new process.
func (g *Giver) launch() (*Pipe, other, error) {
	cmd, err := g.Command()
	if err != nil {
		return nil, other{}, err
	}
	pipe, theirs, err := Pair()
	if err != nil {
		return nil, other{}, err
	}
	at := firstFile + len(cmd.ExtraFiles)
	cmd.ExtraFiles = append(cmd.ExtraFiles, theirs...)
	cmd.Env = append(cmd.Env, fmt.Sprintf("%s=%d,%d", EnvPipe, at, at+1))
	err = cmd.Start()
	for _, f := range theirs {
		f.Close()
	}
	if err != nil {
		pipe.Close()
		return nil, other{}, err
	}
	return pipe, other{pid: cmd.Process.Pid, kill: func() { cmd.Process.Kill() }, wait: cmd.Wait}, nil
}

// metBy is a new process that came by itself. It is not this one's to end: where nothing comes of the hand-over it
// starts by itself. Danger: told to go it may act, and then only its end makes sure that it does not.
func (g *Giver) metBy(n *Newcomer) other {
	return other{pid: n.PID, wait: func() error { return nil }, kill: func() {
		if g.machine.passed {
			syscall.Kill(n.PID, syscall.SIGKILL)
			return
		}
		n.Refuse(g.machine.reason)
	}}
}

// listen passes on what the new process says, and then its end.
func (g *Giver) listen(pipe *Pipe, o other) {
	for {
		m, err := pipe.Receive(0)
		if err != nil {
			if !ended(err) && !errors.Is(err, net.ErrClosed) {
				g.inputs <- Heard{err}
			}
			break
		}
		g.inputs <- Heard{m}
	}
	err := o.wait() // a process that says no more must end; where it does not, a limit has it killed
	how := "it ended, or gave up"
	if err != nil {
		how = err.Error()
	}
	g.inputs <- Gone{How: how}
}

// sendTrial sends a snapshot and begins to tell the new process every step.
func (g *Giver) sendTrial() error {
	g.follow, g.followed = make(chan Followed, followMost), make(chan struct{})
	steps := g.follow
	g.steps, g.behind, g.ahead = 0, false, nil
	text, err := g.Body.Trial(func(f Followed) {
		if g.behind {
			return
		}
		select {
		case steps <- f:
			g.steps++
		default:
			g.behind = true // danger: a gap would make the rest worthless, and waiting would stop the service
		}
	})
	if err != nil {
		close(g.followed)
		return err
	}
	g.bytes = len(text)
	if err = g.pipe.words.SetWriteDeadline(time.Now().Add(g.machine.Limits.Start)); err == nil {
		err = g.pipe.Send(Trial{Reducer: text})
	}
	// Danger: also after an error the steps are taken: whoever ends the following waits for that.
	pipe, followed := g.pipe, g.followed
	go func() {
		defer close(followed)
		for f := range steps {
			if pipe.Send(f) != nil {
				for range steps { // nobody listens any more
				}
			}
		}
	}()
	return err
}

// unfollow ends the telling of steps, once the loop no longer adds any.
func (g *Giver) unfollow() {
	if g.follow != nil {
		close(g.follow)
		<-g.followed
		g.follow = nil
	}
}

// passAhead passes on the descriptors of the connections there are, while they go on working: it is what takes
// longest, and nobody has to wait for it.
func (g *Giver) passAhead() error {
	limit := time.Now().Add(g.machine.Limits.Start)
	if err := errors.Join(g.pipe.words.SetWriteDeadline(limit), g.pipe.files.SetDeadline(limit)); err != nil {
		return err
	}
	g.collect = pauseCollector()
	if g.came != nil && g.Shed != nil {
		g.Shed()
	}
	conns, sent := g.Body.Gate.Conns(), 0
	g.ahead = make(map[*hold.Conn]int, len(conns))
	for len(conns) > 0 {
		some := conns[:min(len(conns), aheadAtOnce)]
		conns = conns[len(some):]
		var fds []int
		for _, c := range some {
			// Danger: its number alone may stand for another connection by the time it is sent.
			c.FD(func(fd int) {
				if twin, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, 0); err == nil {
					g.ahead[c] = sent + len(fds)
					fds = append(fds, twin)
				}
			})
		}
		if len(fds) == 0 {
			continue
		}
		err := g.pipe.Send(Ahead{Files: len(fds)})
		if err == nil {
			err = g.pipe.SendFiles(fds)
		}
		for _, fd := range fds {
			unix.Close(fd)
		}
		if err != nil {
			return err
		}
		sent += len(fds)
	}
	return g.pipe.Send(Ahead{})
}

// sendAll sends everything. The body is held.
func (g *Giver) sendAll() error {
	limit := time.Now().Add(g.machine.Limits.Offer)
	if err := errors.Join(g.pipe.words.SetWriteDeadline(limit), g.pipe.files.SetDeadline(limit)); err != nil {
		return err
	}
	g.unfollow()
	files := hold.Files{Ahead: g.ahead}
	parcel, err := g.Body.Pack(&files)
	if err != nil {
		return err
	}
	if parcel.Steps = g.steps; g.behind {
		parcel.Steps = -1
	}
	parcel.Reload = g.Body.Reloads.Load() != g.reloads
	packed := time.Now()
	g.parcel.Held.Pack = millis(packed.Sub(g.heldAt)) - g.parcel.Held.Rest
	g.parcel.Files, g.parcel.Late = len(files.FDs)+len(g.ahead), len(files.FDs)
	if err := g.pipe.Send(parcel); err != nil {
		return err
	}
	err = g.pipe.SendFiles(files.FDs)
	g.parcel.Held.Send = millis(time.Since(packed))
	return err
}

// ended cleans up after an upgrade that did not come about.
func (g *Giver) ended(e Ended) {
	if e.Refused {
		if e.Meet != nil {
			e.Meet.Refuse(e.Reason)
			g.apart()
		}
		if c, ok := e.By.(chan Progress); ok {
			c <- Progress{At: time.Now(), Step: g.machine.Phase().String(), Final: true, Result: Refusal, Detail: e.Reason}
		}
		return
	}
	if g.collect != nil {
		g.collect()
		g.collect = nil
	}
	if g.follow != nil {
		g.Body.Unfollow()
		g.unfollow()
	}
	if g.pipe != nil {
		g.pipe.Close()
	}
	if g.came != nil {
		g.apart()
	}
	g.pipe, g.other, g.came = nil, other{}, nil
	g.Log.WithField("reason", e.Reason).Warn("upgrade fell back: this process goes on")
	g.tell(Progress{Step: Idle.String(), Final: true, Result: FellBack, Detail: e.Reason})
	for _, o := range g.waiting {
		o.run()
	}
	g.waiting = nil
	g.putOff.Store(0)
}

func (g *Giver) apart() {
	if g.Apart != nil {
		g.Apart()
	}
}

// leave ends this process. Danger: nothing may be closed in an orderly way, since a shutdown of what both processes
// hold would reach the other sides.
func (g *Giver) leave() {
	pid := g.other.pid
	p := g.parcel
	p.Bytes = g.bytes
	p.Step, p.Final, p.Result, p.PID, p.HeldMS = Leaving.String(), true, Replaced, pid, millis(time.Since(g.heldAt))
	p.Held.Take = p.HeldMS - p.Held.Rest - p.Held.Pack - p.Held.Send
	if g.Leave != nil {
		g.Leave(pid) // first: whoever hears the final word may ask at once who serves
	}
	g.tell(p)
	g.Log.WithFields(logrus.Fields{"pid": pid, "held_ms": p.HeldMS, "held_parts_ms": p.Held.String(), "descriptors": p.Files, "bytes": p.Bytes}).Info("upgraded: the new process has taken over")
	for _, o := range g.waiting {
		g.passOn(o)
	}
	g.flush()
	os.Exit(0)
}

// flushMost bounds the wait for those who watch to be told the end. Danger: what the new process closes stays open
// for the other side until this one has ended too.
const flushMost = 100 * time.Millisecond

// lastOrders is how long orders are passed on that came before the new process acted, and are still on their way
// inside this one.
const lastOrders = 5 * time.Millisecond

// passOn gives an order to the new process. SIGTERM after a newcomer has taken over meant this process, which ends.
func (g *Giver) passOn(o order) {
	if g.came == nil || o.signal != syscall.SIGTERM {
		syscall.Kill(g.other.pid, o.signal.(syscall.Signal))
	}
}

// flush passes on the last orders, and waits until those who watch have been told the end.
func (g *Giver) flush() {
	begin := time.Now()
	t := time.NewTicker(time.Millisecond)
	defer t.Stop()
	for {
		select {
		case o := <-g.orders:
			g.passOn(o)
		case now := <-t.C:
			g.mu.Lock()
			n := len(g.watchers)
			g.mu.Unlock()
			if past := now.Sub(begin); past >= flushMost || n == 0 && past >= lastOrders {
				return
			}
		}
	}
}

// PutOff tells how many orders wait for the end of an upgrade.
func (g *Giver) PutOff() int { return int(g.putOff.Load()) }
