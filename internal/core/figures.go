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

func (r *Reducer) figures() {
	r.emit(Figures{Tally: r.tally, Version: r.version, View: r.View(r.now), Open: len(r.exchanges)})
}

// routeSetTold applies a source's news. Danger: a list from a source that has lost its state, or read a part of it,
// would empty the route set, or bring back workers that have left. Such a list is asked for anew, whole and once; what is
// told then counts, since a source may really begin anew, and what it tells of drains must be kept to.
func (r *Reducer) routeSetTold(set RouteSet) {
	if why := r.doubt(set); why != "" && !r.doubted {
		r.tally.ListsDoubted++
		r.doubted, r.watching, r.version = true, true, VersionUnknown
		r.takeDrains(set)
		r.emit(Log{Text: "the route set is kept and asked for anew: " + why})
		r.emit(Watch{On: true, Source: r.source, Since: r.version})
		return
	}
	if other, is := r.contest(set); is && r.takeOut(set, other) {
		r.doubted = false
		return
	}
	if set.Version < r.acted {
		r.audited.Begun++ // by rule a source that truly goes back has begun anew, and is newer than all that it told before
		// Danger: peers go on telling drains under its old numbers, which look newer than all that it tells for a while.
		clear(r.hints)
		r.recent, r.deafUntil = nil, r.now+hintMost
	}
	r.doubted = false
	form := choice.ListChanges
	if set.Full {
		form = choice.ListAll
	}
	r.applyRouteSet(set, form)
}

// doubt names what is odd about a source's news; empty for nothing.
func (r *Reducer) doubt(set RouteSet) string {
	switch {
	case set.Version < r.acted:
		return fmt.Sprintf("version %d was told after version %d", set.Version, r.acted)
	case set.Full && len(set.Workers) == 0 && len(r.workers) > 0:
		return fmt.Sprintf("an empty list was told where %d workers are held", len(r.workers))
	}
	return ""
}

// takeDrains keeps to the drains of a list that is not believed otherwise. Danger: they count as told, and the list that is asked for in its
// place may come late.
func (r *Reducer) takeDrains(set RouteSet) {
	var list []choice.Worker
	for _, x := range set.Workers {
		if h, listed := r.workers[x.ID]; listed && r.usable(h) && x.State != WorkerActive {
			r.hints[h.ID] = hint{version: set.Version, at: r.now, own: true}
			r.emit(DropWorker{Addr: h.Addr})
			list = append(list, r.worker(h))
		}
	}
	if len(list) > 0 {
		r.decider.List(r.now, choice.ListChanges, list)
	}
}
