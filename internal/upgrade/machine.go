// Package upgrade hands over everything that a dispatcher holds to a new process of another build: its listener, its
// connections, and all in-flight state. The old process sends, the new one receives.
//
// Machine is the sender's side as a state machine without I/O. Pipe carries messages and descriptors between the two
// processes. HandoverSender executes the machine's actions; Receive and Taken are the new process's side.
// docs/upgrade-design.md gives the reasons.
package upgrade

import (
	"fmt"
	"time"
)

// Phase is the progress of a handover.
type Phase int

// The phases, in the order of a successful handover.
const (
	Idle       Phase = iota // no handover
	Starting                // the new process was started and has not sent Hello yet
	Rehearsing              // the new process imports a first snapshot, while the old process serves
	Following               // the new process replays the old one's events, until the probation is over
	Passing                 // descriptors are sent ahead, while the old process serves
	Holding                 // the old process pauses its loop and its connections
	Offering                // everything is being sent; the new process has not sent Ready yet
	Committing              // Go was sent; the new process has not sent Acting yet
	Leaving                 // the new process acts: the old process exits
	Killing                 // the new process failed; nothing resumes here before it has exited
	Stranded                // the new process acted and was killed: what it did is unknown
)

var phaseNames = [...]string{"idle", "starting", "rehearsing", "following", "passing", "holding", "offering", "committing", "leaving",
	"falling back", "stranded"}

func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return fmt.Sprintf("phase %d", int(p))
	}
	return phaseNames[p]
}

// Limits are the maximum durations of the phases.
type Limits struct {
	Start     time.Duration // from the start of the new process to its Hello, then for its first snapshot's import, then for sending ahead
	Probation time.Duration // of Following; it always takes this long
	Hold      time.Duration // until the old process is paused
	Offer     time.Duration // until the new process has received and imported everything
	Commit    time.Duration // from Go until the new process acts
}

// Input is an event that the machine reacts to.
type Input interface{ input() }

// The inputs of the machine.
type (
	Begin struct { // an upgrade is requested; the requester is notified if it is refused
		Requester any
		Accept    *Replacement // the new process if it was started externally; nil if this process starts it
	}
	MessageReceived struct{ Message any }  // from the new process; an error if it could not be decoded
	PeerExited      struct{ Cause string } // the new process has exited, and all its messages have been processed
	TimerExpired    struct{}               // the time set by the last SetTimer has passed
	Held            struct{ Err error }    // the old process is paused, or could not be
	Sent            struct{ Err error }    // everything was sent, or could not be
	StopRequested   struct{}               // SIGTERM: the old process is to exit
)

func (Begin) input()           {}
func (MessageReceived) input() {}
func (PeerExited) input()      {}
func (TimerExpired) input()    {}
func (Held) input()            {}
func (Sent) input()            {}
func (StopRequested) input()   {}

// Action is an operation that the machine requests from the sender.
type Action interface{ action() }

