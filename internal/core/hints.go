package core

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"foldlb.example/foldlb/choice"
	"foldlb.example/foldlb/internal/altered"
	"foldlb.example/foldlb/internal/membership"
)

// Peers' word of drains. Discovery tells each dispatcher at its own time, and is cut off from some for a while. What it told one member of
// a fleet is therefore passed on, and counts at the others until discovery's own word reaches them.

// Hint is a peer's word that a worker takes nothing new, as of a version of the route set.
type Hint struct {
	Worker  WorkerID `cbor:"1,keyasint"`
	Version int64    `cbor:"2,keyasint"`
	Source  string   `cbor:"3,keyasint"` // as the fleet names it; versions of two sources don't compare
}

// FleetHinted brings hints from a peer.
type FleetHinted struct{ Hints []Hint }

// HintsNews are hints to be passed on to the other members.
type HintsNews struct{ Hints []Hint }

// AskHints asks a member that holds a newer list for the drains that it knows of.
type AskHints struct{ Process uint64 }

func (FleetHinted) event() {}
func (HintsNews) effect()  {}
func (AskHints) effect()   {}

const (
	hintLifetimeS        = 30.0 // seconds that a hint counts without discovery's own word, since it was last told
	maxRecentDrains      = 256  // hints that are kept for those that join, or whose discovery is late
	hintRequestIntervalS = 1.0  // seconds between two questions for them
	maxHintedShare       = 0.5  // of the workers that hints may take out, all together
)

// hint is what is held of one.
type hint struct {
	version       int64
	receivedAt    float64
	fromDiscovery bool // discovery's own word, of a list with two contents
}

// sourceName is the source of the route set as the members of a fleet name it among themselves.
func (r *Reducer) sourceName() string {
	if r.routeSourceName != "" && r.source.No == 0 {
		return r.routeSourceName
	}
	return r.source.Addr
}

// hinted takes hints in. Danger: a peer may be wrong, or lie. Its word only ever takes a worker out, never brings one back; only where
// it is newer than what discovery told here, of the same source; for a time; and never for more than a part of the fleet, so that no
// peer's word can leave nobody to send to.
func (r *Reducer) applyHints(list []Hint) {
	var accepted []Hint
	var drained []choice.Worker
	refused := 0
	for _, x := range list {
		h, listed := r.workers[x.Worker]
		old, held := r.hints[x.Worker]
		switch {
		case r.now < r.hintsIgnoredUntil || x.Source != r.sourceName() || x.Version <= r.routeSetVersion || !listed || h.State != WorkerActive || held && old.version > x.Version:
		case held && old.version == x.Version:
			old.receivedAt = r.now
			r.hints[x.Worker] = old
		case !held && float64(len(r.hints)+1) > maxHintedShare*float64(len(r.workers)):
			refused++
		default:
			r.hints[x.Worker] = hint{version: x.Version, receivedAt: r.now, fromDiscovery: old.fromDiscovery}
			accepted = append(accepted, x)
			if !held {
				r.emit(DropWorker{Addr: h.Addr})
				drained = append(drained, r.deciderWorker(h))
			}
		}
	}
	if refused > 0 {
		r.emit(Log{Text: fmt.Sprintf("%d drains that a peer told are not believed: they would take out over half of the workers", refused)})
	}
	if len(drained) > 0 {
		r.decider.List(r.now, choice.ListChanges, drained)
	}
	if len(accepted) > 0 {
		r.rememberDrains(accepted)
		r.emit(HintsNews{Hints: accepted})
	}
}

// remember keeps hints for those that join, meet again, or are told late by their own discovery.
func (r *Reducer) rememberDrains(hints []Hint) {
	for _, x := range hints {
		r.recentDrains = append(r.recentDrains, HintState{Worker: x.Worker, Version: x.Version, At: r.now})
	}
	if len(r.recentDrains) > maxRecentDrains {
		r.recentDrains = slices.Delete(r.recentDrains, 0, len(r.recentDrains)-maxRecentDrains)
	}
}

