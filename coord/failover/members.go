package failover

import "slices"

// memberChange adds one voter or removes one.
type memberChange struct {
	add      *Member
	removeID string
}

// apply returns the new list. It is the old one where nothing is to be changed.
func (change memberChange) apply(members []Member) ([]Member, error) {
	if change.add != nil {
		return addMember(members, *change.add)
	}
	return removeMember(members, change.removeID)
}

func addMember(members []Member, member Member) ([]Member, error) {
	if member.ID == "" || member.Address == "" {
		return nil, InvalidMembers{Reason: "a member needs an identity and an address"}
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
		return nil, InvalidMembers{Reason: "the last member can't be removed; add another one first"}
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
