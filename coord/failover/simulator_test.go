package failover

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// world simulates processes, disks, clocks and links. All of it follows from the seed.
type simulator struct {
	random       *rand.Rand
	mutation     mutation
	now          time.Duration // true time
	events       eventHeap
	lastEvent    uint64
	processes    []*process
	brokenLinks  map[link]bool
	lossRate     float64
	isIdle       bool                    // nothing is proposed
	pendingCalls map[uint64]func(effect) // ways back of the answers
	lastCall     uint64
	steps        int                // of all machines
	pendingReads map[uint64]Version // reads under way, with what was the newest version when they came
	readsDone    int
	checker      checker
	faults       int
}

// mutation alters the protocol, to show that the checks notice. The zero value alters nothing.
type mutation struct {
	timing           Timing
	beforeStep       func(process *process, taken input) input
	afterStart       func(process *process)
	beforeSave       func(process *process, record Record) Record
	afterStep        func(process *process)
	afterEffect      func(wanted effect) effect
	leases           []time.Duration // lengths of versions, which processes take in turn; nil for that of timing
	replacesVoters   bool            // voters that live are exchanged again and again, so that one process is none
	clockDrift       float64         // the first process's clock runs slower by this; what rests on leases is not checked then
	confirmsUnsynced bool            // saves are confirmed before they are synced
	keepIdentity     bool            // a process whose disk was lost comes back under its old name
}

// link is one direction between two addresses.
type link struct{ from, to string }

// event happens at a true time; events of the same time happen in the order in which they were planned.
type event struct {
	at     time.Duration
	number uint64
	action func()
}

type eventHeap []event

func (events eventHeap) Len() int { return len(events) }
func (events eventHeap) Less(one, other int) bool {
	if events[one].at != events[other].at {
		return events[one].at < events[other].at
	}
	return events[one].number < events[other].number
}
func (events eventHeap) Swap(one, other int) {
	events[one], events[other] = events[other], events[one]
}
func (events *eventHeap) Push(planned any) { *events = append(*events, planned.(event)) }
func (events *eventHeap) Pop() any {
	last := len(*events) - 1
	popped := (*events)[last]
	*events = (*events)[:last]
	return popped
}

// process is what runs at one address.
type process struct {
	simulator   *simulator
	address     string
	clockRate   float64
	clockOffset time.Duration
	incarnation int
	machine     *machine // nil while it does not run
	identity    string
	disk        []byte // synced
	diskLosses  int
	slowDisk    bool
	saving      *persist // under way
	nextSave    *persist
	isPaused    bool
	deferred    []func() // while frozen
	tickNumber  uint64
}

const (
	simulatedCallTimeout = 500 * time.Millisecond
	clockDrift           = 0.05 // a clock runs faster or slower by this, or exactly
)

func newSimulator(seed uint64, members int, mutation mutation) *simulator {
	sim := &simulator{
		random:       rand.New(rand.NewPCG(seed, uint64(members))),
		mutation:     mutation,
		brokenLinks:  make(map[link]bool),
		pendingCalls: make(map[uint64]func(effect)),
		pendingReads: make(map[uint64]Version),
	}
	sim.checker.init()
	sim.checker.allowsDrift = mutation.clockDrift > 0
	for number := range members {
		sim.processes = append(sim.processes, &process{
			simulator:   sim,
			address:     fmt.Sprintf("10.0.0.%d:1", number),
			clockRate:   sim.clockRate(number),
			clockOffset: sim.duration(0, time.Hour),
		})
	}
	for number, started := range sim.processes {
		isSeed := number < 3
		sim.schedule(sim.duration(0, 300*time.Millisecond), func() { started.start(isSeed) })
	}
	return sim
}

// clockRate is that of a process: within the margin or, where the mutation says so, that of the first far below it.
func (simulator *simulator) clockRate(number int) float64 {
	switch {
	case simulator.mutation.clockDrift == 0:
		return 1 + clockDrift*float64(simulator.random.IntN(3)-1)
	case number == 0:
		return 1 - simulator.mutation.clockDrift
	default:
		return 1
	}
}

