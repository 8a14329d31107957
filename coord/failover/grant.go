package failover

import "time"

// grant is the lease that a member has granted to a leader. While it runs, the member votes for no other candidate.
//
// Grants are not persisted. A member that restarts assumes that it granted a lease right before it stopped, to the
// member that its record names (Record.VotedFor). It may therefore vote for that member at once, and for others once the
// longest lease of any member (Timing.LongestLease) has passed since its start. This is safe because a valid lease that
// rests on a forgotten grant always belongs to the recorded member:
//
//  1. The record on disk names the leader of a heartbeat before the heartbeat is first acknowledged, also if the member
//     had voted for another candidate in the same epoch.
//  2. Once a leader is elected in an epoch, all leases of other members in older epochs have ended: any majority that
//     granted one shares a member with the majority that voted, and that member voted only after its grant had ended,
//     or voted for the leader that held the grant. It acknowledges no older epoch afterwards.
//  3. Accepting a heartbeat therefore voids all grants to other leaders, and the record then names the sender.
//  4. A vote for a candidate is given only if no grant to another member is running or, after a restart, could be
//     running. The record then names the candidate.
//
// A grant to the recorded member doesn't prevent a vote for it. An identity belongs to one process at a time, that
// process leads in no epoch while it campaigns, and it counts only votes that answer its current campaign. A delayed
// vote request that is older than the grant must have a newer epoch than the grant, or it is refused. It can make a
// leader step down, but it leaves the grant unchanged, so the member votes for nobody else before the grant has ended.
//
// A member whose record names itself has granted no valid lease: by the rules above it could only have granted one to
// itself before the restart, and that leadership has ended. It delays neither its campaign nor votes for others.
type grant struct {
	leader    string        // identity of the leader
	address   string        // empty if the grant is assumed after a restart
	expiresAt time.Duration // on the clock of this member
}

// assumeGrant sets the grant that may have been given before the start. A member with a new identity has given none but
// waits as well.
func (machine *machine) assumeGrant(now time.Duration, kind startKind) {
	mayHaveGranted := machine.record.VotedEpoch > 0 || machine.record.Version.Epoch > 0
	if !mayHaveGranted && kind != startJoining {
		return
	}
	if machine.record.VotedFor == machine.record.Identity {
		return
	}
	machine.grant = grant{leader: machine.record.VotedFor, expiresAt: now + machine.config.timing.LongestLease}
}
