package failover

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
)

// modelAction is an edge of the walk.
type modelAction struct {
	name string
	next *modelState
}

// actions returns all that may happen next. Messages that were sent just now come first, one after the other.
func (state *modelState) actions() []modelAction {
	var actions []modelAction
	add := func(name string, change func(next *modelState)) {
		next := state.clone()
		change(next)
		next.passOn()
		next.check()
		if next.isWithinBounds() {
			actions = append(actions, modelAction{name: name, next: next})
		}
	}
	if len(state.queue) > 0 {
		state.addFates(add)
		return actions
	}
	state.addSteps(add)
	state.addOrders(add)
	state.addTime(add)
	state.addFaults(add)
	return actions
}

type addAction func(name string, change func(next *modelState))

// passOn delivers and loses what has a single fate.
func (state *modelState) passOn() {
	for len(state.queue) > 0 && state.violation == "" {
		first := state.queue[0]
		isLost := !state.processes[first.to].isAwake() || state.cut[first.from][first.to]
		mayBeHeld := !state.cut[first.from][first.to] && state.mayFault(state.used.holds, state.bounds.holds)
		mayEndOtherwise := state.bounds.lossy || state.mayFault(state.used.crashes, state.bounds.crashes)
		if mayBeHeld || !isLost && mayEndOtherwise {
			return
		}
		state.queue = state.queue[1:]
		if !isLost {
			state.deliver(first, state.step)
		}
	}
}

// addFates are those of the first message in the queue, which reaches a process unless something happens to it.
func (state *modelState) addFates(add addAction) {
	first := state.queue[0]
	if state.bounds.lossy {
		add("lost: "+first.String(), func(next *modelState) { next.queue = next.queue[1:] })
	}
	if state.mayFault(state.used.holds, state.bounds.holds) {
		add("held: "+first.String(), func(next *modelState) {
			next.queue = next.queue[1:]
			next.held = append(next.held, first)
			next.used.holds++
		})
	}
	if !state.processes[first.to].isAwake() {
		add("lost: "+first.String(), func(next *modelState) { next.queue = next.queue[1:] })
		return
	}
	add("delivered: "+first.String(), func(next *modelState) {
		next.queue = next.queue[1:]
		next.deliver(first, next.step)
	})
	if state.mayFault(state.used.crashes, state.bounds.crashes) {
		add("delivered, crash before the sync: "+first.String(), func(next *modelState) {
			next.queue = next.queue[1:]
			next.used.crashes++
			next.deliver(first, next.stepUnsynced)
		})
	}
}

// addSteps are what processes do by themselves, and what arrives late.
func (state *modelState) addSteps(add addAction) {
	for number, process := range state.processes {
		if process.machine == nil {
			add("start "+modelAddress(number), func(next *modelState) { next.start(number) })
			continue
		}
		if process.frozen {
			add("wake "+modelAddress(number), func(next *modelState) { next.own(number).frozen = false })
			continue
		}
		if process.machine.wakeAt(process.clock) <= process.clock {
			add("tick "+modelAddress(number), func(next *modelState) { next.step(number, tick{}) })
		}
	}
	for position, message := range state.held {
		if !state.processes[message.to].isAwake() {
			continue
		}
		add("late: "+message.String(), func(next *modelState) {
			next.held = slices.Delete(next.held, position, position+1)
			next.deliver(message, next.step)
		})
	}
}

// addOrders are those to a leader that serves: a new version, the exchange of a member whose disk was lost, and to resign.
func (state *modelState) addOrders(add addAction) {
	for number, process := range state.processes {
		if process.frozen || !process.isServing() {
			continue
		}
		address := modelAddress(number)
		if state.used.reads < state.bounds.reads {
			add("read at "+address, func(next *modelState) {
				next.used.reads++
				next.beginRead(number, uint64(next.used.reads))
			})
		}
		if process.machine.leadership.inFlight != nil {
			continue
		}
		if state.used.proposals < state.bounds.proposals {
			add("propose at "+address, func(next *modelState) {
				next.used.proposals++
				next.step(number, propose{proposal: uint64(next.used.proposals), change: appendProposal(next.used.proposals)})
			})
		}
		change, isWanted := state.wantedChange(process.machine.record.Contents.Members)
		if isWanted && process.machine.leadership.change == nil {
			add("exchange members at "+address, func(next *modelState) { next.step(number, propose{members: &change}) })
		}
		if state.mayFault(state.used.resigns, state.bounds.resigns) {
			add("resign "+address, func(next *modelState) {
				next.used.resigns++
				next.step(number, resign{})
			})
		}
	}
}

