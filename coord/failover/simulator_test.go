package failover

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// simulator simulates processes, disks, clocks and links in virtual time. A run is determined by its seed.
type simulator struct {
	random       *rand.Rand
	mutation     mutation
	now          time.Duration // true time, which no process sees
	events       eventHeap
	lastEvent    uint64
	processes    []*process
	brokenLinks  map[link]bool
	lossRate     float64
	isIdle       bool                    // no proposals are made
	pendingCalls map[uint64]func(effect) // delivers the answer to a call
	lastCall     uint64
	steps        int                // of all machines
	pendingReads map[uint64]Version // reads in progress, with the newest committed version when they started
	readsDone    int
	checker      checker
	faults       int
}

// mutation alters the protocol or the environment, to show that the checks detect it. The zero value alters nothing.
type mutation struct {
	timing           Timing
	beforeStep       func(process *process, event input) input
	afterStart       func(process *process)
	beforeSave       func(process *process, record Record) Record
	afterStep        func(process *process)
	afterEffect      func(requested effect) effect
	leases           []time.Duration // lease durations, assigned to the processes in turn; nil for that of timing
	replacesVoters   bool            // running voters are replaced again and again, so that one process is always a non-voter
	clockDrift       float64         // the clock of the first process is slower by this fraction; checks that rely on leases are then skipped
	confirmsUnsynced bool            // saves are confirmed before they are synced
	keepIdentity     bool            // a process whose disk was lost restarts under its previous identity
}

// link is one direction between two addresses.
type link struct{ from, to string }

// event happens at a true time. Events at the same time happen in the order in which they were scheduled.
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

// process is the process at one address.
type process struct {
	simulator   *simulator
	address     string
	clockRate   float64
	clockOffset time.Duration
	incarnation int
	machine     *machine // nil while the process doesn't run
	identity    string
	disk        []byte // synced record
	diskLosses  int
	slowDisk    bool
	saving      *persist // save in progress
	nextSave    *persist
	isPaused    bool
	deferred    []func() // events received while paused
	tickNumber  uint64
}

const (
	simulatedCallTimeout = 500 * time.Millisecond
	clockDrift           = 0.05 // each clock is exact, or faster or slower by this fraction
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

// clockRate returns the clock rate of a process: within the safety margin, or as far outside it as the mutation demands.
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

// timing returns the timing that the process is configured with.
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

// run processes events until the given time or the first violation.
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

// stop kills the process. A save in progress may or may not have reached the disk.
func (process *process) stop() {
	if process.saving != nil && process.simulator.chance(0.5) {
		process.disk = process.saving.record.Encode()
	}
	process.machine = nil
	process.incarnation++
	process.isPaused = false
	process.deferred = nil
}

// atIncarnation wraps an event so that it is dropped after a restart of the process, and deferred while it is paused.
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

// step passes an input to the machine and checks the invariants afterwards.
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

// scheduleTick schedules the next tick and invalidates the one scheduled before.
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

// send delivers a request and its answer. The sender gets exactly one result: the answer or a timeout.
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

// arrival delivers a request to the process that runs at the address at that time.
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

// delay returns the delay of a message. It is usually short, and occasionally long enough to reorder messages.
func (simulator *simulator) delay() time.Duration {
	if simulator.chance(0.03) {
		return simulator.duration(20*time.Millisecond, 1500*time.Millisecond)
	}
	return simulator.duration(time.Millisecond/2, 8*time.Millisecond)
}

// save syncs one record at a time. Of the records that wait only the newest is kept.
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

// endSave writes the disk, also while the process is paused.
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

// read starts a read and records the version that it must see at least.
func (process *process) read() {
	simulator := process.simulator
	simulator.lastCall++
	simulator.pendingReads[simulator.lastCall] = simulator.checker.newest.version
	process.step(read{read: simulator.lastCall})
}

// endRead checks that the read sees everything that was committed before it started.
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

// checkAddedMembersHoldContents checks the disks of added voters at each step of a membership change: they must hold the
// contents before the joint version is written, and the joint version before the new list alone is written.
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
			continue // its disk has been lost since
		}
		held := Record{}
		if len(joined.disk) > 0 {
			held, _ = DecodeRecord(joined.disk)
		}
		if held.Version.Less(least) {
			simulator.checker.violate("%s holds only %v but is a voter in %v", added.ID, held.Version, seen.version)
		}
	}
}

// checkSingleLeader checks that at most one process, paused ones included, holds a valid lease at this true time.
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
