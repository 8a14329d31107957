package failover

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
)

// checker watches what is committed and what proposers are told. The state is a list of names of proposals, each
// followed by a comma.
type checker struct {
	violation     string // the first one
	newest        committed
	drifts        bool    // clocks drift by more than the margin, so that a former leader may commit late what is in force
	jointSince    Version // where the newest contents are joint: the first version with these lists
	byVersion     map[Version]string
	refused       []string // promised never to come into force
	names         map[uint64]string
	succeeded     []string
	memberChanges int // lists of voters that were committed
	unknown       int
}

func (checker *checker) init() {
	checker.byVersion = make(map[Version]string)
	checker.names = make(map[uint64]string)
}

func (checker *checker) violate(format string, details ...any) {
	if checker.violation == "" {
		checker.violation = fmt.Sprintf(format, details...)
	}
}

// commit checks that a version has one state only, and that a new one continues the newest one before it.
func (checker *checker) commit(seen committed) {
	state := string(seen.contents.State)
	known, isKnown := checker.byVersion[seen.version]
	if isKnown {
		if known != state {
			checker.violate("version %v has two states", seen.version)
		}
		return
	}
	checker.byVersion[seen.version] = state
	if checker.drifts && seen.version.Less(checker.newest.version) {
		if !bytes.HasPrefix(checker.newest.contents.State, seen.contents.State) {
			checker.violate("%v was committed and is not in %v", seen.version, checker.newest.version)
		}
		return
	}
	switch {
	case !checker.newest.version.Less(seen.version):
		checker.violate("%v was committed after %v", seen.version, checker.newest.version)
	case seen.version.Seq <= checker.newest.version.Seq:
		checker.violate("seq went back from %v to %v", checker.newest.version, seen.version)
	case !bytes.HasPrefix(seen.contents.State, checker.newest.contents.State):
		checker.violate("%v lost what %v had", seen.version, checker.newest.version)
	}
	if !slices.Equal(seen.contents.Members, checker.newest.contents.Members) {
		checker.memberChanges++
		checker.jointSince = seen.version
	}
	checker.newest = seen
}

func (checker *checker) endProposal(done proposalDone) {
	name, isKnown := checker.names[done.proposal]
	if !isKnown {
		return
	}
	delete(checker.names, done.proposal)
	switch done.err.(type) {
	case nil:
		checker.succeeded = append(checker.succeeded, name)
		if !checker.holds(name) {
			checker.violate("%s was acknowledged and is not in force", name)
		}
	case OutcomeUnknownError:
		checker.unknown++
	default:
		checker.refused = append(checker.refused, name)
	}
}

func (checker *checker) holds(name string) bool {
	return strings.Contains(string(checker.newest.contents.State), ","+name+",")
}

// checkEnd checks every proposal against the last state.
func (checker *checker) checkEnd() {
	names := strings.Split(string(checker.newest.contents.State), ",")
	slices.Sort(names)
	for _, name := range checker.succeeded {
		if _, isFound := slices.BinarySearch(names, name); !isFound {
			checker.violate("%s was acknowledged and is lost", name)
		}
	}
	for _, name := range checker.refused {
		if _, isFound := slices.BinarySearch(names, name); isFound {
			checker.violate("%s was refused and is in force", name)
		}
	}
}
