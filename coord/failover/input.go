package failover

import "time"

// input is an event that a machine handles. All inputs are defined in this file.
type input interface{ isInput() }

// tick reports that time has passed; machine.wakeAt returns when the next one is due.
type tick struct{}

// voteCall is a received vote request. It is answered by an answerVote with the same call number.
type voteCall struct {
	call    uint64
	request VoteRequest
}

// voteResult is the outcome of a sendVote.
type voteResult struct {
	request VoteRequest
	reply   VoteReply
	failed  bool // no reply arrived
}

// replicateCall is a received heartbeat. It is answered by an answerReplicate with the same call number.
type replicateCall struct {
	call    uint64
	request ReplicateRequest
}

// replicateResult is the outcome of a sendReplicate.
type replicateResult struct {
	member       string // identity of the receiver
	epoch        uint64 // epoch of the request
	sentAt       time.Duration
	round        uint64 // heartbeat round of the request
	withContents bool
	reply        ReplicateReply
	failed       bool // no reply arrived
}

// propose requests a new version. Exactly one of change, members and leavesJoint is set. A proposalDone with the same
// number completes it.
type propose struct {
	proposal    uint64
	change      func(old []byte) ([]byte, error)
	members     *memberChange
	leavesJoint bool // written by the leader itself as the last step of a membership change
}

// isMemberChange reports whether the proposal is a step of a membership change, which completes only with its last step.
func (proposed propose) isMemberChange() bool { return proposed.members != nil || proposed.leavesJoint }

// read requests a confirmation that the committed state of this member is the newest. A readDone with the same number
// completes it.
type read struct{ read uint64 }

// abandon completes a proposal or a read whose caller has stopped waiting.
type abandon struct {
	proposal uint64
	cause    error
}

// resign makes the leader step down.
type resign struct{}

// persisted reports that a save has been synced.
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