func appendProposal(number int) func(old []byte) ([]byte, error) {
	return func(old []byte) ([]byte, error) { return fmt.Appendf(slices.Clone(old), "p%d,", number), nil }
}

// wantedChange exchanges one identity for another in one step, as the owner of the group does.
func (state *modelState) wantedChange(members []Member) (memberChange, bool) {
	for number, process := range state.processes {
		if !process.isAwake() || hasMember(members, process.identity) {
			continue
		}
		address := modelAddress(number)
		change := memberChange{add: &Member{ID: process.identity, Address: address}}
		for _, member := range members {
			if member.Address == address {
				change.removeID = member.ID
			}
		}
		return change, true
	}
	return memberChange{}, false
}

// addTime lets time pass. A leader that is awake sends its heartbeats when they are due; a candidate may wait as long as it
// likes, as its wait is random.
func (state *modelState) addTime(add addAction) {
	if state.elapsed >= state.bounds.steps || slices.ContainsFunc(state.processes[:], (*modelProcess).isLeaderDue) {
		return
	}
	add("time passes", func(next *modelState) { next.passTime(-1) })
	if !state.mayFault(state.used.stalls, state.bounds.stalls) {
		return
	}
	for number := range state.processes {
		add("time passes, but the clock stands still of "+modelAddress(number), func(next *modelState) {
			next.used.stalls++
			next.passTime(number)
		})
	}
}

func (process *modelProcess) isLeaderDue() bool {
	return process.isAwake() && process.machine.leadership != nil && process.machine.wakeAt(process.clock) <= process.clock
}

func (state *modelState) passTime(stalled int) {
	state.elapsed++
	for number := range state.processes {
		if number != stalled {
			state.own(number).clock += modelStep
		}
	}
}

func (state *modelState) addFaults(add addAction) {
	state.addCuts(add)
	for number, process := range state.processes {
		address := modelAddress(number)
		if process.machine != nil && state.mayFault(state.used.crashes, state.bounds.crashes) {
			add("crash "+address, func(next *modelState) {
				next.used.crashes++
				next.stop(number)
			})
		}
		if process.isAwake() && state.mayFault(state.used.freezes, state.bounds.freezes) {
			add("freeze "+address, func(next *modelState) {
				next.used.freezes++
				next.own(number).frozen = true
			})
		}
		if state.mayFault(state.used.losses, state.bounds.losses) {
			add("disk lost of "+address, func(next *modelState) {
				next.used.losses++
				next.stop(number)
				process := next.own(number)
				process.disk = nil
				process.disksLost++
			})
		}
	}
}

// addCuts cuts a link in one direction or both, or a member off in one direction or both, and has all links come back.
func (state *modelState) addCuts(add addAction) {
	if state.cut != [modelMembers][modelMembers]bool{} {
		add("all links come back", func(next *modelState) { next.cut = [modelMembers][modelMembers]bool{} })
	}
	if !state.mayFault(state.used.cuts, state.bounds.cuts) {
		return
	}
	for one := range modelMembers {
		other, third := (one+1)%modelMembers, (one+2)%modelMembers
		add("cut off "+modelAddress(one), func(next *modelState) {
			next.cutLinks([][2]int{{one, other}, {other, one}, {one, third}, {third, one}})
		})
		add("nothing leaves "+modelAddress(one), func(next *modelState) {
			next.cutLinks([][2]int{{one, other}, {one, third}})
		})
		add("nothing reaches "+modelAddress(one), func(next *modelState) {
			next.cutLinks([][2]int{{other, one}, {third, one}})
		})
		add("cut between "+modelAddress(one)+" and "+modelAddress(other), func(next *modelState) {
			next.cutLinks([][2]int{{one, other}, {other, one}})
		})
		add("cut from "+modelAddress(one)+" to "+modelAddress(other), func(next *modelState) {
			next.cutLinks([][2]int{{one, other}})
		})
		add("cut from "+modelAddress(other)+" to "+modelAddress(one), func(next *modelState) {
			next.cutLinks([][2]int{{other, one}})
		})
	}
}

func (state *modelState) cutLinks(links [][2]int) {
	state.used.cuts++
	for _, link := range links {
		state.cut[link[0]][link[1]] = true
	}
}

// mayFault reports whether one more fault of a kind is within its own bound and within that of all kinds.
func (state *modelState) mayFault(used, bound int) bool {
	spent := state.used
	all := spent.holds + spent.crashes + spent.stalls + spent.losses + spent.resigns + spent.freezes + spent.cuts
	return used < bound && all < state.bounds.faults
}

