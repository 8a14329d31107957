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

// Discovery informs each dispatcher at a different time, and some may be cut off from it for a while. Members of a fleet
// therefore pass drains on as hints, which are valid until discovery's own list reaches the receiver.

// Hint is a peer's statement that a worker is draining as of a version of the route set.
type Hint struct {
	Worker  WorkerID `cbor:"1,keyasint"`
	Version int64    `cbor:"2,keyasint"`
	Source  string   `cbor:"3,keyasint"` // name of the source within the fleet; versions of different sources can't be compared
}

// FleetHinted delivers hints from a peer.
type FleetHinted struct{ Hints []Hint }

// HintsNews carries hints to send to other members.
type HintsNews struct{ Hints []Hint }

// AskHints requests the known drains from a member that holds a newer list.
type AskHints struct{ Process uint64 }

func (FleetHinted) event() {}
func (HintsNews) effect()  {}
func (AskHints) effect()   {}

const (
	hintLifetimeS        = 30.0 // validity of a hint since it was last received, unless discovery's list supersedes it earlier
	maxRecentDrains      = 256  // hints kept for members that join or whose discovery is late
	hintRequestIntervalS = 1.0  // between two AskHints
	maxHintedShare       = 0.5  // fraction of the workers that hints may exclude in total
)

// hint is a hint in effect for a worker.
type hint struct {
	routeSetVersion int64
	receivedAt      float64
	fromDiscovery   bool // taken from a list of discovery that was not applied as a whole, not from a peer
}

// sourceName returns the name of the route set's source within the fleet.
func (r *Reducer) sourceName() string {
	if r.routeSourceName != "" && r.source.No == 0 {
		return r.routeSourceName
	}
	return r.source.Addr
}

// applyHints applies hints from a peer, which may be wrong or malicious. Hints can only exclude a worker, never bring one
// back; they must be newer than the route set held here and from the same source; they expire; and together they may
// exclude only a part of the workers, so that no peer can leave this dispatcher without any.
func (r *Reducer) applyHints(list []Hint) {
	var accepted []Hint
	var drained []choice.Worker
	refused := 0
	for _, x := range list {
		worker, listed := r.workers[x.Worker]
		old, held := r.hints[x.Worker]
		switch {
		case r.now < r.hintsIgnoredUntil || x.Source != r.sourceName() || x.Version <= r.routeSetVersion || !listed || worker.State != WorkerActive || held && old.routeSetVersion > x.Version:
		case held && old.routeSetVersion == x.Version:
			old.receivedAt = r.now
			r.hints[x.Worker] = old
		case !held && float64(len(r.hints)+1) > maxHintedShare*float64(len(r.workers)):
			refused++
		default:
			r.hints[x.Worker] = hint{routeSetVersion: x.Version, receivedAt: r.now, fromDiscovery: old.fromDiscovery}
			accepted = append(accepted, x)
			if !held {
				r.emit(DropWorker{Addr: worker.Addr})
				drained = append(drained, r.deciderWorker(worker))
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

// rememberDrains keeps hints for members that join, reconnect, or are informed late by their own discovery.
func (r *Reducer) rememberDrains(hints []Hint) {
	for _, x := range hints {
		r.recentDrains = append(r.recentDrains, HintState{Worker: x.Worker, Version: x.Version, At: r.now})
	}
	if len(r.recentDrains) > maxRecentDrains {
		r.recentDrains = slices.Delete(r.recentDrains, 0, len(r.recentDrains)-maxRecentDrains)
	}
}

// recentHints returns the hints to repeat: those of workers that the own list has drained or removed, and for a limited
// time those received from peers. Without the limit, two dispatchers with outdated lists would keep a peer's mistake
// alive between them. Only discovery reports that a worker is back.
func (r *Reducer) recentHints() (all []Hint) {
	r.recentDrains = slices.DeleteFunc(r.recentDrains, func(x HintState) bool {
		worker, listed := r.workers[x.Worker]
		_, hinted := r.hints[x.Worker]
		return listed && worker.State == WorkerActive && (!hinted || r.now-x.At >= hintLifetimeS)
	})
	for _, x := range r.recentDrains {
		all = append(all, Hint{Worker: x.Worker, Version: x.Version, Source: r.sourceName()})
	}
	return all
}

// requestHints sends AskHints to one of the members that hold a newer list, until this dispatcher's own discovery has
// sent it. Hints are sent when a drain starts and are lost for members that are unreachable then, and a full exchange
// takes place only where views differ.
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

// dropAnsweredHints removes hints that a list of the given version supersedes or that have expired. It returns the workers
// that are back in use as a result.
func (r *Reducer) dropAnsweredHints(routeSetVersion int64) (restored []Worker) {
	for _, id := range slices.Sorted(maps.Keys(r.hints)) {
		x := r.hints[id]
		worker, listed := r.workers[id]
		if listed && worker.State == WorkerActive && (x.routeSetVersion > routeSetVersion || altered.Is("a peer's word beats discovery's")) && r.hintValid(x) {
			continue
		}
		delete(r.hints, id)
		if listed && worker.State == WorkerActive {
			restored = append(restored, worker)
		}
	}
	return restored
}

// hintValid reports whether a hint that discovery has not superseded is still valid. One from discovery's own contested
// list does not expire while the conflict lasts.
func (r *Reducer) hintValid(h hint) bool {
	return h.fromDiscovery && r.contestedVersion > 0 || r.now-h.receivedAt < hintLifetimeS
}

// expireHints removes hints that have expired.
func (r *Reducer) expireHints() {
	var list []choice.Worker
	for _, worker := range r.dropAnsweredHints(r.routeSetVersion) {
		list = append(list, r.deciderWorker(worker))
	}
	if len(list) > 0 {
		r.decider.List(r.now, choice.ListChanges, list)
	}
}

// announceDrains sends hints for the workers that a list has drained or removed.
func (r *Reducer) announceDrains(before map[WorkerID]Worker) {
	if r.fleet == nil {
		return
	}
	var hints []Hint
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if worker, listed := r.workers[id]; before[id].State == WorkerActive && (!listed || worker.State != WorkerActive) {
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
	Own     bool `cbor:",omitempty"` // taken from a list of discovery that was not applied as a whole, not from a peer
}

func (r *Reducer) exportHints() (all []HintState) {
	for id, x := range r.hints {
		all = append(all, HintState{id, x.routeSetVersion, x.receivedAt, x.fromDiscovery})
	}
	slices.SortFunc(all, func(a, b HintState) int { return cmp.Compare(a.Worker, b.Worker) })
	return all
}
