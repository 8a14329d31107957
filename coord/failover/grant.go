package failover

import "time"

// grant is the lease that a member has given to a leader. Until it ends, the member votes for nobody else.
//
// The grants themselves are not written to disk. A member that restarts assumes that it gave one right before it
// stopped, to the member that its record names (Record.VotedFor). It may therefore vote at once for that member, and
// for others one lease after its start, the longest that any member uses (Timing.LongestLease). This is safe because a lease that is valid and rests on a forgotten grant
// belongs to the recorded member:
//
//  1. The record names the leader of a heartbeat, on disk, before the first acknowledgement to that leader; also
//     where the member had voted for another candidate in the same epoch.
//  2. Once a leader is elected in an epoch, the leases of all other members in older epochs are over: any majority
//     that granted one shares a member with the majority that voted, and that member voted only after its grant had
//     ended, or for the leader that had it. It acknowledges no older epoch afterwards.
//  3. So a heartbeat that is accepted voids all grants to other leaders. The record then names its sender.
//  4. A vote for a candidate is given only where no grant to another member runs, or, after a restart, can run. The
//     record then names the candidate.
//
// A grant to the recorded member does not hinder a vote for it. An identity belongs to one process at a time, and that
// process leads in no epoch while it campaigns; it counts only votes that answer its present campaign. A vote request
// that was held up, and is older than the grant, has an epoch that is newer than that of the grant, else it is
// refused. It can make a leader step down, but it leaves the grant as it is, so that no other member is voted for
// before the grant has ended.
//
// A member whose own record names itself has granted no lease that is valid: by the above it could only be to its own
// earlier life, which is over. It neither waits with its campaign nor with votes for others.
type grant struct {
	leader    string
	address   string // empty where the grant is assumed
	expiresAt time.Duration
}

// assumeGrant stands for the grants that were given before the start. An identity that is new has given none, but
// waits as well.
func (machine *machine) assumeGrant(now time.Duration, kind startKind) {
	hasPromised := machine.record.VotedEpoch > 0 || machine.record.Version.Epoch > 0
	if !hasPromised && kind != startJoining {
		return
	}
	if machine.record.VotedFor == machine.record.Identity {
		return
	}
	machine.grant = grant{leader: machine.record.VotedFor, expiresAt: now + machine.config.timing.LongestLease}
}