func (state *modelState) isWithinBounds() bool {
	for _, process := range state.processes {
		if process.machine != nil && process.machine.record.VotedEpoch > state.bounds.epochs {
			return false
		}
	}
	return true
}

// deliver hands a message to the process at its address. An answer reaches only the process that asked.
func (state *modelState) deliver(message modelMessage, step func(number int, taken input)) {
	if message.isAnswer() && state.processes[message.to].incarnation != message.incarnation {
		return
	}
	state.answering = message
	step(message.to, message.input())
	state.answering = modelMessage{}
}

func (message modelMessage) input() input {
	switch {
	case message.voteReply != nil:
		return voteResult{request: *message.vote, reply: *message.voteReply}
	case message.replicated != nil:
		return replicateResult{
			member:       message.replicate.Member,
			epoch:        message.replicate.Epoch,
			sentAt:       message.sentAt,
			round:        message.round,
			withContents: message.replicate.Contents != nil,
			reply:        *message.replicated,
		}
	case message.vote != nil:
		return voteCall{request: *message.vote}
	}
	return replicateCall{request: *message.replicate}
}

func (message modelMessage) String() string {
	way := modelAddress(message.from) + ">" + modelAddress(message.to)
	switch {
	case message.voteReply != nil:
		return fmt.Sprintf("%s answer to vote %+v", way, *message.voteReply)
	case message.replicated != nil:
		return fmt.Sprintf("%s answer to replicate %+v", way, *message.replicated)
	case message.vote != nil:
		return fmt.Sprintf("%s vote epoch %d, ask only %t", way, message.vote.Epoch, message.vote.PreVote)
	}
	return fmt.Sprintf("%s replicate epoch %d seq %d, resign %t", way, message.replicate.Epoch, message.replicate.StateSeq, message.replicate.Resign)
}

func (process *modelProcess) isServing() bool {
	return process.machine != nil && process.machine.servesUntil(process.clock) > process.clock
}

// hasExchanged reports whether the newest list of members names a process that has lost its disk.
func (state *modelState) hasExchanged() bool {
	for _, process := range state.processes {
		if process.disksLost > 0 && process.machine != nil && hasMember(state.newest.contents.Members, process.identity) {
			return true
		}
	}
	return false
}

func (state *modelState) violate(format string, details ...any) {
	if state.violation == "" {
		state.violation = fmt.Sprintf(format, details...)
	}
}

// commit checks that a version has one state only, and that a new one continues the newest before it.
func (state *modelState) commit(seen committed) {
	contents := string(seen.contents.State)
	known, isKnown := state.versions[seen.version]
	if isKnown {
		if known != contents {
			state.violate("version %v has two states", seen.version)
		}
		return
	}
	state.versions = maps.Clone(state.versions)
	state.versions[seen.version] = contents
	if state.bounds.drift && seen.version.Less(state.newest.version) {
		// A leader that was replaced while its clock stood still may learn late what its successor holds already.
		if !bytes.HasPrefix(state.newest.contents.State, seen.contents.State) {
			state.violate("%v was committed and is not in %v", seen.version, state.newest.version)
		}
		return
	}
	switch {
	case !state.newest.version.Less(seen.version):
		state.violate("%v was committed after %v", seen.version, state.newest.version)
	case !bytes.HasPrefix(seen.contents.State, state.newest.contents.State):
		state.violate("%v lost what %v had", seen.version, state.newest.version)
	}
	state.newest = seen
}

// beginRead remembers what the read must see at least.
func (state *modelState) beginRead(number int, wanted uint64) {
	state.reading = maps.Clone(state.reading)
	state.reading[wanted] = state.newest.version
	state.step(number, read{read: wanted})
}

// endRead checks that what is read holds all that was committed before the read came.
func (state *modelState) endRead(number int, done readDone) {
	before := state.reading[done.read]
	state.reading = maps.Clone(state.reading)
	delete(state.reading, done.read)
	held := state.processes[number].machine.committedVersion
	if done.err == nil && held.Less(before) {
		state.violate("%s read %v after %v was acknowledged", modelAddress(number), held, before)
	}
}

// check holds in every state: one leader at most has a valid lease, and it serves the newest version.
func (state *modelState) check() {
	if state.bounds.drift {
		return
	}
	leaders := 0
	for number, process := range state.processes {
		if !process.isServing() {
			continue
		}
		leaders++
		if held := process.machine.committedVersion; held != state.newest.version {
			state.violate("%s serves %v after %v was acknowledged", modelAddress(number), held, state.newest.version)
		}
	}
	if leaders > 1 {
		state.violate("%d leaders hold a valid lease", leaders)
	}
}
