package failover

import "time"

// input is what a machine reacts to. Its types are listed in this file.
type input interface{ isInput() }

// tick tells that time has passed; wakeAt says when one is due.
type tick struct{}

// voteCall is a VoteRequest that arrived. It is answered by an answerVote with the same call number.
type voteCall struct {
	call    uint64
	request VoteRequest
}

// voteResult is the outcome of a sendVote.
type voteResult struct {
	request VoteRequest
	reply   VoteReply
	failed  bool // no reply came
}

// replicateCall is a ReplicateRequest that arrived. It is answered by an answerReplicate with the same call number.
type replicateCall struct {
	call    uint64
	request ReplicateRequest
}

// replicateResult is the outcome of a sendReplicate.
type replicateResult struct {
	member       string // identity that was asked
	epoch        uint64 // of the request
	sentAt       time.Duration
	round        uint64 // of the heartbeat
	withContents bool
	reply        ReplicateReply
	failed       bool // no reply came
}

// propose asks for a new version. Exactly one of change and members is set. A proposalDone with the same number
// ends it.
type propose struct {
	proposal    uint64
	change      func(old []byte) ([]byte, error)
	members     *memberChange
	leavesJoint bool // of the leader itself: the end of a change of members
}

// isMemberChange reports whether a proposal is a step of a change of members, which ends with the last step.
func (proposed propose) isMemberChange() bool { return proposed.members != nil || proposed.leavesJoint }

// read asks for the moment from which on the committed state of this member is the newest. A readDone with the same
// number ends it.
type read struct{ read uint64 }

// abandon ends a proposal or a read whose caller does not wait any longer.
type abandon struct {
	proposal uint64
	cause    error
}

// resign gives the leadership up.
type resign struct{}

// persisted tells that a save has been synced.
type persisted struct{ point savePoint }

func (tick) isInput()            {}
func (voteCall) isInput()        {}
func (voteResult) isInput()      {}
func (replicateCall) isInput()   {}
func (replicateResult) isInput() {}
func (propose) isInput()         {}
func (read) isInput()            {}
func (abandon) isInput()         {}
func (resign) isInput()          {}
func (persisted) isInput()       {}
