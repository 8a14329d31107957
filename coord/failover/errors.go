package failover

import "fmt"

// NotLeaderError reports that nothing was proposed or read because this process isn't the leader.
type NotLeaderError struct {
	LeaderAddress string // empty if no leader is known
}

// Error includes the remedy.
func (err NotLeaderError) Error() string {
	if err.LeaderAddress == "" {
		return "not the leader, and no leader is known: retry after an election"
	}
	return "not the leader: ask " + err.LeaderAddress
}

// OutcomeUnknownError reports that a proposal was started and may or may not be committed.
type OutcomeUnknownError struct {
	Reason string
}

// Error includes the remedy.
func (err OutcomeUnknownError) Error() string {
	return "outcome of the proposal unknown (" + err.Reason + "): read the state of the next leader, or propose it again"
}

// OverloadedError reports that nothing was proposed or read because too many requests are queued.
type OverloadedError struct {
	Limit int
}

// Error includes the remedy.
func (err OverloadedError) Error() string {
	return fmt.Sprintf("%d requests are queued already: retry later", err.Limit)
}

// ClosedError reports that the node is closed.
type ClosedError struct{}

// Error includes the remedy.
func (ClosedError) Error() string { return "the node is closed: ask another member" }

// InvalidMembersError reports a membership change that isn't possible.
type InvalidMembersError struct {
	Reason string
}

// Error returns the reason.
func (err InvalidMembersError) Error() string { return "invalid membership change: " + err.Reason }

// MemberChangePendingError reports that nothing was proposed because another membership change is in progress.
type MemberChangePendingError struct{}

// Error includes the remedy.
func (MemberChangePendingError) Error() string {
	return "another membership change is in progress: retry when it has completed"
}

// LearnerBehindError reports that no membership change was started because the voter to be added didn't sync the contents
// in time.
type LearnerBehindError struct {
	Learner string // identity of the learner
	Cause   error
}

// Error includes the remedy.
func (err LearnerBehindError) Error() string {
	return fmt.Sprintf("learner %s has not synced the contents yet (%v): propose the change again, or add another member", err.Learner, err.Cause)
}

// Unwrap returns why the wait ended.
func (err LearnerBehindError) Unwrap() error { return err.Cause }

// CorruptRecordError reports that the record on disk can't be decoded.
type CorruptRecordError struct {
	Reason string
}

// Error includes the remedy.
func (err CorruptRecordError) Error() string {
	return "record of the member is corrupt (" + err.Reason + "): remove it, and the process joins with a new identity"
}
