package failover

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
)

// checker checks the committed versions and the outcomes of proposals. The state is a list of proposal names, each
// followed by a comma.
type checker struct {
	violation     string // first violation
	newest        committed
	allowsDrift   bool    // clocks drift by more than the margin, so a former leader may commit a version that its successor already holds
	jointSince    Version // first version with the newest lists, while the newest contents are joint
	byVersion     map[Version]string
	refused       []string // proposals that were reported not to take effect
	names         map[uint64]string
	succeeded     []string
	memberChanges int // number of committed lists of voters
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

// commit checks that a version has only one state, and that a new version extends the newest one before it.
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
	if checker.allowsDrift && seen.version.Less(checker.newest.version) {
		if !bytes.HasPrefix(checker.newest.contents.State, seen.contents.State) {
			checker.violate("%v was committed but is not part of %v", seen.version, checker.newest.version)
		}
		return
	}
	switch {
	case !checker.newest.version.Less(seen.version):
		checker.violate("%v was committed after %v", seen.version, checker.newest.version)
	case seen.version.Seq <= checker.newest.version.Seq:
		checker.violate("seq decreased from %v to %v", checker.newest.version, seen.version)
	case !bytes.HasPrefix(seen.contents.State, checker.newest.contents.State):
		checker.violate("%v lacks state of %v", seen.version, checker.newest.version)
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
		if !checker.isInForce(name) {
			checker.violate("%s was acknowledged but is not in the state", name)
		}
	case OutcomeUnknownError:
		checker.unknown++
	default:
		checker.refused = append(checker.refused, name)
	}
}

func (checker *checker) isInForce(name string) bool {
	return strings.Contains(string(checker.newest.contents.State), ","+name+",")
}

// checkEnd checks every completed proposal against the final state.
func (checker *checker) checkEnd() {
	names := strings.Split(string(checker.newest.contents.State), ",")
	slices.Sort(names)
	for _, name := range checker.succeeded {
		if _, isFound := slices.BinarySearch(names, name); !isFound {
			checker.violate("%s was acknowledged but lost", name)
		}
	}
	for _, name := range checker.refused {
		if _, isFound := slices.BinarySearch(names, name); isFound {
			checker.violate("%s was refused but is in the state", name)
		}
	}
}
