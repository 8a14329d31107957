package failover

import "fmt"

// NotLeader reports that nothing was proposed because this process does not lead.
type NotLeader struct {
	LeaderAddress string // empty where no leader is known
}

// Error names the remedy.
func (err NotLeader) Error() string {
	if err.LeaderAddress == "" {
		return "not the leader, and none is known: try again after an election"
	}
	return "not the leader: ask " + err.LeaderAddress
}

// OutcomeUnknown reports that a proposal was begun and may or may not be in force.
type OutcomeUnknown struct {
	Reason string
}

// Error names the remedy.
func (err OutcomeUnknown) Error() string {
	return "outcome of the proposal unknown (" + err.Reason + "): read the state of the next leader, or propose it again"
}

// Overloaded reports that nothing was proposed because too many proposals wait.
type Overloaded struct {
	Limit int
}

// Error names the remedy.
func (err Overloaded) Error() string {
	return fmt.Sprintf("%d proposals wait already: try again later", err.Limit)
}

// Closed reports that the node was closed.
type Closed struct{}

// Error names the remedy.
func (Closed) Error() string { return "the node is closed: ask another member" }

// InvalidMembers reports a change of members that is not possible.
type InvalidMembers struct {
	Reason string
}

// Error names the remedy.
func (err InvalidMembers) Error() string { return "invalid change of members: " + err.Reason }

// MembersChanging reports that nothing was proposed because another change of members is under way.
type MembersChanging struct{}

// Error names the remedy.
func (MembersChanging) Error() string {
	return "another change of members is under way: wait until it has ended"
}

// LearnerBehind reports that nothing was proposed because the member to be added did not hold the contents in time.
type LearnerBehind struct {
	Learner string // its identity
	Cause   error
}

// Error names the remedy.
func (err LearnerBehind) Error() string {
	return fmt.Sprintf("%s does not hold the contents yet (%v): propose the change again, or add another member", err.Learner, err.Cause)
}

// Unwrap returns why the wait ended.
func (err LearnerBehind) Unwrap() error { return err.Cause }

// CorruptRecord reports a record on disk that can't be read back.
type CorruptRecord struct {
	Reason string
}

// Error names the remedy.
func (err CorruptRecord) Error() string {
	return "record of the member is corrupt (" + err.Reason + "): remove it, and the process joins with a new identity"
}
