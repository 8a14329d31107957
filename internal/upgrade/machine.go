// Package upgrade passes everything that a dispatcher holds to a new process of another build: its listener, its
// connections, and all in-flight state. The old process gives, the new one takes.
//
// Machine is the giver's side as a state machine without I/O; Pipe carries messages and descriptors between the
// two; Giver and Taker do what the machine asks for. docs/upgrade-design.md gives the reasons.
package upgrade

import (
	"fmt"
	"time"
)

// Phase is how far a hand-over has come.
type Phase int

// The phases, in the order in which a good hand-over goes through them.
const (
	Idle       Phase = iota // no hand-over
	Starting                // the new process has been started and has not said hello
	Rehearsing              // it is taking up a first snapshot, while the old process serves
	Following               // it follows the old one's events, until the probation is over
	Passing                 // descriptors pass to it ahead, while the old process serves
	Holding                 // the old process is coming to rest
	Offering                // everything has been sent; the new process has not said that it is ready
	Committing              // it has been told to go; it has not said that it acts
	Leaving                 // it acts: the old process ends
	Killing                 // it failed; its end is waited for before anything goes on here
	Stranded                // it acted, and ended at once: nobody knows what it did
)

var phaseNames = [...]string{"idle", "starting", "rehearsing", "following", "passing", "holding", "offering", "committing", "leaving",
	"falling back", "stranded"}

func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return fmt.Sprintf("phase %d", int(p))
	}
	return phaseNames[p]
}

// Limits bounds the time of the phases.
type Limits struct {
	Start     time.Duration // from the start of the new process to its hello, and again to its first snapshot's import
	Probation time.Duration // for which it must follow
	Hold      time.Duration // for the old process to come to rest
	Offer     time.Duration // for the new process to take everything up
	Commit    time.Duration // for it to act
}

// Input is anything that moves the machine.
type Input interface{ input() }

// The inputs.
type (
	Begin struct { // an upgrade is asked for, by somebody who is told where it is refused
		Requester any
		Accept    *Replacement // the new process, where it came by itself; nil where it is to be started
	}
	MessageReceived struct{ Message any }  // the new process said something
	PeerExited      struct{ Cause string } // it has ended, and all that it said has been heard
	TimerExpired    struct{}               // the time set by the last SetTimer is over
	Held            struct{ Err error }    // the old process has come to rest, or could not
	Sent            struct{ Err error }    // everything has been sent, or could not be
	StopRequested   struct{}               // SIGTERM: the old process is to end
)

func (Begin) input()           {}
func (MessageReceived) input() {}
func (PeerExited) input()      {}
func (TimerExpired) input()    {}
func (Held) input()            {}
func (Sent) input()            {}
func (StopRequested) input()   {}

// Action is anything that the machine wants done.
type Action interface{ action() }

// The actions, to be carried out in order.
type (
	Start          struct{}                      // start the new process
	SendTrial      struct{}                      // send a snapshot, and from there on every step
	SendFilesAhead struct{}                      // pass on the descriptors there are
	SendState      struct{}                      // send the reducer's state, which the new process could not follow
	Hold           struct{}                      // stop the loop and hold the gate; Held answers
	SendAll        struct{}                      // send everything with its descriptors; Sent answers
	SendGo         struct{}                      // tell the new process to go
	Kill           struct{}                      // kill it; Gone answers
	ReleaseHold    struct{}                      // go on here as if nothing had been
	Exit           struct{}                      // end the process at once, closing nothing in an orderly way
	ExitCrashed    struct{}                      // end the process as crashed
	SetTimer       struct{ After time.Duration } // 0 for none; replaces the last one
	Step           struct{ Phase Phase }         // for those who watch
	Finished       struct {                      // for those who watch: the upgrade is over, and this process stays
		Refused   bool
		Requester any // who asked, where it is refused
		Peer      *Replacement
		Reason    string
	}
)

func (Start) action()          {}
func (SendTrial) action()      {}
func (Hold) action()           {}
func (SendFilesAhead) action() {}
func (SendState) action()      {}
func (SendAll) action()        {}
func (SendGo) action()         {}
func (Kill) action()           {}
func (ReleaseHold) action()    {}
func (Exit) action()           {}
func (ExitCrashed) action()    {}
func (SetTimer) action()       {}
func (Step) action()           {}
func (Finished) action()       {}

// Machine decides the giver's steps. Its zero value but for Limits is idle.
type Machine struct {
	Limits  Limits
	Strict  bool // other decisions than the old process's, while following, are a reason to fall back
	phase   Phase
	held    bool // the loop and the gate are held
	passed  bool // the new process was told to go
	came    bool // the new process came by itself
	reason  string
	stopped bool // SIGTERM came; no new upgrade
	out     []Action
}

// Phase tells how far the hand-over has come.
func (m *Machine) Phase() Phase { return m.phase }

// Past tells whether orders to this process are to be put off: it is at rest, and the new one may own everything.
func (m *Machine) DefersOrders() bool { return m.held || m.phase == Leaving || m.phase == Stranded }

