package core

import (
	"fmt"
	"hash/fnv"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/altered"
	"foldlb.example/foldlb/internal/membership"
)

// One number with two contents. A discovery that was split, or two that go by one name, tell two lists under one number. Whoever acts on one
// of them goes on. Whoever does not yet, does not begin to: of such a list only what it takes out counts, since a drain that was told must be
// kept to, until a number comes that all agree on.

const (
	contestPause = 2.0 // seconds between two questions for a whole list in place of one that is contested
	mostClashed  = 64  // numbers with two contents that are remembered as said
)

// workerSum is a worker's part of the route set's digest.
func workerSum(h Worker) uint64 {
	f := fnv.New64a()
	f.Write([]byte(h.ID))
	f.Write([]byte{byte(h.State)})
	return f.Sum64()
}

// routesDigest sums the route set up: the same list has the same digest at every dispatcher, whatever addresses it was told. It is worked out once
// for each list, and only where somebody asks.
func (r *Reducer) routesDigest() uint64 {
	if !r.summed {
		r.summed, r.routeSum = true, 0
		for _, h := range r.workers {
			r.routeSum += workerSum(h)
		}
	}
	return r.routeSum
}

// digestAfter is the digest that the route set would have with a source's news in it.
func (r *Reducer) digestAfter(set RouteSet) (d uint64) {
	if !set.Full {
		d = r.routesDigest()
	}
	for _, h := range set.Workers {
		if old, listed := r.workers[h.ID]; listed && !set.Full {
			d -= workerSum(old)
		}
		if h.State != WorkerLeft {
			d += workerSum(h)
		}
	}
	return d
}

// contest names a member that holds a list's number with another content; false where the list may be acted on. Where a list before it was
// contested, changes say nothing of what that one brought in.
func (r *Reducer) contest(set RouteSet) (other membership.Key, is bool) {
	if r.fleet == nil || set.Version <= r.version || altered.Is("acts on a contested list") {
		return other, false
	}
	if r.contested > 0 && !set.Full {
		return other, true
	}
	return r.fleet.ConflictingMember(membership.KindRoutes, membership.Version{No: set.Version, Digest: r.digestAfter(set), Source: r.sourceName()})
}

// takeOut keeps to what a contested list takes out, and to nothing else of it; false where that would leave less than half of the next
// workers in use, or none are. Danger: a list that can't be acted on for long would take out one after the other, until nobody is left to send
// to; and one that has just started has nothing else to act on.
func (r *Reducer) takeOut(set RouteSet, other membership.Key) bool {
	listed := map[WorkerID]Worker{}
	for _, h := range set.Workers {
		listed[h.ID] = h
	}
	var out []Worker
	active, stay := 0, 0
	for id, h := range r.workers {
		if h.State != WorkerActive || r.banned[id] {
			continue
		}
		active++
		now, told := listed[id]
		switch {
		case !r.usable(h):
		case told && now.State != WorkerActive || !told && set.Full:
			out = append(out, h)
		default:
			stay++
		}
	}
	if stay == 0 || float64(stay) < (1-hintPart)*float64(active) {
		return false
	}
	if r.contested == 0 {
		r.emit(Log{Text: fmt.Sprintf("route set %d of %s has two contents, one told here and another at %s: only what it takes out counts", set.Version, r.sourceName(), other)})
	}
	if r.contested == 0 || set.Full {
		r.askAt = r.now + contestPause
	} else if r.now >= r.askAt {
		r.askWhole()
	}
	r.contested = max(r.contested, set.Version)
	var news []Hint
	var list []choice.Worker
	for _, h := range out {
		r.hints[h.ID] = hint{version: set.Version, at: r.now, own: true}
		r.emit(DropWorker{Addr: h.Addr})
		list = append(list, r.worker(h))
		news = append(news, Hint{Worker: h.ID, Version: set.Version, Source: r.sourceName()})
	}
	r.decider.List(r.now, choice.ListChanges, list)
	if len(news) > 0 {
		r.remember(news)
		r.emit(HintsNews{Hints: news})
	}
	return true
}

// askWhole asks the source for its whole list in place of one that is contested.
func (r *Reducer) askWhole() {
	r.askAt = r.now + contestPause
	r.emit(FetchRouteSet{Source: r.source})
}

// contestPass asks anew where a list is contested: who holds the other content may have gone on, and the source does not tell it again.
func (r *Reducer) contestPass() {
	if r.contested > 0 && r.now >= r.askAt {
		r.askWhole()
	}
}

// sayClashes says once of each number that it has two contents, with both origins.
func (r *Reducer) sayClashes(all []membership.VersionConflict) {
	if len(all) == 0 {
		clear(r.clashed)
	}
	for _, c := range all {
		if number := (membership.VersionConflict{Kind: c.Kind, No: c.No, Source: c.Source}); !r.clashed[number] && len(r.clashed) < mostClashed {
			r.clashed[number] = true
			r.emit(Log{Text: fmt.Sprintf("the %v %d of %s has two contents: one at %s, another at %s; nobody begins to act on it", c.Kind, c.No, c.Source, c.A, c.B)})
		}
	}
}