// timing is that of the version of the process.
func (process *process) timing() Timing {
	mutation := process.simulator.mutation
	timing := mutation.timing
	if mutation.leases != nil {
		number := slices.Index(process.simulator.processes, process)
		timing.Lease = mutation.leases[number%len(mutation.leases)]
		timing.LongestLease = slices.Max(mutation.leases)
	}
	return timing
}

func (simulator *simulator) seeds() []string {
	var seeds []string
	for _, process := range simulator.processes[:3] {
		seeds = append(seeds, process.address)
	}
	return seeds
}

func (simulator *simulator) duration(from, below time.Duration) time.Duration {
	return from + time.Duration(simulator.random.Int64N(int64(below-from)))
}

func (simulator *simulator) chance(probability float64) bool {
	return simulator.random.Float64() < probability
}

func (simulator *simulator) schedule(wait time.Duration, action func()) {
	simulator.lastEvent++
	heap.Push(&simulator.events, event{at: simulator.now + wait, number: simulator.lastEvent, action: action})
}

// run lets time pass until a moment or the first violation.
func (simulator *simulator) run(until time.Duration) {
	for len(simulator.events) > 0 && simulator.checker.violation == "" && simulator.events[0].at <= until {
		next := heap.Pop(&simulator.events).(event)
		simulator.now = next.at
		next.action()
	}
	simulator.now = max(simulator.now, until)
}

// clock returns the process's own monotonic time.
func (process *process) clock() time.Duration {
	return process.clockOffset + time.Duration(float64(process.simulator.now)*process.clockRate)
}

func (process *process) start(bootstrap bool) {
	config := Config{
		Address:   process.address,
		Bootstrap: bootstrap,
		Seeds:     process.simulator.seeds(),
		State:     []byte(","),
		Storage:   &memoryStore{record: process.disk},
	}
	record, kind, err := loadRecord(config)
	if err != nil {
		panic(err)
	}
	if kind == startJoining {
		record.Identity = process.joiningIdentity()
	}
	process.identity = record.Identity
	process.incarnation++
	process.saving = nil
	process.nextSave = nil
	settings := machineConfig{
		address:     process.address,
		incarnation: uint64(process.incarnation),
		timing:      process.timing(),
		queueLimit:  4,
		random:      process.simulator.random.Int64N,
	}
	created, effects := newMachine(settings, record, kind, process.clock())
	process.machine = created
	if process.simulator.mutation.afterStart != nil {
		process.simulator.mutation.afterStart(process)
	}
	process.execute(effects)
	process.scheduleTick()
}

func (process *process) joiningIdentity() string {
	if process.simulator.mutation.keepIdentity && process.diskLosses > 0 {
		return seedIdentity(process.address)
	}
	return fmt.Sprintf("%s#lost%d", process.address, process.diskLosses+1)
}

// stop kills the process. A save under way may have reached the disk or not.
func (process *process) stop() {
	if process.saving != nil && process.simulator.chance(0.5) {
		process.disk = process.saving.record.Encode()
	}
	process.machine = nil
	process.incarnation++
	process.isPaused = false
	process.deferred = nil
}

// atIncarnation wraps an event so that it only reaches the process that planned it, and waits while that is frozen.
func (process *process) atIncarnation(action func()) func() {
	incarnation := process.incarnation
	var guarded func()
	guarded = func() {
		if process.machine == nil || process.incarnation != incarnation {
			return
		}
		if process.isPaused {
			process.deferred = append(process.deferred, guarded)
			return
		}
		action()
	}
	return guarded
}

func (process *process) resume() {
	if !process.isPaused {
		return
	}
	process.isPaused = false
	delayed := process.deferred
	process.deferred = nil
	for _, action := range delayed {
		action()
	}
}

// step feeds the machine and checks the invariants after it.
func (process *process) step(event input) {
	simulator := process.simulator
	if simulator.checker.violation != "" {
		return
	}
	defer func() {
		if recovered := recover(); recovered != nil {
			simulator.checker.violate("panic: %v", recovered)
		}
	}()
	if simulator.mutation.beforeStep != nil {
		event = simulator.mutation.beforeStep(process, event)
	}
	simulator.steps++
	effects := process.machine.step(process.clock(), event)
	if simulator.mutation.afterStep != nil {
		simulator.mutation.afterStep(process)
		effects = append(effects, process.machine.takeEffects()...)
	}
	simulator.checkSingleLeader()
	process.execute(effects)
	process.scheduleTick()
}

