package failover

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// The model walks over all states of three members whose reducers are those in service. Its time is counted in steps of a
// third of a lease; the margin of a leader is one step. Saves are synced within the step that asked for them, except where a
// process ends before the disk has them.
const (
	modelStep    = 4 * time.Nanosecond // divisible by yieldDivisor, as the reducer divides a CampaignTimeout
	modelMembers = 3
)

var modelTiming = Timing{
	Lease:           3 * modelStep,
	Margin:          modelStep,
	Heartbeat:       modelStep,
	ElectionJitter:  1, // a candidate is free to wait anyway: each tick may come as late as it likes
	CampaignTimeout: modelStep,
	ContentsTimeout: modelStep,
}

// modelMutation alters the protocol, to show that the checks notice. The zero value alters nothing.
type modelMutation struct {
	beforeStart func(record Record) Record // what a restarted process reads from its disk
	afterStart  func(machine *machine)
	beforeStep  func(machine *machine, taken input) input
	afterAnswer func(request ReplicateRequest, reply ReplicateReply) ReplicateReply
	afterStep   func(machine *machine)

	keepIdentity bool // a process whose disk was lost comes back under its old identity
}

// modelBounds ends the walk.
type modelBounds struct {
	fresh     bool // the walk begins before the first election
	lossy     bool // every message may be lost, in place of cuts
	steps     int  // of time
	epochs    uint64
	proposals int
	faults    int // of all kinds together
	holds     int // of the faults: messages delivered late
	crashes   int // of the faults: ends of a process, which may start again at any time
	stalls    int // of the faults: clocks that stand still for a step, the margin's worth
	losses    int // of the faults: disks lost
	resigns   int // of the faults: orders to the leader to give up
	freezes   int // of the faults: processes that do nothing until they are woken, while their clocks go on
	cuts      int // of the faults: links cut in one direction or both; they may come back at any time
	reads     int
	drift     bool // stalls of clocks exceed the margin, so that leases bound nothing: what rests on them is not checked
}

// modelMessage is a request or an answer on its way.
type modelMessage struct {
	from, to    int
	incarnation int // of the process that asked
	vote        *VoteRequest
	replicate   *ReplicateRequest
	sentAt      time.Duration // on the clock of the process that asked
	round       uint64        // of a heartbeat
	voteReply   *VoteReply    // set in an answer
	replicated  *ReplicateReply
}

// modelProcess is what runs at one address. It is not modified in place: a state owns those that it has cloned.
type modelProcess struct {
	machine     *machine // nil while it does not run
	clock       time.Duration
	incarnation int
	disk        *Record // nil after a loss
	disksLost   int
	identity    string
	frozen      bool // a message that reaches it is lost, unless it is held
}

// isAwake reports whether a process can take a step.
func (process *modelProcess) isAwake() bool { return process.machine != nil && !process.frozen }

// modelState is a node of the walk.
type modelState struct {
	processes [modelMembers]*modelProcess
	queue     []modelMessage                   // each is delivered, lost or held before anything else happens
	held      []modelMessage                   // delivered at any later time, or never
	answering modelMessage                     // the request that is being handled
	cut       [modelMembers][modelMembers]bool // from, to
	elapsed   int
	used      modelBounds
	versions  map[Version]string // committed, with their states
	newest    committed
	reading   map[uint64]Version // reads under way, with what was the newest version when they came
	violation string
	mutation  *modelMutation
	bounds    *modelBounds
}

