package failover

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
)

// modelAction is an edge of the explored graph.
type modelAction struct {
	name string
	next *modelState
}

// actions returns all possible next states. Messages that were just sent are handled first, one at a time.
func (state *modelState) actions() []modelAction {
	var actions []modelAction
	add := func(name string, change func(next *modelState)) {
		next := state.clone()
		change(next)
		next.deliverForced()
		next.check()
		if next.isWithinBounds() {
			actions = append(actions, modelAction{name: name, next: next})
		}
	}
	if len(state.queue) > 0 {
		state.addMessageOutcomes(add)
		return actions
	}
	state.addProcessSteps(add)
	state.addCommands(add)
	state.addTime(add)
	state.addFaults(add)
	return actions
}

type addAction func(name string, change func(next *modelState))

// deliverForced delivers or drops queued messages that have only one possible outcome.
func (state *modelState) deliverForced() {
	for len(state.queue) > 0 && state.violation == "" {
		first := state.queue[0]
		isLost := !state.processes[first.to].isRunning() || state.cut[first.from][first.to]
		mayBeDelayed := !state.cut[first.from][first.to] && state.canFault(state.consumed.delays, state.bounds.delays)
		mayEndOtherwise := state.bounds.lossy || state.canFault(state.consumed.crashes, state.bounds.crashes)
		if mayBeDelayed || !isLost && mayEndOtherwise {
			return
		}
		state.queue = state.queue[1:]
		if !isLost {
			state.deliver(first, state.step)
		}
	}
}

// addMessageOutcomes adds the possible outcomes of the first message in the queue.
func (state *modelState) addMessageOutcomes(add addAction) {
	first := state.queue[0]
	if state.bounds.lossy {
		add("lost: "+first.String(), func(next *modelState) { next.queue = next.queue[1:] })
	}
	if state.canFault(state.consumed.delays, state.bounds.delays) {
		add("delayed: "+first.String(), func(next *modelState) {
			next.queue = next.queue[1:]
			next.delayed = append(next.delayed, first)
			next.consumed.delays++
		})
	}
	if !state.processes[first.to].isRunning() {
		add("lost: "+first.String(), func(next *modelState) { next.queue = next.queue[1:] })
		return
	}
	add("delivered: "+first.String(), func(next *modelState) {
		next.queue = next.queue[1:]
		next.deliver(first, next.step)
	})
	if state.canFault(state.consumed.crashes, state.bounds.crashes) {
		add("delivered, crash before the sync: "+first.String(), func(next *modelState) {
			next.queue = next.queue[1:]
			next.consumed.crashes++
			next.deliver(first, next.stepUnsynced)
		})
	}
}

// addProcessSteps adds the steps that processes take on their own, and the arrival of delayed messages.
func (state *modelState) addProcessSteps(add addAction) {
	for number, process := range state.processes {
		if process.machine == nil {
			add("start "+modelAddress(number), func(next *modelState) { next.start(number) })
			continue
		}
		if process.isPaused {
			add("resume "+modelAddress(number), func(next *modelState) { next.cloneProcess(number).isPaused = false })
			continue
		}
		if process.machine.wakeAt(process.clock) <= process.clock {
			add("tick "+modelAddress(number), func(next *modelState) { next.step(number, tick{}) })
		}
	}
	for position, message := range state.delayed {
		if !state.processes[message.to].isRunning() {
			continue
		}
		add("arrived late: "+message.String(), func(next *modelState) {
			next.delayed = slices.Delete(next.delayed, position, position+1)
			next.deliver(message, next.step)
		})
	}
}

// addCommands adds the commands to a serving leader: read, propose, replace a member whose disk was lost, and resign.
func (state *modelState) addCommands(add addAction) {
	for number, process := range state.processes {
		if process.isPaused || !process.isServing() {
			continue
		}
		address := modelAddress(number)
		if state.consumed.reads < state.bounds.reads {
			add("read at "+address, func(next *modelState) {
				next.consumed.reads++
				next.beginRead(number, uint64(next.consumed.reads))
			})
		}
		if process.machine.leadership.inFlight != nil {
			continue
		}
		if state.consumed.proposals < state.bounds.proposals {
			add("propose at "+address, func(next *modelState) {
				next.consumed.proposals++
				next.step(number, propose{proposal: uint64(next.consumed.proposals), change: appendProposal(next.consumed.proposals)})
			})
		}
		change, isRequired := state.requiredChange(process.machine.record.Contents.Members)
		if isRequired && process.machine.leadership.pendingChange == nil {
			add("replace member at "+address, func(next *modelState) { next.step(number, propose{members: &change}) })
		}
		if state.canFault(state.consumed.resignations, state.bounds.resignations) {
			add("resign "+address, func(next *modelState) {
				next.consumed.resignations++
				next.step(number, resign{})
			})
		}
	}
}

func appendProposal(number int) func(old []byte) ([]byte, error) {
	return func(old []byte) ([]byte, error) { return fmt.Appendf(slices.Clone(old), "p%d,", number), nil }
}

