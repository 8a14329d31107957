package failover

import "time"

// effect is an action that a machine requests. All effects are defined in this file.
type effect interface{ isEffect() }

// sendVote sends a vote request. The outcome returns as a voteResult, also if no reply arrives in time.
type sendVote struct {
	address string
	request VoteRequest
}

// sendReplicate sends a heartbeat. The outcome returns as a replicateResult, also if no reply arrives in time.
type sendReplicate struct {
	address string
	request ReplicateRequest
	sentAt  time.Duration
	round   uint64        // heartbeat round; returned with the outcome
	timeout time.Duration // timeout of a request with contents; 0 for a heartbeat without contents
}

// answerVote answers the voteCall with the same number.
type answerVote struct {
	call  uint64
	reply VoteReply
}

// answerReplicate answers the replicateCall with the same number.
type answerReplicate struct {
	call  uint64
	reply ReplicateReply
}

// persist saves the record. Once it has been synced, its save point returns as a persisted input. A save that has been
// synced covers all older ones.
type persist struct {
	point  savePoint
	record Record
}

// proposalDone completes a proposal. A nil error means that it is committed.
type proposalDone struct {
	proposal uint64
	err      error
}

// readDone completes a read. A nil error means that the committed state includes everything that was acknowledged before
// the read arrived.
type readDone struct {
	read uint64
	err  error
}

// committed reports that a version is known to be committed.
type committed struct {
	version  Version
	contents Contents
}

// becameLeader reports that this member now serves as the leader.
type becameLeader struct{ epoch uint64 }

// steppedDown reports that this member no longer leads.
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