// scheduleTick plans the next tick and forgets the one planned before.
func (process *process) scheduleTick() {
	process.tickNumber++
	number := process.tickNumber
	wait := process.machine.wakeAt(process.clock())
	if wait == never {
		return
	}
	wait = max(wait-process.clock(), 0)
	trueWait := time.Duration(float64(wait)/process.clockRate) + process.simulator.duration(1, 2*time.Millisecond)
	process.simulator.schedule(trueWait, process.atIncarnation(func() {
		if process.tickNumber == number {
			process.step(tick{})
		}
	}))
}

func (process *process) execute(effects []effect) {
	for _, requested := range effects {
		if process.simulator.mutation.afterEffect != nil {
			requested = process.simulator.mutation.afterEffect(requested)
		}
		process.executeOne(requested)
	}
}

func (process *process) executeOne(requested effect) {
	simulator := process.simulator
	switch requested := requested.(type) {
	case sendVote:
		request := func(call uint64) input { return voteCall{call: call, request: requested.request} }
		simulator.send(process, requested.address, request, func(answer effect) input {
			result := voteResult{request: requested.request, failed: answer == nil}
			if answer != nil {
				result.reply = answer.(answerVote).reply
			}
			return result
		})
	case sendReplicate:
		request := func(call uint64) input { return replicateCall{call: call, request: requested.request} }
		simulator.send(process, requested.address, request, func(answer effect) input {
			result := replicateResult{
				member:       requested.request.Member,
				epoch:        requested.request.Epoch,
				sentAt:       requested.sentAt,
				round:        requested.round,
				withContents: requested.request.Contents != nil,
				failed:       answer == nil,
			}
			if answer != nil {
				result.reply = answer.(answerReplicate).reply
			}
			return result
		})
	case answerVote:
		simulator.pendingCalls[requested.call](requested)
	case answerReplicate:
		simulator.pendingCalls[requested.call](requested)
	case persist:
		if simulator.mutation.beforeSave != nil {
			requested.record = simulator.mutation.beforeSave(process, requested.record)
		}
		process.save(requested)
	case committed:
		simulator.checkAddedMembersHoldContents(requested)
		simulator.checker.commit(requested)
	case readDone:
		process.endRead(requested)
	case proposalDone:
		simulator.checker.endProposal(requested)
	case becameLeader, steppedDown:
	}
}

// send carries a request there and its answer back; one of the outcomes reaches the sender.
func (simulator *simulator) send(from *process, address string, request func(call uint64) input, result func(answer effect) input) {
	isEnded := false
	finish := func(answer effect) func() {
		return from.atIncarnation(func() {
			if !isEnded {
				isEnded = true
				from.step(result(answer))
			}
		})
	}
	simulator.schedule(simulatedCallTimeout, finish(nil))
	deliver := func() {
		if simulator.isLost(from.address, address) {
			return
		}
		simulator.schedule(simulator.delay(), simulator.arrival(from, address, request, finish))
	}
	deliver()
	if simulator.chance(0.02) {
		deliver()
	}
}

// arrival hands a request to whatever process runs at the address by then.
func (simulator *simulator) arrival(from *process, address string, request func(call uint64) input, finish func(effect) func()) func() {
	return func() {
		to := simulator.processAt(address)
		if to.machine == nil {
			return
		}
		simulator.lastCall++
		call := simulator.lastCall
		simulator.pendingCalls[call] = func(answer effect) {
			delete(simulator.pendingCalls, call)
			if !simulator.isLost(address, from.address) {
				simulator.schedule(simulator.delay(), finish(answer))
			}
		}
		to.atIncarnation(func() { to.step(request(call)) })()
	}
}

func (simulator *simulator) processAt(address string) *process {
	for _, process := range simulator.processes {
		if process.address == address {
			return process
		}
	}
	panic("no process at " + address)
}

