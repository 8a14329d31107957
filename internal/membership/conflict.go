package membership

import (
	"cmp"
	"slices"
)

// VersionConflict reports a version number that members hold with two different contents: the number was published twice, or two sources
// have the same name.
type VersionConflict struct {
	Kind   Kind
	No     int64
	Source string
	A, B   Key // two members whose contents differ
}

// maxConflicts bounds the conflicts that are reported.
const maxConflicts = 16

// findConflicts returns the version numbers that members hold with two different contents, ordered by kind, source and number, maxConflicts at
// most. It includes unreachable members, since they have already applied their version.
func (v *View) findConflicts() (conflicts []VersionConflict) {
	type number struct {
		kind   Kind
		no     int64
		source string
	}
	type holder struct {
		digest   uint64
		key      Key
		reported bool
	}
	seen := make(map[number]*holder, 2*len(v.members))
	for _, k := range v.memberKeys() {
		r := v.members[k].Record
		for kind, x := range [...]Version{KindConfig: r.Config, KindRoutes: r.Routes} {
			if x.No <= 0 {
				continue // the member has no version of this kind
			}
			at := number{Kind(kind), x.No, x.Source}
			h := seen[at]
			if h == nil {
				seen[at] = &holder{digest: x.Digest, key: k}
			} else if h.digest != x.Digest && !h.reported {
				h.reported = true
				conflicts = append(conflicts, VersionConflict{at.kind, at.no, at.source, h.key, k})
			}
		}
	}
	slices.SortFunc(conflicts, func(a, b VersionConflict) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Source, b.Source), cmp.Compare(a.No, b.No))
	})
	return conflicts[:min(len(conflicts), maxConflicts)]
}

// ConflictingMember returns another member that holds the same version number of the same source with a different digest, or false if there is none.
func (v *View) ConflictingMember(kind Kind, x Version) (Key, bool) {
	for _, k := range v.memberKeys() {
		if r := v.members[k].Record; k != v.self {
			if its := r.version(kind); its.Source == x.Source && its.No == x.No && its.Digest != x.Digest {
				return k, true
			}
		}
	}
	return Key{}, false
}

// version returns the version of the given kind that the member applies.
func (r Record) version(kind Kind) Version {
	switch kind {
	case KindConfig:
		return r.Config
	case KindRoutes:
		return r.Routes
	}
	return r.Program
}