func newModelState(bounds *modelBounds, mutation *modelMutation) *modelState {
	state := &modelState{versions: map[Version]string{}, reading: map[uint64]Version{}, bounds: bounds, mutation: mutation}
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

func modelNumber(address string) int { return int(address[0] - 'a') }

func modelIdentity(number, disksLost int) string {
	return fmt.Sprintf("%s#%d", modelAddress(number), disksLost)
}

// clone returns a state that can be changed: processes by own, everything else in place.
func (state *modelState) clone() *modelState {
	cloned := *state
	cloned.queue = slices.Clone(state.queue)
	cloned.held = slices.Clone(state.held)
	return &cloned
}

// own clones a process before it is changed.
func (state *modelState) own(number int) *modelProcess {
	cloned := *state.processes[number]
	if cloned.machine != nil {
		cloned.machine = cloneMachine(cloned.machine)
	}
	state.processes[number] = &cloned
	return &cloned
}

// cloneMachine copies what step changes in place. No answer may wait for a save.
func cloneMachine(original *machine) *machine {
	if len(original.waiting) > 0 || len(original.effects) > 0 {
		panic("a machine can only be cloned when its saves are synced and its effects taken")
	}
	cloned := *original
	cloned.waiting = nil
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
	if original.change != nil {
		copied := *original.change
		cloned.change = &copied
	}
	cloned.peers = make(map[string]*peer, len(original.peers))
	for identity, known := range original.peers {
		copied := *known
		cloned.peers[identity] = &copied
	}
	return &cloned
}

// startMachine starts a process with a record.
func (state *modelState) startMachine(number int, record Record, kind startKind) {
	process := state.own(number)
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
	state.carryOut(number, effects)
}

// start starts a process that is down, with its disk or, after a loss, with an empty one.
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

// stop ends a process. Answers to it are lost; its requests are not.
func (state *modelState) stop(number int) {
	process := state.own(number)
	process.machine = nil
	process.frozen = false
	process.incarnation++
	toNobody := func(message modelMessage) bool {
		return message.isAnswer() && message.to == number
	}
	state.queue = slices.DeleteFunc(state.queue, toNobody)
	state.held = slices.DeleteFunc(state.held, toNobody)
}

func (message modelMessage) isAnswer() bool {
	return message.voteReply != nil || message.replicated != nil
}

// step feeds a machine, and syncs what it saves.
func (state *modelState) step(number int, taken input) {
	process := state.own(number)
	if state.mutation.beforeStep != nil {
		taken = state.mutation.beforeStep(process.machine, taken)
	}
	state.feed(number, taken)
}

func (state *modelState) feed(number int, taken input) {
	process := state.processes[number]
	defer func() {
		if recovered := recover(); recovered != nil {
			state.violate("panic: %v", recovered)
		}
	}()
	effects := process.machine.step(process.clock, taken)
	if state.mutation.afterStep != nil {
		state.mutation.afterStep(process.machine)
		effects = append(effects, process.machine.takeEffects()...)
	}
	state.carryOut(number, effects)
}

// stepUnsynced feeds a machine and ends its process before the disk has what it saved: no answer that waits for that is sent.
func (state *modelState) stepUnsynced(number int, taken input) {
	process := state.own(number)
	effects := process.machine.step(process.clock, taken)
	isSave := func(wanted effect) bool {
		_, isPersist := wanted.(persist)
		return isPersist
	}
	state.carryOut(number, slices.DeleteFunc(effects, isSave))
	process.machine.waiting = nil
	state.stop(number)
}

// carryOut does what a machine wants done. Its newest save is synced last.
func (state *modelState) carryOut(number int, effects []effect) {
	process := state.processes[number]
	var newest *persist
	for _, wanted := range effects {
		switch wanted := wanted.(type) {
		case sendVote:
			state.send(number, wanted.address, modelMessage{vote: &wanted.request})
		case sendReplicate:
			state.send(number, wanted.address, modelMessage{replicate: &wanted.request, sentAt: wanted.sentAt, round: wanted.round})
		case answerVote, answerReplicate:
			state.answer(number, wanted)
		case persist:
			newest = &wanted
		case committed:
			state.commit(wanted)
		case readDone:
			state.endRead(number, wanted)
		case proposalDone, becameLeader, steppedDown:
		}
	}
	if newest != nil {
		process.disk = &newest.record
		state.feed(number, persisted{point: newest.point})
	}
}

func (state *modelState) send(from int, address string, message modelMessage) {
	message.from = from
	message.to = modelNumber(address)
	message.incarnation = state.processes[from].incarnation
	state.queue = append(state.queue, message)
}

// answer sends an answer back to the request that is being handled.
func (state *modelState) answer(number int, wanted effect) {
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
	switch wanted := wanted.(type) {
	case answerVote:
		answer.voteReply = &wanted.reply
	case answerReplicate:
		reply := wanted.reply
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