// Step takes an input and returns what is to be done.
func (m *Machine) Step(in Input) []Action {
	m.out = nil
	switch in := in.(type) {
	case Begin:
		m.begin(in)
	case MessageReceived:
		m.heard(in.Message)
	case PeerExited:
		m.gone(in.Cause)
	case TimerExpired:
		m.timeUp()
	case Held:
		m.whenHeld(in.Err)
	case Sent:
		if m.phase == Offering && in.Err != nil {
			m.fail(fmt.Sprintf("could not send everything: %v", in.Err))
		}
	case StopRequested:
		m.stopped = true
		switch m.phase {
		case Starting, Rehearsing, Following, Passing:
			// One that came by itself is there because this process is to end: it gets what it came for.
			if !m.came {
				m.fail("SIGTERM came meanwhile")
			}
		}
	}
	return m.out
}

func (m *Machine) do(a ...Action) { m.out = append(m.out, a...) }

// enter begins a phase that must end within a time.
func (m *Machine) enter(p Phase, limit time.Duration) {
	m.phase = p
	m.do(SetTimer{limit}, Step{p})
}

func (m *Machine) begin(in Begin) {
	refuse := func(reason string) {
		m.do(Finished{Refused: true, Requester: in.Requester, Peer: in.Accept, Reason: reason})
	}
	switch {
	case m.stopped:
		refuse("the dispatcher is ending")
	case m.phase != Idle:
		refuse("an upgrade is under way: " + m.phase.String())
	default:
		m.reason, m.passed, m.came = "", false, in.Accept != nil
		m.enter(Starting, m.Limits.Start)
		m.do(Start{})
	}
}

// fail ends a hand-over. Danger: nothing may go on here while the new process lives, and might act.
func (m *Machine) fail(reason string) {
	switch m.phase {
	case Idle, Killing, Leaving, Stranded:
		return
	}
	m.reason = reason
	m.enter(Killing, 0)
	m.do(Kill{})
}

func (m *Machine) heard(message any) {
	switch x := message.(type) {
	case Refused:
		m.fail("the new process refused: " + x.Reason)
	case Hello:
		if m.phase != Starting {
			m.fail("the new process said hello again")
		} else if x.Protocol != Protocol || x.Schema != ownSchema {
			m.fail(fmt.Sprintf("the new process speaks hand-over protocol %d and snapshot schema %d, this one %d and %d",
				x.Protocol, x.Schema, Protocol, ownSchema))
		} else {
			m.enter(Rehearsing, m.Limits.Start)
			m.do(SendTrial{})
		}
	case TrialTaken:
		if m.phase == Rehearsing {
			m.enter(Following, m.Limits.Probation)
		}
	case Differs:
		if m.Strict && (m.phase == Following || m.phase == Passing) {
			m.fail("the new process decides otherwise: " + x.First)
		}
	case AheadTaken:
		if m.phase == Passing {
			m.held = true
			m.enter(Holding, 0) // Hold has a limit of its own
			m.do(Hold{})
		}
	case NeedState:
		if m.phase == Offering {
			m.do(SendState{})
		}
	case Ready:
		if m.phase == Offering {
			m.passed = true
			m.enter(Committing, m.Limits.Commit)
			m.do(SendGo{})
		}
	case Acting:
		switch {
		case m.phase == Committing:
			m.enter(Leaving, 0)
			m.do(Exit{})
		case m.phase == Killing && m.passed:
			// Danger: it acted before it was killed. What it did is not known here, and repeating any of it could
			// answer a request twice or run a job again.
			m.enter(Stranded, 0)
			m.do(ExitCrashed{})
		default:
			m.fail("the new process acted without being told to")
		}
	default:
		m.fail(fmt.Sprintf("the new process sent what is not understood (%T)", message))
	}
}

func (m *Machine) gone(how string) {
	switch m.phase {
	case Idle, Leaving, Stranded:
		return
	case Killing:
	default:
		m.reason = fmt.Sprintf("the new process ended while %v: %s", m.phase, how)
	}
	if m.held {
		m.held = false
		m.do(ReleaseHold{})
	}
	m.phase = Idle
	m.do(SetTimer{0}, Step{Idle}, Finished{Reason: m.reason})
}

func (m *Machine) timeUp() {
	switch m.phase {
	case Following:
		m.enter(Passing, m.Limits.Start)
		m.do(SendFilesAhead{})
	case Starting, Rehearsing, Passing, Offering, Committing:
		m.fail(fmt.Sprintf("the new process took too long while %v", m.phase))
	}
}

func (m *Machine) whenHeld(err error) {
	switch {
	case err != nil:
		m.held = false // what could not be held has been let go
		m.fail(fmt.Sprintf("could not come to rest: %v", err))
	case m.phase == Holding:
		m.enter(Offering, m.Limits.Offer)
		m.do(SendAll{})
	}
}
