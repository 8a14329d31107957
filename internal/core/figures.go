package core

import (
	"fmt"

	"foldlb.example/foldlb/choice"
)

// Tally counts what the reducer did since its process began. A successor begins at 0.
type Tally struct {
	Calls         uint64 // requests taken
	Branches      uint64 // sent, or given to the workers' connections to send
	Moves         uint64 // called off by the decision module, to be tried elsewhere
	RefusedAtOnce uint64 // busy answers before any attempt
	RefusedTried  uint64 // busy answers after attempts that did not run, or may be repeated
	Failed        uint64 // failures told, those at a deadline too
	ListsDoubted  uint64 // answers of the source that were asked for again before they were believed
}

// FiguresAsked asks for the tally, which comes as Figures.
type FiguresAsked struct{}

func (FiguresAsked) event() {}

// Figures is the tally as of now, with what it is read beside.
type Figures struct {
	Tally   Tally
	Version int64 // of the route set
	View    View
	Open    int // requests that are not answered yet
}

func (Figures) effect() {}

func (r *Reducer) emitFigures() {
	r.emit(Figures{Tally: r.tally, Version: r.routeSetVersion, View: r.View(r.now), Open: len(r.exchanges)})
}

// routeSetTold applies a source's news. Danger: a list from a source that has lost its state, or read a part of it,
// would empty the route set, or bring back workers that have left. Such a list is asked for anew, whole and once; what is
// told then counts, since a source may really begin anew, and what it tells of drains must be kept to.
func (r *Reducer) routeSetTold(set RouteSet) {
	if reason := r.doubtReason(set); reason != "" && !r.recheckPending {
		r.tally.ListsDoubted++
		r.recheckPending, r.watching, r.routeSetVersion = true, true, VersionUnknown
		r.applyDoubtedDrains(set)
		r.emit(Log{Text: "the route set is kept and asked for anew: " + reason})
		r.emit(Watch{On: true, Source: r.source, Since: r.routeSetVersion})
		return
	}
	if other, is := r.conflictingHolder(set); is && r.applyRemovals(set, other) {
		r.recheckPending = false
		return
	}
	if set.Version < r.newestHeldVersion {
		r.heldVersions.Begun++ // by rule a source that truly goes back has begun anew, and is newer than all that it told before
		// Danger: peers go on telling drains under its old numbers, which look newer than all that it tells for a while.
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

// doubt names what is odd about a source's news; empty for nothing.
func (r *Reducer) doubtReason(set RouteSet) string {
	switch {
	case set.Version < r.newestHeldVersion:
		return fmt.Sprintf("version %d was told after version %d", set.Version, r.newestHeldVersion)
	case set.Full && len(set.Workers) == 0 && len(r.workers) > 0:
		return fmt.Sprintf("an empty list was told where %d workers are held", len(r.workers))
	}
	return ""
}

// applyDoubtedDrains keeps to the drains of a list that is not believed otherwise. Danger: they count as told, and the list that is asked for in its
// place may come late.
func (r *Reducer) applyDoubtedDrains(set RouteSet) {
	var list []choice.Worker
	for _, x := range set.Workers {
		if h, listed := r.workers[x.ID]; listed && r.usable(h) && x.State != WorkerActive {
			r.hints[h.ID] = hint{version: set.Version, receivedAt: r.now, fromDiscovery: true}
			r.emit(DropWorker{Addr: h.Addr})
			list = append(list, r.deciderWorker(h))
		}
	}
	if len(list) > 0 {
		r.decider.List(r.now, choice.ListChanges, list)
	}
}
