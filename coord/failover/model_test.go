package failover

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// modelSteps and modelFaults make TestModel run one longer exploration instead of the usual ones, which may take minutes and
// gigabytes of memory.
var (
	modelSteps  = flag.Int("modelsteps", 0, "time steps of a longer model exploration, each a third of a lease")
	modelFaults = flag.Int("modelfaults", 2, "faults of a longer model exploration, in any combination")
)

// modelTrace is the path from the initial state to a state.
type modelTrace struct {
	action string
	before *modelTrace
}

func (trace *modelTrace) actions() []string {
	var actions []string
	for ; trace != nil && trace.before != nil; trace = trace.before {
		actions = append(actions, trace.action)
	}
	slices.Reverse(actions)
	return actions
}

type modelNode struct {
	state *modelState
	trace *modelTrace
}

// modelResult is the result of an exploration.
type modelResult struct {
	states    int
	depth     int    // number of actions to the farthest state
	epoch     uint64 // newest epoch in which a version was committed
	replaced  bool   // a process that had lost its disk became a member again
	violation string
	trace     []string
}

// exploreModel visits every reachable state within the bounds, breadth first, and stops at the first violation.
func exploreModel(bounds modelBounds, mutation modelMutation) modelResult {
	first := modelNode{state: initialModelState(&bounds, &mutation), trace: &modelTrace{}}
	visited := map[modelKey]struct{}{first.state.key(): {}}
	result := modelResult{}
	for level := []modelNode{first}; len(level) > 0; result.depth++ {
		var following []modelNode
		for position, node := range level {
			level[position] = modelNode{}
			for _, action := range node.state.actions() {
				trace := &modelTrace{action: action.name, before: node.trace}
				if action.next.violation != "" {
					result.states, result.violation, result.trace = len(visited), action.next.violation, trace.actions()
					return result
				}
				key := action.next.key()
				if _, isKnown := visited[key]; isKnown {
					continue
				}
				visited[key] = struct{}{}
				result.epoch = max(result.epoch, action.next.newest.version.Epoch)
				result.replaced = result.replaced || action.next.hasReplaced()
				following = append(following, modelNode{state: action.next, trace: trace})
			}
		}
		level = following
	}
	result.states = len(visited)
	return result
}

// initialModelState returns the state in which the first member leads and has committed a version, or, if bounds demand it,
// the state right after the first start of all members.
func initialModelState(bounds *modelBounds, mutation *modelMutation) *modelState {
	state := newModelState(bounds, mutation)
	if bounds.beforeElection {
		return state
	}
	state.step(0, tick{})
	for len(state.queue) > 0 {
		message := state.queue[0]
		state.queue = state.queue[1:]
		state.deliver(message, state.step)
	}
	return state
}

// checkModel explores the unmodified protocol and fails the test on a violation.
func checkModel(t *testing.T, bounds modelBounds) modelResult {
	begun := time.Now()
	result := exploreModel(bounds, modelMutation{})
	must.EqOp(t, "", result.violation, must.Sprint(result.trace))
	t.Logf("%d states up to %d actions away, epochs up to %d, in %v", result.states, result.depth, result.epoch, time.Since(begun))
	return result
}

// boundedFaults bounds an exploration by the total number of faults, of any kind.
func boundedFaults(steps, faults int) modelBounds {
	return modelBounds{steps: steps, epochs: 3, proposals: 1, reads: 1, faults: faults, delays: faults, crashes: faults,
		clockStalls: 1, diskLosses: 1, resignations: faults, pauses: faults, cuts: faults}
}

func TestModel(t *testing.T) {
	if *modelSteps > 0 {
		checkModel(t, boundedFaults(*modelSteps, *modelFaults))
		return
	}
	initial := boundedFaults(5, 1) // a joining process acknowledges nothing for the length of a lease
	initial.beforeElection = true
	cases := []struct {
		name   string
		bounds modelBounds
	}{
		{"first election", initial},
		{"any fault", boundedFaults(8, 1)},
		{"any two faults", boundedFaults(2, 2)},
		{"every message may be lost", modelBounds{lossy: true, steps: 3, epochs: 3, proposals: 1}},
		{"a leader with a stalled clock reads", readsUnderDrift()},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			outcome := checkModel(t, testCase.bounds)
			must.Greater(t, 1, outcome.epoch) // otherwise no second leader was reached
			must.EqOp(t, testCase.bounds.diskLosses > 0, outcome.replaced)
		})
	}
}

// readsUnderDrift lets clocks stall for longer than the margin allows, so that only heartbeat rounds protect reads.
func readsUnderDrift() modelBounds {
	return modelBounds{drift: true, steps: 4, epochs: 2, proposals: 1, reads: 1, faults: 4, cuts: 1, clockStalls: 3}
}

// TestModelCatchesMutations checks that the exploration detects a protocol that lacks one of its rules, and finds no violation
// in the unmodified protocol within the same bounds.
func TestModelCatchesMutations(t *testing.T) {
	cases := []struct {
		name     string
		bounds   modelBounds
		mutation modelMutation
	}{
		{"an older epoch is followed", modelBounds{steps: 4, epochs: 3, faults: 3, delays: 1, resignations: 1, cuts: 1},
			modelMutation{beforeStep: followAnyEpoch, afterAnswer: answerInEpochOfRequest}},
		{"the lease is not shortened by the margin", modelBounds{steps: 3, epochs: 2, faults: 2, clockStalls: 1, cuts: 1},
			modelMutation{afterStart: func(machine *machine) { machine.config.timing.Margin = 0 }}},
		{"a voter forgets its vote", modelBounds{beforeElection: true, epochs: 1, faults: 3, delays: 1, crashes: 1, cuts: 1},
			modelMutation{beforeStart: forgetVote}},
		{"a process without its disk keeps its identity", modelBounds{steps: 3, epochs: 2, proposals: 1, faults: 2, diskLosses: 1, cuts: 1},
			modelMutation{keepIdentity: true}},
		{"a read does not wait for its round", readsUnderDrift(), modelMutation{afterStep: countOlderRounds}},
	}
	for _, altered := range cases {
		t.Run(altered.name, func(t *testing.T) {
			checkModel(t, altered.bounds)
			result := exploreModel(altered.bounds, altered.mutation)
			must.NotEqOp(t, "", result.violation)
			t.Logf("detected after %d states: %s, by %q", result.states, result.violation, result.trace)
		})
	}
}

// followAnyEpoch treats a heartbeat of an older epoch as one of the newest epoch.
func followAnyEpoch(machine *machine, event input) input {
	asked, isReplicate := event.(replicateCall)
	if isReplicate && !asked.request.Resign {
		asked.request.Epoch = max(asked.request.Epoch, machine.record.VotedEpoch)
		return asked
	}
	return event
}

// answerInEpochOfRequest hides newer epochs from an older leader.
func answerInEpochOfRequest(request ReplicateRequest, reply ReplicateReply) ReplicateReply {
	reply.Epoch = min(reply.Epoch, request.Epoch)
	return reply
}

// countOlderRounds lets answers to any round complete a read, including rounds that started before it.
func countOlderRounds(machine *machine) {
	lead := machine.leadership
	if lead == nil || len(lead.reads) == 0 {
		return
	}
	for position := range lead.reads {
		lead.reads[position].round = 1
	}
	machine.finishReads(0)
}

// forgetVote removes the vote from the record, but keeps the version and its contents.
func forgetVote(record Record) Record {
	record.VotedEpoch = record.Version.Epoch
	record.VotedFor = ""
	return record
}
