package cluster

import "fmt"

// ReleaseError says that the leader has not taken a release.
type ReleaseError struct {
	Partitions int
	Cause      error
}

// Error names the remedy.
func (e *ReleaseError) Error() string {
	return fmt.Sprintf("%d partitions are not released, stop acting for them until the lease has ended: %v", e.Partitions, e.Cause)
}

// Unwrap returns the cause.
func (e *ReleaseError) Unwrap() error { return e.Cause }

// StaleLeaderError says that an update comes from a leader that was replaced.
type StaleLeaderError struct {
	Epoch uint64 // of the update
	Seen  uint64 // the newest epoch seen
}

// Error names the remedy.
func (e *StaleLeaderError) Error() string {
	return fmt.Sprintf("update of leader epoch %d after one of epoch %d: follow the newest leader", e.Epoch, e.Seen)
}

// ConfigChangeError says that a change of the configuration does not lead from the version held to the one that it names.
type ConfigChangeError struct {
	Held    uint64 // version in force here
	Base    uint64 // version that the change builds on
	Version uint64 // version that it leads to
}

// Error names the remedy.
func (e *ConfigChangeError) Error() string {
	return fmt.Sprintf("the change from configuration %d to %d does not fit %d: connect anew for all of it", e.Base, e.Version, e.Held)
}
