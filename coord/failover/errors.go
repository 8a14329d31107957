package failover

import "fmt"

// NotLeaderError reports that nothing was proposed because this process does not lead.
type NotLeaderError struct {
	LeaderAddress string // empty where no leader is known
}

// Error names the remedy.
func (err NotLeaderError) Error() string {
	if err.LeaderAddress == "" {
		return "not the leader, and none is known: try again after an election"
	}
	return "not the leader: ask " + err.LeaderAddress
}

// OutcomeUnknownError reports that a proposal was begun and may or may not be in force.
type OutcomeUnknownError struct {
	Reason string
}

// Error names the remedy.
func (err OutcomeUnknownError) Error() string {
	return "outcome of the proposal unknown (" + err.Reason + "): read the state of the next leader, or propose it again"
}

// Overloaded reports that nothing was proposed because too many proposals wait.
type OverloadedError struct {
	Limit int
}

// Error names the remedy.
func (err OverloadedError) Error() string {
	return fmt.Sprintf("%d proposals wait already: try again later", err.Limit)
}

// Closed reports that the node was closed.
type ClosedError struct{}

// Error names the remedy.
func (ClosedError) Error() string { return "the node is closed: ask another member" }

// InvalidMembersError reports a change of members that is not possible.
type InvalidMembersError struct {
	Reason string
}

// Error names the remedy.
func (err InvalidMembersError) Error() string { return "invalid change of members: " + err.Reason }

// MemberChangePendingError reports that nothing was proposed because another change of members is under way.
type MemberChangePendingError struct{}

// Error names the remedy.
func (MemberChangePendingError) Error() string {
	return "another change of members is under way: wait until it has ended"
}

// LearnerBehindError reports that nothing was proposed because the member to be added did not hold the contents in time.
type LearnerBehindError struct {
	Learner string // its identity
	Cause   error
}

// Error names the remedy.
func (err LearnerBehindError) Error() string {
	return fmt.Sprintf("%s does not hold the contents yet (%v): propose the change again, or add another member", err.Learner, err.Cause)
}

// Unwrap returns why the wait ended.
func (err LearnerBehindError) Unwrap() error { return err.Cause }

// CorruptRecordError reports a record on disk that can't be read back.
type CorruptRecordError struct {
	Reason string
}

// Error names the remedy.
func (err CorruptRecordError) Error() string {
	return "record of the member is corrupt (" + err.Reason + "): remove it, and the process joins with a new identity"
}