// requiredChange replaces the previous identity of a member by its current one in one step, as the operator would.
func (state *modelState) requiredChange(members []Member) (memberChange, bool) {
	for number, process := range state.processes {
		if !process.isRunning() || hasMember(members, process.identity) {
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

// addTime lets time pass, unless a running leader has a heartbeat due. A candidate may wait arbitrarily long, because its
// delay is random.
func (state *modelState) addTime(add addAction) {
	if state.elapsed >= state.bounds.steps || slices.ContainsFunc(state.processes[:], (*modelProcess).isLeaderDue) {
		return
	}
	add("time passes", func(next *modelState) { next.passTime(-1) })
	if !state.canFault(state.consumed.clockStalls, state.bounds.clockStalls) {
		return
	}
	for number := range state.processes {
		add("time passes with a stalled clock at "+modelAddress(number), func(next *modelState) {
			next.consumed.clockStalls++
			next.passTime(number)
		})
	}
}

func (process *modelProcess) isLeaderDue() bool {
	return process.isRunning() && process.machine.leadership != nil && process.machine.wakeAt(process.clock) <= process.clock
}

func (state *modelState) passTime(stalled int) {
	state.elapsed++
	for number := range state.processes {
		if number != stalled {
			state.cloneProcess(number).clock += modelStep
		}
	}
}

func (state *modelState) addFaults(add addAction) {
	state.addCuts(add)
	for number, process := range state.processes {
		address := modelAddress(number)
		if process.machine != nil && state.canFault(state.consumed.crashes, state.bounds.crashes) {
			add("crash "+address, func(next *modelState) {
				next.consumed.crashes++
				next.stop(number)
			})
		}
		if process.isRunning() && state.canFault(state.consumed.pauses, state.bounds.pauses) {
			add("pause "+address, func(next *modelState) {
				next.consumed.pauses++
				next.cloneProcess(number).isPaused = true
			})
		}
		if state.canFault(state.consumed.diskLosses, state.bounds.diskLosses) {
			add("lose disk of "+address, func(next *modelState) {
				next.consumed.diskLosses++
				next.stop(number)
				process := next.cloneProcess(number)
				process.disk = nil
				process.disksLost++
			})
		}
	}
}

// addCuts adds actions that cut a link or isolate a member, in one or both directions, and one that restores all links.
func (state *modelState) addCuts(add addAction) {
	if state.cut != [modelMembers][modelMembers]bool{} {
		add("restore all links", func(next *modelState) { next.cut = [modelMembers][modelMembers]bool{} })
	}
	if !state.canFault(state.consumed.cuts, state.bounds.cuts) {
		return
	}
	for one := range modelMembers {
		other, third := (one+1)%modelMembers, (one+2)%modelMembers
		add("isolate "+modelAddress(one), func(next *modelState) {
			next.cutLinks([][2]int{{one, other}, {other, one}, {one, third}, {third, one}})
		})
		add("cut links from "+modelAddress(one), func(next *modelState) {
			next.cutLinks([][2]int{{one, other}, {one, third}})
		})
		add("cut links to "+modelAddress(one), func(next *modelState) {
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
	state.consumed.cuts++
	for _, link := range links {
		state.cut[link[0]][link[1]] = true
	}
}

// canFault reports whether one more fault of a kind is within the bound of that kind and of the total.
func (state *modelState) canFault(used, bound int) bool {
	spent := state.consumed
	all := spent.delays + spent.crashes + spent.clockStalls + spent.diskLosses + spent.resignations + spent.pauses + spent.cuts
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

// deliver delivers a message to the process at its address. An answer reaches only the process that sent the request.
func (state *modelState) deliver(message modelMessage, step func(number int, event input)) {
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
	route := modelAddress(message.from) + ">" + modelAddress(message.to)
	switch {
	case message.voteReply != nil:
		return fmt.Sprintf("%s answer to vote %+v", route, *message.voteReply)
	case message.replicated != nil:
		return fmt.Sprintf("%s answer to replicate %+v", route, *message.replicated)
	case message.vote != nil:
		return fmt.Sprintf("%s vote epoch %d, pre-vote %t", route, message.vote.Epoch, message.vote.PreVote)
	}
	return fmt.Sprintf("%s replicate epoch %d seq %d, resign %t", route, message.replicate.Epoch, message.replicate.StateSeq, message.replicate.Resign)
}

func (process *modelProcess) isServing() bool {
	return process.machine != nil && process.machine.servesUntil(process.clock) > process.clock
}

// hasReplaced reports whether the newest list of members names a process that has lost its disk.
func (state *modelState) hasReplaced() bool {
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

// commit checks that a version has only one state, and that a new version extends the newest one before it.
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
		// A leader that was replaced while its clock stalled may commit late a version that its successor already holds.
		if !bytes.HasPrefix(state.newest.contents.State, seen.contents.State) {
			state.violate("%v was committed but is not part of %v", seen.version, state.newest.version)
		}
		return
	}
	switch {
	case !state.newest.version.Less(seen.version):
		state.violate("%v was committed after %v", seen.version, state.newest.version)
	case !bytes.HasPrefix(seen.contents.State, state.newest.contents.State):
		state.violate("%v lacks state of %v", seen.version, state.newest.version)
	}
	state.newest = seen
}

// beginRead starts a read and records the version that it must see at least.
func (state *modelState) beginRead(number int, id uint64) {
	state.pendingReads = maps.Clone(state.pendingReads)
	state.pendingReads[id] = state.newest.version
	state.step(number, read{read: id})
}

// endRead checks that the read sees everything that was committed before it started.
func (state *modelState) endRead(number int, done readDone) {
	before := state.pendingReads[done.read]
	state.pendingReads = maps.Clone(state.pendingReads)
	delete(state.pendingReads, done.read)
	held := state.processes[number].machine.committedVersion
	if done.err == nil && held.Less(before) {
		state.violate("%s read %v after %v was acknowledged", modelAddress(number), held, before)
	}
}

// check checks invariants of every state: at most one leader has a valid lease, and it serves the newest version.
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