func (simulator *simulator) isLost(from, to string) bool {
	return simulator.brokenLinks[link{from, to}] || simulator.chance(simulator.lossRate)
}

// delay is short most of the time, and long enough to overtake others now and then.
func (simulator *simulator) delay() time.Duration {
	if simulator.chance(0.03) {
		return simulator.duration(20*time.Millisecond, 1500*time.Millisecond)
	}
	return simulator.duration(time.Millisecond/2, 8*time.Millisecond)
}

// save syncs one record at a time; of those that wait only the newest is kept.
func (process *process) save(requested persist) {
	if process.simulator.mutation.confirmsUnsynced {
		process.simulator.schedule(0, process.atIncarnation(func() { process.step(persisted{point: requested.point}) }))
	}
	if process.saving != nil {
		process.nextSave = &requested
		return
	}
	process.saving = &requested
	incarnation := process.incarnation
	process.simulator.schedule(process.diskDelay(), func() { process.endSave(incarnation, requested) })
}

func (process *process) diskDelay() time.Duration {
	if process.slowDisk {
		return process.simulator.duration(50*time.Millisecond, 1500*time.Millisecond)
	}
	return process.simulator.duration(time.Millisecond, 10*time.Millisecond)
}

// endSave writes the disk also where the process is frozen.
func (process *process) endSave(incarnation int, requested persist) {
	if process.incarnation != incarnation {
		return
	}
	process.disk = requested.record.Encode()
	process.saving = nil
	if process.nextSave != nil {
		next := *process.nextSave
		process.nextSave = nil
		process.save(next)
	}
	process.atIncarnation(func() { process.step(persisted{point: requested.point}) })()
}

// read begins a read, and remembers what it must see at least.
func (process *process) read() {
	simulator := process.simulator
	simulator.lastCall++
	simulator.pendingReads[simulator.lastCall] = simulator.checker.newest.version
	process.step(read{read: simulator.lastCall})
}

// endRead checks that what is read holds all that was committed before the read came.
func (process *process) endRead(done readDone) {
	simulator := process.simulator
	before := simulator.pendingReads[done.read]
	delete(simulator.pendingReads, done.read)
	if done.err != nil {
		return
	}
	simulator.readsDone++
	if held := process.machine.committedVersion; held.Less(before) {
		simulator.checker.violate("%s read %v after %v was acknowledged", process.address, held, before)
	}
}

// checkAddedMembersHoldContents looks at the disks of the voters that are being added, at each step of a change: they hold the
// contents before the joint version is written, and the joint version before the new list stands alone.
func (simulator *simulator) checkAddedMembersHoldContents(seen committed) {
	before := simulator.checker.newest
	if !before.version.Less(seen.version) {
		return
	}
	least := bootstrapVersion
	joining := seen.contents
	if before.contents.isJoint() && !seen.contents.isJoint() && slices.Equal(before.contents.Members, seen.contents.Members) {
		least = simulator.checker.jointSince
		joining = before.contents
	}
	if !joining.isJoint() {
		return
	}
	for _, added := range joining.addedMembers() {
		joined := simulator.processAt(added.Address)
		if joined.identity != added.ID {
			continue // its disk was lost meanwhile
		}
		held := Record{}
		if len(joined.disk) > 0 {
			held, _ = DecodeRecord(joined.disk)
		}
		if held.Version.Less(least) {
			simulator.checker.violate("%s holds %v and counts in %v", added.ID, held.Version, seen.version)
		}
	}
}

// checkSingleLeader counts the processes that hold a valid lease at this true time, frozen ones as well.
func (simulator *simulator) checkSingleLeader() {
	if simulator.checker.allowsDrift {
		return
	}
	leaders := 0
	for _, process := range simulator.processes {
		if process.isLeading() {
			leaders++
		}
	}
	if leaders > 1 {
		simulator.checker.violate("%d leaders hold a valid lease", leaders)
	}
}

func (process *process) isLeading() bool {
	return process.machine != nil && process.machine.servesUntil(process.clock()) > process.clock()
}
