// Package failover elects one leader among a few voters and replicates one versioned state from the leader to
// the others (primary-backup).
//
// The state is opaque bytes and is replaced whole; there is no log. A version of it is named by (epoch, seq): the
// epoch of the leader that wrote it and a number that rises by one with every version. A version counts once a
// majority of the voters has synced it. The list of voters is part of the replicated contents. A change of it goes
// through a joint version that holds the old list and the new one, and counts by a majority of each (see members.go).
//
// A leader serves only while it holds a lease: it runs from the moment it sent the newest heartbeat that a majority
// answered, and ends by a margin before the grants of those that answered it. A voter votes for another candidate
// only after its grant has ended on its own monotonic clock, for a newer epoch than it ever voted in, and only if the
// candidate's version is at least its own. A member that restarts has forgotten its grants, but not whom they were
// given to: it votes for that member at once, and for others one lease later (see grant). A leader that restarts
// campaigns at once.
//
// The lease rests on a bound of the drift of clocks. A read does not: it ends once a majority has answered a round of
// heartbeats that began after the read came (see read.go).
//
// A process has an identity that is written to its disk. A process whose disk was lost comes back with another
// identity, so what its predecessor voted and stored is not mistaken for its own; the leader exchanges the old
// identity for the new one.
//
// The package consists of a reducer without I/O or clock (machine) and its driver (Node).
package failover

import (
	"fmt"
	"time"
)

// Member is a voter.
type Member struct {
	ID      string // identity, unique for every disk
	Address string // where Transport reaches it
	Zone    string
}

// Version names one version of the replicated contents. Versions are ordered by epoch, then by seq.
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

// String returns the version as epoch.seq.
func (version Version) String() string { return fmt.Sprintf("%d.%d", version.Epoch, version.Seq) }

// Contents is what is replicated. It is never modified in place.
type Contents struct {
	State      []byte
	Members    []Member // voters
	OldMembers []Member // while voters are changed: those before the change, whose majority is needed as well
}

// VoteRequest asks a witness for its vote.
type VoteRequest struct {
	Member     string // identity that the candidate expects to reach
	Candidate  string // identity of the candidate
	Epoch      uint64
	StateEpoch uint64 // version that the candidate holds
	StateSeq   uint64
	PreVote    bool // asks whether the vote would be granted; nothing is recorded
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Granted   bool
	Epoch     uint64 // newest epoch that the witness voted in or accepted
	NotMember bool   // the process has another identity than the one expected
}

// ReplicateRequest renews the leader's lease and carries the contents where the receiver lacks them.
type ReplicateRequest struct {
	Member        string // identity that the leader expects to reach
	Leader        string // identity of the leader
	LeaderAddress string
	Epoch         uint64 // epoch of the leader
	StateEpoch    uint64 // version that the leader wants the receiver to hold
	StateSeq      uint64
	SameEpoch     uint64    // an older version with the same contents; both 0 for none
	SameSeq       uint64    //
	Contents      *Contents // nil where the receiver is thought to have them
	Resign        bool      // the leader has given its lease up; nothing else counts
	CommittedSeq  uint64    // newest seq of this epoch that is committed; 0 for none
	// Lease is how long the leader counts on the grant at most, from the moment it sent the request; 0 from a version that does not tell.
	Lease time.Duration
}

// ReplicateReply answers a ReplicateRequest.
type ReplicateReply struct {
	Ok         bool   // the receiver grants the lease
	Epoch      uint64 // newest epoch that the receiver voted in or accepted
	StateEpoch uint64 // version that the receiver has synced
	StateSeq   uint64
	NotMember  bool // the process has another identity than the one expected
	// Incarnation names the process that answers, another one after each restart; 0 from a version that does not tell.
	Incarnation uint64
}
