package failover

import "slices"

// A membership change runs in these steps, so that the group never tolerates fewer failures than before the change:
//
//  1. An added voter starts as a learner: the leader sends it the contents, and it syncs them, but it isn't counted in any
//     majority.
//  2. When it has synced them, the joint version is written. Its contents list the old and the new voters. As soon as a
//     member holds it, elections, leases and commits need a majority of the old list and one of the new list.
//  3. When the joint version is committed and all added voters have synced it, a leader that is in the new list writes a
//     version with the new list alone. Every majority that could elect a leader with an older version includes a member
//     that holds a newer one.
//
// A leader that inherits a joint version continues with step 3. If the added voter is lost in the meantime, the change is
// replaced by another one: the old list stays, and the joint version gets another new list. A new list that equals the
// old one ends the change.

// memberChange adds one voter, removes one, or replaces one by another.
type memberChange struct {
	add      *Member // nil for none
	removeID string  // identity; empty for none
}

// apply returns the new list, or the list passed in if there is nothing to change. Errors are InvalidMembersError.
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

// isMajority reports whether holds returns true for more than half of the members.
func isMajority(members []Member, holds func(identity string) bool) bool {
	count := 0
	for _, member := range members {
		if holds(member.ID) {
			count++
		}
	}
	return count > len(members)/2
}

// isJoint reports whether a membership change is in progress.
func (contents Contents) isJoint() bool { return len(contents.OldMembers) > 0 }

// isQuorum reports whether holds returns true for a majority of the voters and, in a joint version, also for a majority of
// the old voters.
func (contents Contents) isQuorum(holds func(identity string) bool) bool {
	if !isMajority(contents.Members, holds) {
		return false
	}
	return !contents.isJoint() || isMajority(contents.OldMembers, holds)
}

// voters returns the voters of both lists without duplicates.
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

// withMembers returns the contents of the next step towards a new list: joint contents, or contents with the list alone
// if it equals the list before the change.
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

// addedMembers returns the voters of joint contents that are not in the old list.
func (contents Contents) addedMembers() []Member {
	isOld := func(member Member) bool { return hasMember(contents.OldMembers, member.ID) }
	return slices.DeleteFunc(slices.Clone(contents.Members), isOld)
}
