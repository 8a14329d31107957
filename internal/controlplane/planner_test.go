package controlplane

import (
	"testing"

	"github.com/shoenig/test/must"
)

// The planner looks at the moment when a lease is certainly over, since its partitions have no other way to an owner that runs.
func TestPlannerLooksWhenALeaseIsOver(t *testing.T) {
	w := newSettleWorld(t)
	for _, request := range w.requests {
		must.True(t, w.term.renewStore(w.state, request, w.now).granted)
	}
	const before = planPeriod / 5
	must.Eq(t, planPeriod, w.term.untilNextPlan(w.now))
	must.Eq(t, before, w.term.untilNextPlan(w.now.Add(leaseDuration-before)))
	over := w.now.Add(leaseDuration + leaseMargin)
	must.Eq(t, before, w.term.untilNextPlan(over.Add(-before)))
	must.True(t, w.term.renewStore(w.state, w.requests[1], over.Add(-before)).granted)
	next, _, err := w.term.plan(w.state, modelCopies, over)
	must.NoError(t, err)
	for _, ownership := range next.partitions {
		must.Eq(t, "store-1", ownership.Node)
	}
	must.Eq(t, planPeriod, w.term.untilNextPlan(over))
}
