package core

import (
	"fmt"

	"foldlb.example/foldlb/choice"
)

// Tally counts the reducer's work since its process started. A successor starts at 0.
type Tally struct {
	Calls         uint64 // requests accepted
	Branches      uint64 // sent, or passed to the worker connections to be sent
	Moves         uint64 // cancelled by the decision module in order to try another worker
	RefusedAtOnce uint64 // busy answers before any attempt
	RefusedTried  uint64 // busy answers after attempts that did not run or may be repeated
	Failed        uint64 // requests answered as failed, including at their deadline
	ListsDoubted  uint64 // implausible lists that were requested again before being applied
}

// FiguresAsked requests the tally; the answer is Figures.
type FiguresAsked struct{}

func (FiguresAsked) event() {}

// Figures is the current tally with related values.
type Figures struct {
	Tally   Tally
	Version int64 // of the route set
	View    View
	Open    int // number of unanswered requests
}

func (Figures) effect() {}

func (r *Reducer) emitFigures() {
	r.emit(Figures{Tally: r.tally, Version: r.routeSetVersion, View: r.View(r.now), Open: len(r.exchanges)})
}

// routeSetTold applies an update from the source. A source that has lost its state, or has read only a part of it, may
// send a list that empties the route set or brings back workers that have left. Such a list is not applied but requested
// again, once, in full. The next one is applied even if it looks the same, since a source may really have started over,
// and the drains that it reports must be honoured.
func (r *Reducer) routeSetTold(set RouteSet) {
	if reason := r.doubtReason(set); reason != "" && !r.recheckPending {
		r.tally.ListsDoubted++
		r.recheckPending, r.watching, r.routeSetVersion = true, true, VersionUnknown
		r.applyDoubtedDrains(set)
		r.emit(Log{Text: "the route set is kept and asked for anew: " + reason})
		r.emit(Watch{On: true, Source: r.source, Since: r.routeSetVersion})
		return
	}
	if other, conflict := r.conflictingHolder(set); conflict && r.applyRemovals(set, other) {
		r.recheckPending = false
		return
	}
	if set.Version < r.newestHeldVersion {
		r.heldVersions.Begun++ // by convention, a source that goes back has started over and is newer than everything before
		// Peers keep sending hints under the source's earlier, higher versions, which would look newer than its own
		// list for a while.
		clear(r.hints)
		r.recentDrains, r.hintsIgnoredUntil = nil, r.now+hintLifetimeS
	}
	r.recheckPending = false
	form := choice.ListChanges
	if set.Full {
		form = choice.ListAll
	}
	r.applyRouteSet(set, form)
}

// doubtReason returns why an update from the source is implausible; empty if it is not.
func (r *Reducer) doubtReason(update RouteSet) string {
	switch {
	case update.Version < r.newestHeldVersion:
		return fmt.Sprintf("version %d was told after version %d", update.Version, r.newestHeldVersion)
	case update.Full && len(update.Workers) == 0 && len(r.workers) > 0:
		return fmt.Sprintf("an empty list was told where %d workers are held", len(r.workers))
	}
	return ""
}

// applyDoubtedDrains applies the drains of a list that is otherwise not applied. A drain must be honoured from the moment
// it is received, and the list that is requested instead may come late.
func (r *Reducer) applyDoubtedDrains(set RouteSet) {
	var list []choice.Worker
	for _, update := range set.Workers {
		if worker, listed := r.workers[update.ID]; listed && r.usable(worker) && update.State != WorkerActive {
			r.hints[worker.ID] = hint{routeSetVersion: set.Version, receivedAt: r.now, fromDiscovery: true}
			r.emit(DropWorker{Addr: worker.Addr})
			list = append(list, r.deciderWorker(worker))
		}
	}
	if len(list) > 0 {
		r.decider.List(r.now, choice.ListChanges, list)
	}
}
