package core

import (
	"fmt"
	"hash/fnv"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/altered"
	"foldlb.example/foldlb/internal/membership"
)

// Two route sets with the same version and different contents can exist if discovery was partitioned, or if two instances
// use the same name. A dispatcher that already acts on one of them continues. Others do not adopt it: they apply only
// the removals it contains, since a drain must be honoured, until a version arrives on which all members agree.

const (
	contestedFetchIntervalS = 2.0 // between two requests for the full list while one is contested
	maxLoggedClashes        = 64  // bounds the conflicts that are remembered as logged
)

// workerDigest returns a worker's summand of the route set's digest.
func workerDigest(worker Worker) uint64 {
	f := fnv.New64a()
	f.Write([]byte(worker.ID))
	f.Write([]byte{byte(worker.State)})
	return f.Sum64()
}

// currentDigest returns the digest of the route set, which is the same at every dispatcher with the same list, whatever
// addresses the list was sent with. It is computed on demand and cached until the next list.
func (r *Reducer) currentDigest() uint64 {
	if !r.digestValid {
		r.digestValid, r.routeSetDigest = true, 0
		for _, worker := range r.workers {
			r.routeSetDigest += workerDigest(worker)
		}
	}
	return r.routeSetDigest
}

// digestAfter returns the digest that the route set would have after an update from its source.
func (r *Reducer) digestAfter(set RouteSet) (digest uint64) {
	if !set.Full {
		digest = r.currentDigest()
	}
	for _, worker := range set.Workers {
		if old, listed := r.workers[worker.ID]; listed && !set.Full {
			digest -= workerDigest(old)
		}
		if worker.State != WorkerLeft {
			digest += workerDigest(worker)
		}
	}
	return digest
}

// conflictingHolder returns a member that holds different contents under the update's version, or false if the update may be
// applied. After a contested list, changes conflict too, because they do not repeat what that list added.
func (r *Reducer) conflictingHolder(set RouteSet) (other membership.Key, found bool) {
	if r.fleet == nil || set.Version <= r.routeSetVersion || altered.Is("acts on a contested list") {
		return other, false
	}
	if r.contestedVersion > 0 && !set.Full {
		return other, true
	}
	return r.fleet.ConflictingMember(membership.KindRoutes, membership.Version{No: set.Version, Digest: r.digestAfter(set), Source: r.sourceName()})
}

// applyRemovals applies the removals of a contested list and nothing else. It returns false, with nothing applied, if
// less than half of the active workers would stay in use, or none would. Without this bound, a conflict that lasts would
// remove one worker after the other until none is left; and a process that has just started has no other list to use.
func (r *Reducer) applyRemovals(set RouteSet, other membership.Key) bool {
	listed := map[WorkerID]Worker{}
	for _, worker := range set.Workers {
		listed[worker.ID] = worker
	}
	var out []Worker
	active, staying := 0, 0
	for id, worker := range r.workers {
		if worker.State != WorkerActive || r.banned[id] {
			continue
		}
		active++
		now, inList := listed[id]
		switch {
		case !r.usable(worker):
		case inList && now.State != WorkerActive || !inList && set.Full:
			out = append(out, worker)
		default:
			staying++
		}
	}
	if staying == 0 || float64(staying) < (1-maxHintedShare)*float64(active) {
		return false
	}
	if r.contestedVersion == 0 {
		r.emit(Log{Text: fmt.Sprintf("route set %d of %s has two contents, one told here and another at %s: only what it takes out counts", set.Version, r.sourceName(), other)})
	}
	if r.contestedVersion == 0 || set.Full {
		r.nextFullFetchAt = r.now + contestedFetchIntervalS
	} else if r.now >= r.nextFullFetchAt {
		r.fetchFullRouteSet()
	}
	r.contestedVersion = max(r.contestedVersion, set.Version)
	var hints []Hint
	var list []choice.Worker
	for _, worker := range out {
		r.hints[worker.ID] = hint{routeSetVersion: set.Version, receivedAt: r.now, fromDiscovery: true}
		r.emit(DropWorker{Addr: worker.Addr})
		list = append(list, r.deciderWorker(worker))
		hints = append(hints, Hint{Worker: worker.ID, Version: set.Version, Source: r.sourceName()})
	}
	r.decider.List(r.now, choice.ListChanges, list)
	if len(hints) > 0 {
		r.rememberDrains(hints)
		r.emit(HintsNews{Hints: hints})
	}
	return true
}

// fetchFullRouteSet requests the source's full list to replace a contested one.
func (r *Reducer) fetchFullRouteSet() {
	r.nextFullFetchAt = r.now + contestedFetchIntervalS
	r.emit(FetchRouteSet{Source: r.source})
}

// refetchContested repeats the request for the full list while one is contested: the member with the other contents may
// have moved on, and the source does not send its list again by itself.
func (r *Reducer) refetchContested() {
	if r.contestedVersion > 0 && r.now >= r.nextFullFetchAt {
		r.fetchFullRouteSet()
	}
}

// logClashes logs each version with conflicting contents once, with a member that holds each of the two.
func (r *Reducer) logClashes(all []membership.VersionConflict) {
	if len(all) == 0 {
		clear(r.loggedClashes)
	}
	for _, c := range all {
		if number := (membership.VersionConflict{Kind: c.Kind, No: c.No, Source: c.Source}); !r.loggedClashes[number] && len(r.loggedClashes) < maxLoggedClashes {
			r.loggedClashes[number] = true
			r.emit(Log{Text: fmt.Sprintf("the %v %d of %s has two contents: one at %s, another at %s; nobody begins to act on it", c.Kind, c.No, c.Source, c.A, c.B)})
		}
	}
}
