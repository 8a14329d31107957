package cluster

import "fmt"

// ReleaseError reports that no leader has accepted a release.
type ReleaseError struct {
	Partitions int
	Cause      error
}

// Error implements error.
func (e *ReleaseError) Error() string {
	return fmt.Sprintf("release of %d partitions not confirmed, treat them as not owned until the lease expires: %v", e.Partitions, e.Cause)
}

// Unwrap returns the cause.
func (e *ReleaseError) Unwrap() error { return e.Cause }

// StaleLeaderError reports an update from a leader that has been replaced.
type StaleLeaderError struct {
	Epoch uint64 // of the update
	Seen  uint64 // newest epoch seen
}

// Error implements error.
func (e *StaleLeaderError) Error() string {
	return fmt.Sprintf("stale update of leader epoch %d, epoch %d already seen: follow the newest leader", e.Epoch, e.Seen)
}

// ConfigChangeError reports a configuration change that does not lead from the current version to the one that it
// names.
type ConfigChangeError struct {
	Held    uint64 // current version
	Base    uint64 // version that the change applies to
	Version uint64 // version that the change results in
}

// Error implements error.
func (e *ConfigChangeError) Error() string {
	return fmt.Sprintf("configuration change from version %d to %d does not match current version %d: reconnect for the full configuration", e.Base, e.Version, e.Held)
}
