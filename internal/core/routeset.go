package core

import (
	"maps"
	"slices"

	"foldlb.example/foldlb/choice"
)

// Updates from discovery, and reloads of the settings.

// workerStates maps discovery's states to those of the decision module.
var workerStates = map[WorkerState]choice.State{WorkerActive: choice.InService, WorkerLeaving: choice.Terminating,
	WorkerLeft: choice.Terminated}

// applyRouteSet applies a route set from discovery before any later branch is sent.
func (r *Reducer) applyRouteSet(set RouteSet, form choice.ListForm) {
	r.routeSetVersion = set.Version
	before := maps.Clone(r.workers)
	if set.Full {
		r.workers = make(map[WorkerID]Worker, len(set.Workers))
	}
	list := make([]choice.Worker, 0, len(set.Workers))
	for _, worker := range set.Workers {
		r.workers[worker.ID] = worker
	}
	restored := r.dropAnsweredHints(set.Version) // hints that discovery's own list has now superseded
	for _, worker := range set.Workers {
		list = append(list, r.deciderWorker(worker))
	}
	if !set.Full {
		for _, worker := range restored {
			list = append(list, r.deciderWorker(worker))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(before)) {
		worker := before[id]
		now, listed := r.workers[id]
		if worker.State == WorkerActive && (!listed || now.State != WorkerActive || now.Addr != worker.Addr) {
			r.emit(DropWorker{Addr: worker.Addr})
		}
	}
	for id, worker := range r.workers {
		if worker.State == WorkerLeft {
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

// reloaded applies reloaded settings. A new source is asked for its full list at once; its version numbers are unrelated
// to those of the previous source.
func (r *Reducer) reloaded(ev Reloaded) {
	r.emit(SetLimits{Limits: ev.Limits})
	if ev.Discovery == r.source.Addr {
		return
	}
	r.source = Source{Addr: ev.Discovery, No: r.source.No + 1}
	r.routeSetVersion, r.newestHeldVersion, r.watching, r.recheckPending = VersionUnknown, VersionUnknown, true, false
	r.recentDrains, r.contestedVersion = nil, 0
	clear(r.hints) // they refer to the previous source; the new one lists each worker that is still draining
	r.heldVersions.Begun++
	r.recordHeldVersions()
	r.emit(Watch{On: true, Source: r.source, Since: r.routeSetVersion})
}
