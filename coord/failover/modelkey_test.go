package failover

import (
	"encoding/binary"
	"hash/maphash"
	"maps"
	"slices"
	"time"
)

// modelKey stands for a state. Two states of the same key have the same future; that two others share one by chance is
// as likely as for any hash of 128 bits.
type modelKey [2]uint64

var modelSeeds = [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}

// keyWriter collects what distinguishes a state. Times are told relative to the clock of their process, and those that are
// over count as equal.
type keyWriter struct {
	written []byte
	clock   time.Duration
}

func (state *modelState) key() modelKey {
	writer := keyWriter{written: make([]byte, 0, 1024)}
	for _, process := range state.processes {
		writer.process(process)
	}
	writer.messages(state, state.queue)
	writer.numbers(uint64(len(state.held)))
	writer.heldMessages(state)
	writer.history(state)
	used := state.used
	writer.numbers(uint64(state.elapsed), uint64(used.proposals), uint64(used.holds), uint64(used.crashes),
		uint64(used.stalls), uint64(used.losses), uint64(used.resigns), uint64(used.cuts), uint64(used.freezes),
		uint64(used.reads))
	for _, row := range state.cut {
		for _, isCut := range row {
			writer.flag(isCut)
		}
	}
	return modelKey{maphash.Bytes(modelSeeds[0], writer.written), maphash.Bytes(modelSeeds[1], writer.written)}
}

func (writer *keyWriter) numbers(values ...uint64) {
	for _, value := range values {
		writer.written = binary.AppendUvarint(writer.written, value)
	}
}

func (writer *keyWriter) text(text string) { writer.written = appendString(writer.written, text) }

func (writer *keyWriter) flag(value bool) {
	if value {
		writer.numbers(1)
		return
	}
	writer.numbers(0)
}

func (writer *keyWriter) version(version Version) { writer.numbers(version.Epoch, version.Seq) }

// future is a moment that matters until it has come.
func (writer *keyWriter) future(moment time.Duration) {
	writer.numbers(uint64(max(moment-writer.clock, 0)))
}

// past is a moment that matters for the length of a lease.
func (writer *keyWriter) past(moment time.Duration) {
	writer.numbers(uint64(max(moment-writer.clock+modelTiming.Lease, 0)))
}

func (writer *keyWriter) record(record *Record) {
	writer.text(record.Identity)
	writer.numbers(record.VotedEpoch)
	writer.text(record.VotedFor)
	writer.version(record.Version)
	writer.contents(&record.Contents)
}

func (writer *keyWriter) contents(contents *Contents) {
	writer.text(string(contents.State))
	writer.members(contents.Members)
	writer.members(contents.OldMembers)
}

func (writer *keyWriter) members(members []Member) {
	writer.numbers(uint64(len(members)))
	for _, member := range members {
		writer.text(member.ID)
	}
}

func (writer *keyWriter) process(process *modelProcess) {
	writer.clock = process.clock
	writer.numbers(uint64(process.disksLost))
	writer.flag(process.machine != nil)
	writer.flag(process.frozen)
	if process.machine != nil {
		writer.machine(process.machine)
		return
	}
	writer.flag(process.disk != nil)
	if process.disk != nil {
		writer.record(process.disk)
	}
}

// machine leaves out what is the same in all running processes of the model: the disk holds the record.
func (writer *keyWriter) machine(machine *machine) {
	writer.record(&machine.record)
	writer.version(machine.committedVersion)
	writer.numbers(machine.highestEpoch)
	writer.future(machine.ackAfter)
	if machine.grant.ends > writer.clock {
		writer.text(machine.grant.leader)
	}
	writer.future(machine.grant.ends)
	writer.flag(machine.formerTerm != nil)
	if machine.formerTerm != nil {
		writer.numbers(machine.formerTerm.epoch)
		writer.future(machine.formerTerm.ends)
	}
	writer.flag(machine.leadership != nil)
	if machine.leadership != nil {
		writer.leadership(machine.leadership)
		return
	}
	writer.future(machine.electionAt)
	writer.flag(machine.campaign != nil)
	if machine.campaign != nil {
		writer.campaign(machine.campaign)
	}
}

func (writer *keyWriter) campaign(campaign *campaign) {
	writer.numbers(campaign.epoch)
	writer.flag(campaign.askOnly)
	writer.numbers(uint64(len(campaign.granted)))
	for _, identity := range slices.Sorted(maps.Keys(campaign.granted)) {
		writer.text(identity)
	}
}

