package failover

import (
	"encoding/binary"
	"hash/maphash"
	"maps"
	"slices"
	"time"
)

// modelKey identifies a state. States with the same key have the same future. The probability that two other states share a
// key is that of a collision of 128-bit hashes.
type modelKey [2]uint64

var modelSeeds = [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}

// keyWriter encodes everything that distinguishes a state. Times are relative to the clock of their process, and all times
// that have passed are encoded alike.
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
	writer.numbers(uint64(len(state.delayed)))
	writer.delayedMessages(state)
	writer.history(state)
	used := state.consumed
	writer.numbers(uint64(state.elapsed), uint64(used.proposals), uint64(used.delays), uint64(used.crashes),
		uint64(used.clockStalls), uint64(used.diskLosses), uint64(used.resignations), uint64(used.cuts), uint64(used.pauses),
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

// future encodes a time that matters until it is reached.
func (writer *keyWriter) future(moment time.Duration) {
	writer.numbers(uint64(max(moment-writer.clock, 0)))
}

// past encodes a time that matters for the length of a lease.
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
	writer.flag(process.isPaused)
	if process.machine != nil {
		writer.machine(process.machine)
		return
	}
	writer.flag(process.disk != nil)
	if process.disk != nil {
		writer.record(process.disk)
	}
}

// machine omits what is the same in all running processes of the model: the disk holds the record.
func (writer *keyWriter) machine(machine *machine) {
	writer.record(&machine.record)
	writer.version(machine.committedVersion)
	writer.numbers(machine.highestEpoch)
	writer.future(machine.ackAfter)
	if machine.grant.expiresAt > writer.clock {
		writer.text(machine.grant.leader)
	}
	writer.future(machine.grant.expiresAt)
	writer.flag(machine.restartCampaign != nil)
	if machine.restartCampaign != nil {
		writer.numbers(machine.restartCampaign.epoch)
		writer.future(machine.restartCampaign.expiresAt)
	}
	writer.flag(machine.leadership != nil)
	if machine.leadership != nil {
		writer.leadership(machine.leadership)
		return
	}
	writer.future(machine.campaignAt)
	writer.flag(machine.campaign != nil)
	if machine.campaign != nil {
		writer.campaign(machine.campaign)
	}
}

func (writer *keyWriter) campaign(campaign *campaign) {
	writer.numbers(campaign.epoch)
	writer.flag(campaign.isPreVote)
	writer.numbers(uint64(len(campaign.granted)))
	for _, identity := range slices.Sorted(maps.Keys(campaign.granted)) {
		writer.text(identity)
	}
}

func (writer *keyWriter) leadership(lead *leadership) {
	writer.numbers(lead.epoch)
	writer.past(lead.electedAt)
	writer.future(lead.heartbeatAt)
	writer.version(lead.inheritedVersion)
	writer.pendingChange(lead.pendingChange)
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
		progress := lead.peers[identity]
		writer.text(identity)
		writer.flag(progress.isVersionKnown)
		writer.version(progress.version)
		writer.flag(progress.hasGranted)
		writer.past(progress.grantedSentAt)
		writer.future(progress.contentsRetryAt)
		writer.numbers(uint64(min(progress.contentsFailures, maxTimeoutDoublings)))
	}
}

func (writer *keyWriter) pendingChange(pendingChange *pendingMemberChange) {
	writer.flag(pendingChange != nil)
	if pendingChange == nil {
		return
	}
	writer.flag(pendingChange.learner != nil)
	if pendingChange.learner != nil {
		writer.text(pendingChange.learner.ID)
		writer.version(pendingChange.requiredVersion)
	}
	writer.text(pendingChange.requested.removeID)
}

// reads encodes the progress of the rounds that reads wait for. Other round numbers don't matter.
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

// round encodes for which pending reads a heartbeat or an answer to it counts.
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

// delayedMessages encodes the delayed messages as a set, since they have no order.
func (writer *keyWriter) delayedMessages(state *modelState) {
	var encoded []string
	for position := range state.delayed {
		single := keyWriter{}
		single.message(state, &state.delayed[position])
		encoded = append(encoded, string(single.written))
	}
	slices.Sort(encoded)
	for _, message := range encoded {
		writer.text(message)
	}
}

// message encodes the send time on the clock of the process that sent the request, if that process still runs.
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

// history encodes the committed versions and the pending reads.
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
	reading := slices.Sorted(maps.Keys(state.pendingReads))
	writer.numbers(uint64(len(reading)))
	for _, number := range reading {
		writer.numbers(number)
		writer.version(state.pendingReads[number])
	}
}
