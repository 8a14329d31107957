// Package failover implements leader election among a small group of voters and primary-backup replication of one
// versioned state from the leader to the other members.
//
// The state is opaque bytes and is always replaced as a whole; there is no log. A version of the state is identified by
// (epoch, seq): the epoch of the leader that wrote it and a sequence number that increases by one with every version. A
// version is committed once a majority of the voters has synced it to disk. The list of voters is part of the replicated
// contents. It changes through a joint version that holds both the old and the new list and needs a majority of each
// (see members.go).
//
// A leader serves only while it holds a lease. The lease starts when the leader sent the newest heartbeat that a
// majority has acknowledged, and ends a safety margin before the grants of that majority end. A voter votes for another
// candidate only after its own grant has ended on its monotonic clock, only in an epoch newer than any that it voted in,
// and only if the candidate's version is at least as new as its own. Grants are not persisted, but their recipient is:
// after a restart a member may vote for that leader at once, and for others one lease later (see grant). A leader that
// restarts campaigns at once.
//
// The lease relies on a bounded clock drift between members. Linearizable reads don't: a read completes once a majority
// has acknowledged a round of heartbeats that started after the read arrived (see read.go).
//
// Each member has an identity that is stored on its disk. A process whose disk was lost joins under a new identity, so
// that it isn't held to votes and versions that its predecessor stored; the leader replaces the old identity by the new
// one in the list of voters.
//
// The protocol is a deterministic state machine without I/O or clock (machine), driven by Node.
package failover

import (
	"fmt"
	"time"
)

// Member is a voter, or a process that is to become one.
type Member struct {
	ID      string // unique per disk
	Address string // as Transport expects it
	// Zone is the failure domain of the member. This package stores it but doesn't evaluate it.
	Zone string
}

// Version identifies one version of the replicated contents. Versions are ordered by epoch, then by sequence number.
type Version struct {
	Epoch uint64
	Seq   uint64
}

// Less reports whether version is older than other.
func (version Version) Less(other Version) bool {
	if version.Epoch != other.Epoch {
		return version.Epoch < other.Epoch
	}
	return version.Seq < other.Seq
}

// String returns the version in the form epoch.seq.
func (version Version) String() string { return fmt.Sprintf("%d.%d", version.Epoch, version.Seq) }

// Contents is the replicated data. A Contents value must not be modified in place.
type Contents struct {
	State      []byte
	Members    []Member // voters
	OldMembers []Member // previous voters during a membership change, whose majority is needed as well; otherwise empty
}

// VoteRequest asks a voter for its vote.
type VoteRequest struct {
	Member     string // identity of the voter that the candidate expects at the address
	Candidate  string // identity of the candidate
	Epoch      uint64
	StateEpoch uint64 // version that the candidate holds
	StateSeq   uint64
	PreVote    bool // asks whether the vote would be granted; the voter records nothing
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Granted   bool
	Epoch     uint64 // newest epoch that the voter has voted in or accepted
	NotMember bool   // the receiver has an identity other than Member
}

// ReplicateRequest is the heartbeat of a leader. It renews the lease and carries the contents if the receiver lacks them.
type ReplicateRequest struct {
	Member        string // identity that the leader expects at the address
	Leader        string // identity of the leader
	LeaderAddress string
	Epoch         uint64 // epoch of the leader
	StateEpoch    uint64 // version that the receiver should hold
	StateSeq      uint64
	SameEpoch     uint64 // version with the same contents, which the receiver may already hold; both fields 0 if there is none
	SameSeq       uint64
	Contents      *Contents // nil if the receiver is expected to hold them
	Resign        bool      // the leader has given up its lease; the version and the lease of the request are ignored
	CommittedSeq  uint64    // newest committed sequence number of this epoch; 0 if none is committed
	// Lease is the longest time that the leader relies on the grant, counted from sending the request. It is 0 in requests
	// from releases that lack the field.
	Lease time.Duration
}

// ReplicateReply answers a ReplicateRequest.
type ReplicateReply struct {
	Ok         bool   // the receiver grants the lease
	Epoch      uint64 // newest epoch that the receiver has voted in or accepted
	StateEpoch uint64 // version that the receiver has synced
	StateSeq   uint64
	NotMember  bool // the receiver has an identity other than Member
	// Incarnation identifies the process that answers; it changes with every restart. It is 0 in replies from releases that
	// lack the field.
	Incarnation uint64
}
