package core

import (
	"maps"
	"slices"

	"foldlb.example/foldlb/choice"
)

// What the reducer takes from discovery and from a reload.

var workerStates = map[WorkerState]choice.State{WorkerActive: choice.InService, WorkerLeaving: choice.Terminating,
	WorkerLeft: choice.Terminated}

// applyRouteSet takes discovery's news before any later branch is sent.
func (r *Reducer) applyRouteSet(set RouteSet, form choice.ListForm) {
	r.routeSetVersion = set.Version
	before := maps.Clone(r.workers)
	if set.Full {
		r.workers = make(map[WorkerID]Worker, len(set.Workers))
	}
	list := make([]choice.Worker, 0, len(set.Workers))
	for _, h := range set.Workers {
		r.workers[h.ID] = h
	}
	restored := r.dropAnsweredHints(set.Version) // discovery's own word
	for _, h := range set.Workers {
		list = append(list, r.deciderWorker(h))
	}
	if !set.Full {
		for _, h := range restored {
			list = append(list, r.deciderWorker(h))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		h := before[id]
		now, listed := r.workers[id]
		if h.State == WorkerActive && (!listed || now.State != WorkerActive || now.Addr != h.Addr) {
			r.emit(DropWorker{Addr: h.Addr})
		}
	}
	for id, h := range r.workers {
		if h.State == WorkerLeft {
			delete(r.workers, id)
		}
	}
	maps.DeleteFunc(r.restoredAt, func(id WorkerID, _ float64) bool {
		_, listed := r.workers[id]
		return !listed
	})
	r.decider.List(r.now, form, list)
	r.newestHeldVersion, r.digestValid, r.contestedVersion = r.routeSetVersion, false, 0
	r.recordHeldVersions()
	if form != choice.ListRemembered {
		r.announceDrains(before)
	}
}

// reloaded applies a configuration read again. A new source is asked for its whole list at once; its version
// numbers have nothing to do with the old one's.
func (r *Reducer) reloaded(ev Reloaded) {
	r.emit(SetLimits{Limits: ev.Limits})
	if ev.Discovery == r.source.Addr {
		return
	}
	r.source = Source{Addr: ev.Discovery, No: r.source.No + 1}
	r.routeSetVersion, r.newestHeldVersion, r.watching, r.recheckPending = VersionUnknown, VersionUnknown, true, false
	r.recentDrains, r.contestedVersion = nil, 0
	clear(r.hints) // of the old source; each worker that is still out is told by the new one
	r.heldVersions.Begun++
	r.recordHeldVersions()
	r.emit(Watch{On: true, Source: r.source, Since: r.routeSetVersion})
}
