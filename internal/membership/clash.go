package membership

import (
	"cmp"
	"slices"
)

// Clash is one number with two contents: whoever published it did so twice, or two sources go by one name.
type VersionConflict struct {
	Kind   Kind
	No     int64
	Source string
	A, B   Key // members that hold it with two contents
}

// mostClashes bounds what is told of; more say nothing new.
const mostClashes = 16

// findClashes finds the numbers that members of the view hold with two contents, also members that are out of reach: what they acted on counts.
// The lowest of them come first.
func (v *View) findClashes() (all []VersionConflict) {
	type number struct {
		kind   Kind
		no     int64
		source string
	}
	type holder struct {
		digest uint64
		key    Key
		told   bool
	}
	seen := make(map[number]*holder, 2*len(v.table))
	for _, k := range v.keys() {
		r := v.table[k].Record
		for kind, x := range [...]Version{KindConfig: r.Config, KindRoutes: r.Routes} {
			if x.No <= 0 {
				continue // none is stated, or no list is held
			}
			at := number{Kind(kind), x.No, x.Source}
			h := seen[at]
			if h == nil {
				seen[at] = &holder{digest: x.Digest, key: k}
			} else if h.digest != x.Digest && !h.told {
				h.told = true
				all = append(all, VersionConflict{at.kind, at.no, at.source, h.key, k})
			}
		}
	}
	slices.SortFunc(all, func(a, b VersionConflict) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Source, b.Source), cmp.Compare(a.No, b.No))
	})
	return all[:min(len(all), mostClashes)]
}

// Other names a member, not this one, that holds a number with another content than this; false where nobody does.
func (v *View) ConflictingMember(kind Kind, x Version) (Key, bool) {
	for _, k := range v.keys() {
		if r := v.table[k].Record; k != v.self {
			if its := r.version(kind); its.Source == x.Source && its.No == x.No && its.Digest != x.Digest {
				return k, true
			}
		}
	}
	return Key{}, false
}

// version is what a member acts on, of a kind.
func (r Record) version(kind Kind) Version {
	switch kind {
	case KindConfig:
		return r.Config
	case KindRoutes:
		return r.Routes
	}
	return r.Program
}
