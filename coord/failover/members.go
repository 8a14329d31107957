package failover

import "slices"

// A change of voters is carried out in these steps, so that at no moment fewer losses are borne than before it:
//
//  1. A voter that is added is a learner first: the leader sends it the contents, and it syncs them, but it counts
//     for nothing.
//  2. Once it has, the joint version is written: its contents name the old voters and the new ones. Elections, leases
//     and commits need a majority of the old list and one of the new list from the moment a member holds it.
//  3. Once the joint version is committed and those that were added have synced it, a version with the new list alone
//     is written, by a leader that the new list names. Every majority that could elect a leader by an older version
//     needs a member that holds a newer one.
//
// A leader that inherits a joint version goes on with step 3. A change whose added voter is lost in the meantime is
// replaced by another one: the old list stays, and the joint version names another new list. A new list that equals the
// old one ends the change.

// memberChange adds one voter, removes one, or exchanges one for another.
type memberChange struct {
	add      *Member // nil for none
	removeID string  // identity; empty for none
}

// apply returns the new list. It is the old one where nothing is to be changed.
func (change memberChange) apply(members []Member) ([]Member, error) {
	changed := members
	if change.add != nil {
		added, err := addMember(members, *change.add)
		if err != nil {
			return nil, err
		}
		changed = added
	}
	if change.removeID != "" {
		return removeMember(changed, change.removeID)
	}
	return changed, nil
}

func addMember(members []Member, member Member) ([]Member, error) {
	if member.ID == "" || member.Address == "" {
		return nil, InvalidMembersError{Reason: "a member needs an identity and an address"}
	}
	if hasMember(members, member.ID) {
		return members, nil
	}
	return append(slices.Clone(members), member), nil
}

func removeMember(members []Member, identity string) ([]Member, error) {
	if !hasMember(members, identity) {
		return members, nil
	}
	if len(members) == 1 {
		return nil, InvalidMembersError{Reason: "the last member can't be removed; add another one first"}
	}
	isRemoved := func(member Member) bool { return member.ID == identity }
	return slices.DeleteFunc(slices.Clone(members), isRemoved), nil
}

func hasMember(members []Member, identity string) bool {
	return slices.ContainsFunc(members, func(member Member) bool { return member.ID == identity })
}

// isMajority reports whether holds is true of more than half of the members.
func isMajority(members []Member, holds func(identity string) bool) bool {
	count := 0
	for _, member := range members {
		if holds(member.ID) {
			count++
		}
	}
	return count > len(members)/2
}

// isJoint reports whether voters are being changed.
func (contents Contents) isJoint() bool { return len(contents.OldMembers) > 0 }

// isQuorum reports whether holds is true of a majority of the voters, and of the old ones while they are changed.
func (contents Contents) isQuorum(holds func(identity string) bool) bool {
	if !isMajority(contents.Members, holds) {
		return false
	}
	return !contents.isJoint() || isMajority(contents.OldMembers, holds)
}

// voters lists the voters of both lists.
func (contents Contents) voters() []Member {
	if !contents.isJoint() {
		return contents.Members
	}
	voters := slices.Clone(contents.Members)
	for _, member := range contents.OldMembers {
		if !hasMember(voters, member.ID) {
			voters = append(voters, member)
		}
	}
	return voters
}

// hasVoter reports whether an identity is in one of the lists.
func (contents Contents) hasVoter(identity string) bool {
	return hasMember(contents.Members, identity) || hasMember(contents.OldMembers, identity)
}

// withMembers returns the contents that lead to a new list: joint ones, or those with the list alone where that is the
// one before the change.
func (contents Contents) withMembers(members []Member) Contents {
	before := contents.Members
	if contents.isJoint() {
		before = contents.OldMembers
	}
	contents.Members, contents.OldMembers = members, before
	if slices.Equal(members, before) {
		contents.OldMembers = nil
	}
	return contents
}

// added lists the voters that joint contents add.
func (contents Contents) added() []Member {
	isOld := func(member Member) bool { return hasMember(contents.OldMembers, member.ID) }
	return slices.DeleteFunc(slices.Clone(contents.Members), isOld)
}
