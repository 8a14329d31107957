package failover

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// modelSteps and modelFaults have TestModel take one longer walk in place of the usual ones: it may take minutes and gigabytes.
var (
	modelSteps  = flag.Int("modelsteps", 0, "steps of time of a longer walk of the model, each a third of a lease")
	modelFaults = flag.Int("modelfaults", 2, "faults of a longer walk of the model, in any combination")
)

// modelTrace leads back from a state to the first one.
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

// modelResult is the outcome of a walk.
type modelResult struct {
	states    int
	depth     int    // actions to the farthest state
	epoch     uint64 // the newest in which a version was committed
	replaced  bool   // a process that had lost its disk became a member again
	violation string
	trace     []string
}

// exploreModel visits every state within the bounds, the nearest first, and ends at the first violation.
func exploreModel(bounds modelBounds, mutation modelMutation) modelResult {
	first := modelNode{state: initialModelState(&bounds, &mutation), trace: &modelTrace{}}
	visited := map[modelKey]struct{}{first.state.key(): {}}
	walked := modelResult{}
	for level := []modelNode{first}; len(level) > 0; walked.depth++ {
		var following []modelNode
		for position, node := range level {
			level[position] = modelNode{}
			for _, action := range node.state.actions() {
				trace := &modelTrace{action: action.name, before: node.trace}
				if action.next.violation != "" {
					walked.states, walked.violation, walked.trace = len(visited), action.next.violation, trace.actions()
					return walked
				}
				key := action.next.key()
				if _, isKnown := visited[key]; isKnown {
					continue
				}
				visited[key] = struct{}{}
				walked.epoch = max(walked.epoch, action.next.newest.version.Epoch)
				walked.replaced = walked.replaced || action.next.hasReplaced()
				following = append(following, modelNode{state: action.next, trace: trace})
			}
		}
		level = following
	}
	walked.states = len(visited)
	return walked
}

// initialModelState is the state in which the first member leads and has committed a version, or that in which all have just
// started for the first time.
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

// checkModel walks under the protocol as it is.
func checkModel(t *testing.T, bounds modelBounds) modelResult {
	begun := time.Now()
	walked := exploreModel(bounds, modelMutation{})
	must.EqOp(t, "", walked.violation, must.Sprint(walked.trace))
	t.Logf("%d states up to %d actions away, epochs up to %d, in %v", walked.states, walked.depth, walked.epoch, time.Since(begun))
	return walked
}

// boundedFaults bounds a walk by the number of all faults alone.
func boundedFaults(steps, faults int) modelBounds {
	return modelBounds{steps: steps, epochs: 3, proposals: 1, reads: 1, faults: faults, delays: faults, crashes: faults,
		clockStalls: 1, diskLosses: 1, resignations: faults, pauses: faults, cuts: faults}
}

func TestModel(t *testing.T) {
	if *modelSteps > 0 {
		checkModel(t, boundedFaults(*modelSteps, *modelFaults))
		return
	}
	fresh := boundedFaults(5, 1) // a process that joins acknowledges nothing for a lease
	fresh.beforeElection = true
	cases := []struct {
		name   string
		bounds modelBounds
	}{
		{"first election", fresh},
		{"any fault", boundedFaults(8, 1)},
		{"any two faults", boundedFaults(2, 2)},
		{"every message may be lost", modelBounds{lossy: true, steps: 3, epochs: 3, proposals: 1}},
		{"a leader whose clock stands still reads", readsUnderDrift()},
	}
	for _, walked := range cases {
		t.Run(walked.name, func(t *testing.T) {
			outcome := checkModel(t, walked.bounds)
			must.Greater(t, 1, outcome.epoch) // else no second leader was reached
			must.EqOp(t, walked.bounds.diskLosses > 0, outcome.replaced)
		})
	}
}

// readsUnderDrift has clocks stand still for longer than the margin allows, so that only the round of a read bounds it.
func readsUnderDrift() modelBounds {
	return modelBounds{drift: true, steps: 4, epochs: 2, proposals: 1, reads: 1, faults: 4, cuts: 1, clockStalls: 3}
}

// TestModelCatchesMutations shows that the walk notices a protocol that lacks one of its rules, and that it is the
// alteration which it notices.
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
		{"a witness forgets its vote", modelBounds{beforeElection: true, epochs: 1, faults: 3, delays: 1, crashes: 1, cuts: 1},
			modelMutation{beforeStart: forgetVote}},
		{"a process without its disk keeps its identity", modelBounds{steps: 3, epochs: 2, proposals: 1, faults: 2, diskLosses: 1, cuts: 1},
			modelMutation{keepIdentity: true}},
		{"a read does not wait for its round", readsUnderDrift(), modelMutation{afterStep: countOlderRounds}},
	}
	for _, altered := range cases {
		t.Run(altered.name, func(t *testing.T) {
			checkModel(t, altered.bounds)
			walked := exploreModel(altered.bounds, altered.mutation)
			must.NotEqOp(t, "", walked.violation)
			t.Logf("noticed after %d states: %s, by %q", walked.states, walked.violation, walked.trace)
		})
	}
}

// followAnyEpoch takes a heartbeat of an older epoch for one of the newest.
func followAnyEpoch(machine *machine, taken input) input {
	asked, isReplicate := taken.(replicateCall)
	if isReplicate && !asked.request.Resign {
		asked.request.Epoch = max(asked.request.Epoch, machine.record.VotedEpoch)
		return asked
	}
	return taken
}

// answerInEpochOfRequest hides from an older leader that there is a newer epoch.
func answerInEpochOfRequest(request ReplicateRequest, reply ReplicateReply) ReplicateReply {
	reply.Epoch = min(reply.Epoch, request.Epoch)
	return reply
}

// countOlderRounds has a read end by answers to any round, also to those that began before it came.
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

// forgetVote leaves the version and its contents of what was on disk.
func forgetVote(record Record) Record {
	record.VotedEpoch = record.Version.Epoch
	record.VotedFor = ""
	return record
}