func (writer *keyWriter) leadership(lead *leadership) {
	writer.numbers(lead.epoch)
	writer.past(lead.electedAt)
	writer.future(lead.heartbeatAt)
	writer.version(lead.same)
	writer.change(lead.change)
	if lead.isServing {
		writer.version(lead.jointSince)
	}
	writer.reads(lead)
	writer.flag(lead.isServing)
	writer.flag(lead.inFlight != nil)
	if lead.inFlight != nil {
		writer.numbers(lead.inFlight.proposal)
	}
	writer.numbers(uint64(len(lead.peers)))
	for _, identity := range slices.Sorted(maps.Keys(lead.peers)) {
		known := lead.peers[identity]
		writer.text(identity)
		writer.flag(known.isKnown)
		writer.version(known.version)
		writer.flag(known.hasGranted)
		writer.past(known.grantedSentAt)
		writer.future(known.contentsRetryAt)
		writer.numbers(uint64(min(known.contentsFailed, contentsDoublings)))
	}
}

func (writer *keyWriter) change(change *changeUnderWay) {
	writer.flag(change != nil)
	if change == nil {
		return
	}
	writer.flag(change.learner != nil)
	if change.learner != nil {
		writer.text(change.learner.ID)
		writer.version(change.needs)
	}
	writer.text(change.wanted.removeID)
}

// reads tells of the reads that wait how far their rounds have come. No other number of a round matters.
func (writer *keyWriter) reads(lead *leadership) {
	writer.numbers(uint64(len(lead.reads)))
	for _, waiting := range lead.reads {
		writer.flag(waiting.isRead)
		writer.flag(lead.round >= waiting.round)
		for _, identity := range slices.Sorted(maps.Keys(lead.peers)) {
			writer.flag(lead.peers[identity].answeredRound >= waiting.round)
		}
	}
}

// round tells of a heartbeat, or of the answer to one, for which reads it counts.
func (writer *keyWriter) round(asker *modelProcess, round uint64) {
	if asker.machine.leadership == nil {
		return
	}
	for _, waiting := range asker.machine.leadership.reads {
		writer.flag(round >= waiting.round)
	}
}

func (writer *keyWriter) messages(state *modelState, messages []modelMessage) {
	writer.numbers(uint64(len(messages)))
	for position := range messages {
		writer.message(state, &messages[position])
	}
}

// heldMessages have no order.
func (writer *keyWriter) heldMessages(state *modelState) {
	var told []string
	for position := range state.held {
		single := keyWriter{}
		single.message(state, &state.held[position])
		told = append(told, string(single.written))
	}
	slices.Sort(told)
	for _, message := range told {
		writer.text(message)
	}
}

// message tells the moment of sending on the clock of the process that asked, where that still runs.
func (writer *keyWriter) message(state *modelState, message *modelMessage) {
	asking := message.from
	if message.isAnswer() {
		asking = message.to
	}
	writer.numbers(uint64(message.from), uint64(message.to))
	asker := state.processes[asking]
	isAwaited := asker.machine != nil && asker.incarnation == message.incarnation
	writer.flag(isAwaited)
	if isAwaited {
		writer.clock = asker.clock
		writer.past(message.sentAt)
		writer.round(asker, message.round)
	}
	writer.flag(message.vote != nil)
	if message.vote != nil {
		writer.voteRequest(message.vote)
	} else {
		writer.replicateRequest(message.replicate)
	}
	writer.flag(message.voteReply != nil)
	if reply := message.voteReply; reply != nil {
		writer.flag(reply.Granted)
		writer.numbers(reply.Epoch)
		writer.flag(reply.NotMember)
	}
	writer.flag(message.replicated != nil)
	if reply := message.replicated; reply != nil {
		writer.flag(reply.Ok)
		writer.numbers(reply.Epoch, reply.StateEpoch, reply.StateSeq)
		writer.flag(reply.NotMember)
	}
}

func (writer *keyWriter) voteRequest(request *VoteRequest) {
	writer.text(request.Member)
	writer.text(request.Candidate)
	writer.numbers(request.Epoch, request.StateEpoch, request.StateSeq)
	writer.flag(request.PreVote)
}

func (writer *keyWriter) replicateRequest(request *ReplicateRequest) {
	writer.text(request.Member)
	writer.text(request.Leader)
	writer.numbers(request.Epoch, request.StateEpoch, request.StateSeq, request.SameEpoch, request.SameSeq, request.CommittedSeq)
	writer.flag(request.Resign)
	writer.flag(request.Contents != nil)
	if request.Contents != nil {
		writer.contents(request.Contents)
	}
}

// history is what was committed.
func (writer *keyWriter) history(state *modelState) {
	versions := slices.SortedFunc(maps.Keys(state.versions), func(one, other Version) int {
		if one.Less(other) {
			return -1
		}
		return 1
	})
	writer.numbers(uint64(len(versions)))
	for _, version := range versions {
		writer.version(version)
		writer.text(state.versions[version])
	}
	reading := slices.Sorted(maps.Keys(state.reading))
	writer.numbers(uint64(len(reading)))
	for _, number := range reading {
		writer.numbers(number)
		writer.version(state.reading[number])
	}
}