// The actions, to be executed in order.
type (
	Start          struct{}                      // start the new process
	SendTrial      struct{}                      // send a snapshot, and from there on every step
	SendFilesAhead struct{}                      // send the descriptors of the present connections
	SendState      struct{}                      // send the reducer's state, since the new process could not follow every step
	Hold           struct{}                      // pause the loop and the gate; Held is the reply
	SendAll        struct{}                      // send the parcel and its descriptors; Sent is the reply
	SendGo         struct{}                      // send Go to the new process
	Kill           struct{}                      // kill the new process; PeerExited is the reply
	ReleaseHold    struct{}                      // resume here as if nothing had happened
	Exit           struct{}                      // exit at once, without an orderly shutdown of anything
	ExitCrashed    struct{}                      // exit with an error status
	SetTimer       struct{ After time.Duration } // replaces the last one; 0 for none
	Step           struct{ Phase Phase }         // notify the watchers of the new phase
	Finished       struct {                      // notify the watchers: the upgrade is over, and this process stays
		Refused   bool
		Requester any // of the upgrade, if it is refused
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

// Machine decides the steps of the old process. With Limits set and all else zero it is idle.
type Machine struct {
	Limits     Limits
	Strict     bool // fall back if the new process decides differently while following
	phase      Phase
	held       bool // the loop and the gate are held
	commitSent bool // Go is being sent or was sent
	external   bool // the new process was started externally
	reason     string
	stopped    bool // SIGTERM was received; no new upgrade begins
	actions    []Action
}

// Phase returns the progress of the handover.
func (m *Machine) Phase() Phase { return m.phase }

// DefersOrders reports whether orders to this process must wait: it is paused, and the new process may own everything.
func (m *Machine) DefersOrders() bool { return m.held || m.phase == Leaving || m.phase == Stranded }

// Step processes an input and returns the actions that it requires.
func (m *Machine) Step(in Input) []Action {
	m.actions = nil
	switch in := in.(type) {
	case Begin:
		m.begin(in)
	case MessageReceived:
		m.messageReceived(in.Message)
	case PeerExited:
		m.peerExited(in.Cause)
	case TimerExpired:
		m.timerExpired()
	case Held:
		m.holdFinished(in.Err)
	case Sent:
		if m.phase == Offering && in.Err != nil {
			m.fail(fmt.Sprintf("could not send everything: %v", in.Err))
		}
	case StopRequested:
		m.stopped = true
		switch m.phase {
		case Starting, Rehearsing, Following, Passing:
			// An externally started process is there because this process is to exit: the handover continues.
			if !m.external {
				m.fail("SIGTERM came meanwhile")
			}
		}
	}
	return m.actions
}

func (m *Machine) do(a ...Action) { m.actions = append(m.actions, a...) }

// enter begins a phase with a time limit; 0 for none.
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
		m.reason, m.commitSent, m.external = "", false, in.Accept != nil
		m.enter(Starting, m.Limits.Start)
		m.do(Start{})
	}
}

// fail ends a handover. Nothing may resume here while the new process lives, since it might act.
func (m *Machine) fail(reason string) {
	switch m.phase {
	case Idle, Killing, Leaving, Stranded:
		return
	}
	m.reason = reason
	m.enter(Killing, 0)
	m.do(Kill{})
}

func (m *Machine) messageReceived(message any) {
	switch x := message.(type) {
	case Refused:
		m.fail("the new process refused: " + x.Reason)
	case Hello:
		if m.phase != Starting {
			m.fail("the new process sent hello again")
		} else if x.Protocol != Protocol || x.Schema != ownSchema {
			m.fail(fmt.Sprintf("the new process uses handover protocol %d and snapshot schema %d, this one %d and %d",
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
			m.enter(Holding, 0) // the Hold action has a limit of its own
			m.do(Hold{})
		}
	case NeedState:
		if m.phase == Offering {
			m.do(SendState{})
		}
	case Ready:
		if m.phase == Offering {
			m.commitSent = true
			m.enter(Committing, m.Limits.Commit)
			m.do(SendGo{})
		}
	case Acting:
		switch {
		case m.phase == Committing:
			m.enter(Leaving, 0)
			m.do(Exit{})
		case m.phase == Killing && m.commitSent:
			// It acted before it was killed. What it did is not known here, and repeating any of it could
			// answer a request twice or run a job again.
			m.enter(Stranded, 0)
			m.do(ExitCrashed{})
		default:
			m.fail("the new process acted before it received the go message")
		}
	default:
		m.fail(fmt.Sprintf("the new process sent a message that is not understood (%T)", message))
	}
}

func (m *Machine) peerExited(cause string) {
	switch m.phase {
	case Idle, Leaving, Stranded:
		return
	case Killing:
	default:
		m.reason = fmt.Sprintf("the new process ended while %v: %s", m.phase, cause)
	}
	if m.held {
		m.held = false
		m.do(ReleaseHold{})
	}
	m.phase = Idle
	m.do(SetTimer{0}, Step{Idle}, Finished{Reason: m.reason})
}

func (m *Machine) timerExpired() {
	switch m.phase {
	case Following:
		m.enter(Passing, m.Limits.Start)
		m.do(SendFilesAhead{})
	case Starting, Rehearsing, Passing, Offering, Committing:
		m.fail(fmt.Sprintf("the new process took too long while %v", m.phase))
	}
}

func (m *Machine) holdFinished(err error) {
	switch {
	case err != nil:
		m.held = false // a failed hold has released everything
		m.fail(fmt.Sprintf("could not pause: %v", err))
	case m.phase == Holding:
		m.enter(Offering, m.Limits.Offer)
		m.do(SendAll{})
	}
}