// recentHints are those that still hold here: of workers that the own list has out, and for a time of those that peers told. Danger: two that
// lag would keep a peer's slip alive between them for ever. One that came back is told of by discovery only.
func (r *Reducer) recentHints() (all []Hint) {
	r.recentDrains = slices.DeleteFunc(r.recentDrains, func(x HintState) bool {
		h, listed := r.workers[x.Worker]
		_, hinted := r.hints[x.Worker]
		return listed && h.State == WorkerActive && (!hinted || r.now-x.At >= hintLifetimeS)
	})
	for _, x := range r.recentDrains {
		all = append(all, Hint{Worker: x.Worker, Version: x.Version, Source: r.sourceName()})
	}
	return all
}

// requestHints asks one of those that hold a newer list, while this dispatcher's own discovery has not told it. Danger: what was told to all as a
// drain began is lost to those that could not be reached then, and an exchange of everything comes only where views differ.
func (r *Reducer) requestHints() {
	if r.now < r.nextHintRequestAt || r.routeSetVersion == VersionUnknown {
		return
	}
	var ahead []membership.Record
	for _, m := range r.fleet.Records() {
		if m.Live() && m.Routes.Source == r.sourceName() && m.Routes.No > r.routeSetVersion {
			ahead = append(ahead, m)
		}
	}
	if len(ahead) == 0 {
		return
	}
	r.nextHintRequestAt = r.now + hintRequestIntervalS
	r.peerRequests++
	r.emit(AskHints{Process: ahead[(r.peerRequests+r.fleet.Self().Process)%uint64(len(ahead))].Process})
}

// unhint drops hints that are answered by a version of discovery's, or too old, and returns the workers that are in service again for it.
func (r *Reducer) dropAnsweredHints(version int64) (restored []Worker) {
	for _, id := range slices.Sorted(maps.Keys(r.hints)) {
		x := r.hints[id]
		h, listed := r.workers[id]
		if listed && h.State == WorkerActive && (x.version > version || altered.Is("a peer's word beats discovery's")) && r.hintValid(x) {
			continue
		}
		delete(r.hints, id)
		if listed && h.State == WorkerActive {
			restored = append(restored, h)
		}
	}
	return restored
}

// stands tells whether a hint that discovery has not answered yet still counts.
func (r *Reducer) hintValid(x hint) bool {
	return x.fromDiscovery && r.contestedVersion > 0 || r.now-x.receivedAt < hintLifetimeS
}

// expireHints drops hints that are too old.
func (r *Reducer) expireHints() {
	var list []choice.Worker
	for _, h := range r.dropAnsweredHints(r.routeSetVersion) {
		list = append(list, r.deciderWorker(h))
	}
	if len(list) > 0 {
		r.decider.List(r.now, choice.ListChanges, list)
	}
}

// drained passes on which workers a list has taken out.
func (r *Reducer) announceDrains(before map[WorkerID]Worker) {
	if r.fleet == nil {
		return
	}
	var hints []Hint
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if h, listed := r.workers[id]; before[id].State == WorkerActive && (!listed || h.State != WorkerActive) {
			hints = append(hints, Hint{Worker: id, Version: r.routeSetVersion, Source: r.sourceName()})
		}
	}
	if len(hints) > 0 {
		r.rememberDrains(hints)
		r.emit(HintsNews{Hints: hints})
	}
}

// HintState is a hint in a reducer's state.
type HintState struct {
	Worker  WorkerID `cbor:"Hop"`
	Version int64
	At      float64
	Own     bool `cbor:",omitempty"` // discovery's own word, of a list with two contents
}

func (r *Reducer) exportHints() (all []HintState) {
	for id, x := range r.hints {
		all = append(all, HintState{id, x.version, x.receivedAt, x.fromDiscovery})
	}
	slices.SortFunc(all, func(a, b HintState) int { return cmp.Compare(a.Worker, b.Worker) })
	return all
}
