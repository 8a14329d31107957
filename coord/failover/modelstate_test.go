package failover

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// The model explores all states of three members that run the production state machine. Time advances in steps of a third of
// a lease, and the margin is one step. Saves are synced within the step that requested them, unless the process crashes
// before the sync.
const (
	modelStep    = 4 * time.Nanosecond // divisible by deferDivisor, because the machine divides CampaignTimeout by it
	modelMembers = 3
)

var modelTiming = Timing{
	Lease:           3 * modelStep,
	Margin:          modelStep,
	Heartbeat:       modelStep,
	ElectionJitter:  1, // ticks may be arbitrarily late anyway, so candidates need no random delay
	CampaignTimeout: modelStep,
	ContentsTimeout: modelStep,
}

// modelMutation alters the protocol, to show that the checks detect it. The zero value alters nothing.
type modelMutation struct {
	beforeStart func(record Record) Record // alters the record that a restarted process loads
	afterStart  func(machine *machine)
	beforeStep  func(machine *machine, event input) input
	afterAnswer func(request ReplicateRequest, reply ReplicateReply) ReplicateReply
	afterStep   func(machine *machine)

	keepIdentity bool // a process whose disk was lost restarts under its previous identity
}

// modelBounds limits an exploration.
type modelBounds struct {
	beforeElection bool // the exploration starts before the first election
	lossy          bool // any message may be lost; used instead of cuts
	steps          int  // number of time steps
	epochs         uint64
	proposals      int
	faults         int // total number of faults
	delays         int // number of faults that deliver a message late
	crashes        int // number of faults that stop a process, which may restart at any time
	clockStalls    int // number of faults that stall a clock for one step, which is as long as the margin
	diskLosses     int // number of faults that lose a disk
	resignations   int // number of faults that make the leader resign
	pauses         int // number of faults that pause a process, whose clock continues, until it resumes at any time
	cuts           int // number of faults that cut links in one or both directions until they are restored at any time
	reads          int
	drift          bool // clock stalls exceed the margin, so leases guarantee nothing and checks that rely on them are skipped
}

// modelMessage is a request or an answer in transit.
type modelMessage struct {
	from, to    int
	incarnation int // incarnation of the process that sent the request
	vote        *VoteRequest
	replicate   *ReplicateRequest
	sentAt      time.Duration // on the clock of the process that sent the request
	round       uint64        // heartbeat round
	voteReply   *VoteReply    // set in an answer
	replicated  *ReplicateReply
}

// modelProcess is the process at one address. States share it, so it must be cloned before it is modified.
type modelProcess struct {
	machine     *machine // nil while the process doesn't run
	clock       time.Duration
	incarnation int
	disk        *Record // nil after a disk loss
	disksLost   int
	identity    string
	isPaused    bool // a message that arrives is lost, unless it is delayed
}

// isRunning reports whether the process can take a step.
func (process *modelProcess) isRunning() bool { return process.machine != nil && !process.isPaused }

// modelState is a node of the explored graph.
type modelState struct {
	processes    [modelMembers]*modelProcess
	queue        []modelMessage                   // each is delivered, lost or delayed before anything else happens
	delayed      []modelMessage                   // delivered at any later time, or never
	answering    modelMessage                     // request that is being handled
	cut          [modelMembers][modelMembers]bool // from, to
	elapsed      int
	consumed     modelBounds
	versions     map[Version]string // committed versions and their states
	newest       committed
	pendingReads map[uint64]Version // reads in progress, with the newest committed version when they started
	violation    string
	mutation     *modelMutation
	bounds       *modelBounds
}

func newModelState(bounds *modelBounds, mutation *modelMutation) *modelState {
	state := &modelState{versions: map[Version]string{}, pendingReads: map[uint64]Version{}, bounds: bounds, mutation: mutation}
	var members []Member
	for number := range modelMembers {
		members = append(members, Member{ID: seedIdentity(modelAddress(number)), Address: modelAddress(number)})
	}
	contents := Contents{State: []byte(","), Members: members}
	for number := range modelMembers {
		record := Record{Identity: members[number].ID, Version: bootstrapVersion, Contents: contents}
		state.processes[number] = &modelProcess{identity: record.Identity}
		state.startMachine(number, record, startBootstrap)
	}
	return state
}

func modelAddress(number int) string { return string(rune('a' + number)) }

func modelIndex(address string) int { return int(address[0] - 'a') }

func modelIdentity(number, disksLost int) string {
	return fmt.Sprintf("%s#%d", modelAddress(number), disksLost)
}

// clone returns a state that can be modified. Its processes must be cloned by cloneProcess before they are modified.
func (state *modelState) clone() *modelState {
	cloned := *state
	cloned.queue = slices.Clone(state.queue)
	cloned.delayed = slices.Clone(state.delayed)
	return &cloned
}

// cloneProcess clones a process of the state before it is modified.
func (state *modelState) cloneProcess(number int) *modelProcess {
	cloned := *state.processes[number]
	if cloned.machine != nil {
		cloned.machine = cloneMachine(cloned.machine)
	}
	state.processes[number] = &cloned
	return &cloned
}

// cloneMachine copies everything that step modifies in place. No answer may be waiting for a save.
func cloneMachine(original *machine) *machine {
	if len(original.pendingAnswers) > 0 || len(original.effects) > 0 {
		panic("a machine can only be cloned when its saves are synced and its effects taken")
	}
	cloned := *original
	cloned.pendingAnswers = nil
	if original.campaign != nil {
		copied := *original.campaign
		copied.granted = maps.Clone(copied.granted)
		cloned.campaign = &copied
	}
	if original.leadership != nil {
		cloned.leadership = cloneLeadership(original.leadership)
	}
	return &cloned
}

