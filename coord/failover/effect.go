package failover

import "time"

// effect is what a machine wants done. Its types are listed in this file.
type effect interface{ isEffect() }

// sendVote sends a request; its outcome comes back as a voteResult, also where none arrives in time.
type sendVote struct {
	address string
	request VoteRequest
}

// sendReplicate sends a request; its outcome comes back as a replicateResult, also where none arrives in time.
type sendReplicate struct {
	address string
	request ReplicateRequest
	sentAt  time.Duration
	round   uint64        // comes back with the outcome
	timeout time.Duration // for the answer, where the request carries contents; 0 for that of a heartbeat
}

// answerVote answers a voteCall.
type answerVote struct {
	call  uint64
	reply VoteReply
}

// answerReplicate answers a replicateCall.
type answerReplicate struct {
	call  uint64
	reply ReplicateReply
}

// persist saves the record. Once it has been synced, its point comes back in a persisted. A newer save that has
// been synced stands for all older ones.
type persist struct {
	point  savePoint
	record Record
}

// proposalDone ends a proposal. No error means that it is committed.
type proposalDone struct {
	proposal uint64
	err      error
}

// readDone ends a read. No error means that the committed state holds all that was acknowledged before the read came.
type readDone struct {
	read uint64
	err  error
}

// committed tells that a version is known to be committed.
type committed struct {
	version  Version
	contents Contents
}

// becameLeader tells that this member leads and serves from now on.
type becameLeader struct{ epoch uint64 }

// steppedDown tells that this member does not lead any longer.
type steppedDown struct {
	epoch  uint64
	reason string
}

func (sendVote) isEffect()        {}
func (sendReplicate) isEffect()   {}
func (answerVote) isEffect()      {}
func (answerReplicate) isEffect() {}
func (persist) isEffect()         {}
func (proposalDone) isEffect()    {}
func (readDone) isEffect()        {}
func (committed) isEffect()       {}
func (becameLeader) isEffect()    {}
func (steppedDown) isEffect()     {}