func cloneLeadership(original *leadership) *leadership {
	cloned := *original
	cloned.queue = slices.Clone(original.queue)
	cloned.reads = slices.Clone(original.reads)
	if original.pendingChange != nil {
		copied := *original.pendingChange
		cloned.pendingChange = &copied
	}
	cloned.peers = make(map[string]*peerProgress, len(original.peers))
	for identity, progress := range original.peers {
		copied := *progress
		cloned.peers[identity] = &copied
	}
	return &cloned
}

// startMachine starts a process with the given record.
func (state *modelState) startMachine(number int, record Record, kind startKind) {
	process := state.cloneProcess(number)
	process.incarnation++
	process.identity = record.Identity
	config := machineConfig{
		address:    modelAddress(number),
		timing:     modelTiming,
		queueLimit: 1,
		random:     func(int64) int64 { return 0 },
	}
	created, effects := newMachine(config, record, kind, process.clock)
	process.machine = created
	if state.mutation.afterStart != nil {
		state.mutation.afterStart(created)
	}
	state.execute(number, effects)
}

// start starts a stopped process with its disk or, after a disk loss, with an empty one.
func (state *modelState) start(number int) {
	process := state.processes[number]
	if process.disk != nil {
		record := *process.disk
		if state.mutation.beforeStart != nil {
			record = state.mutation.beforeStart(record)
		}
		state.startMachine(number, record, startRestarted)
		return
	}
	record := Record{Identity: modelIdentity(number, process.disksLost)}
	if state.mutation.keepIdentity {
		record.Identity = process.identity
	}
	state.startMachine(number, record, startJoining)
}

// stop stops a process. Answers to it are lost; requests that it sent are not.
func (state *modelState) stop(number int) {
	process := state.cloneProcess(number)
	process.machine = nil
	process.isPaused = false
	process.incarnation++
	toNobody := func(message modelMessage) bool {
		return message.isAnswer() && message.to == number
	}
	state.queue = slices.DeleteFunc(state.queue, toNobody)
	state.delayed = slices.DeleteFunc(state.delayed, toNobody)
}

func (message modelMessage) isAnswer() bool {
	return message.voteReply != nil || message.replicated != nil
}

// step passes an input to a machine and syncs what it saves.
func (state *modelState) step(number int, event input) {
	process := state.cloneProcess(number)
	if state.mutation.beforeStep != nil {
		event = state.mutation.beforeStep(process.machine, event)
	}
	state.applyInput(number, event)
}

func (state *modelState) applyInput(number int, event input) {
	process := state.processes[number]
	defer func() {
		if recovered := recover(); recovered != nil {
			state.violate("panic: %v", recovered)
		}
	}()
	effects := process.machine.step(process.clock, event)
	if state.mutation.afterStep != nil {
		state.mutation.afterStep(process.machine)
		effects = append(effects, process.machine.takeEffects()...)
	}
	state.execute(number, effects)
}

// stepUnsynced passes an input to a machine and stops its process before the sync, so answers that wait for it aren't sent.
func (state *modelState) stepUnsynced(number int, event input) {
	process := state.cloneProcess(number)
	effects := process.machine.step(process.clock, event)
	isSave := func(requested effect) bool {
		_, isPersist := requested.(persist)
		return isPersist
	}
	state.execute(number, slices.DeleteFunc(effects, isSave))
	process.machine.pendingAnswers = nil
	state.stop(number)
}

// execute executes the effects of a machine. Its newest save is synced last.
func (state *modelState) execute(number int, effects []effect) {
	process := state.processes[number]
	var newest *persist
	for _, requested := range effects {
		switch requested := requested.(type) {
		case sendVote:
			state.send(number, requested.address, modelMessage{vote: &requested.request})
		case sendReplicate:
			state.send(number, requested.address, modelMessage{replicate: &requested.request, sentAt: requested.sentAt, round: requested.round})
		case answerVote, answerReplicate:
			state.answer(number, requested)
		case persist:
			newest = &requested
		case committed:
			state.commit(requested)
		case readDone:
			state.endRead(number, requested)
		case proposalDone, becameLeader, steppedDown:
		}
	}
	if newest != nil {
		process.disk = &newest.record
		state.applyInput(number, persisted{point: newest.point})
	}
}

func (state *modelState) send(from int, address string, message modelMessage) {
	message.from = from
	message.to = modelIndex(address)
	message.incarnation = state.processes[from].incarnation
	state.queue = append(state.queue, message)
}

// answer sends an answer to the request that is being handled.
func (state *modelState) answer(number int, requested effect) {
	request := state.answering
	answer := modelMessage{
		from:        number,
		to:          request.from,
		incarnation: request.incarnation,
		vote:        request.vote,
		replicate:   request.replicate,
		sentAt:      request.sentAt,
		round:       request.round,
	}
	switch requested := requested.(type) {
	case answerVote:
		answer.voteReply = &requested.reply
	case answerReplicate:
		reply := requested.reply
		if state.mutation.afterAnswer != nil {
			reply = state.mutation.afterAnswer(*request.replicate, reply)
		}
		answer.replicated = &reply
	}
	asker := state.processes[answer.to]
	if asker.machine != nil && asker.incarnation == answer.incarnation {
		state.queue = append(state.queue, answer)
	}
}
