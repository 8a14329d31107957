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
	hintMost   = 30.0 // seconds that a hint counts without discovery's own word, since it was last told
	mostRecent = 256  // hints that are kept for those that join, or whose discovery is late
	askEvery   = 1.0  // seconds between two questions for them
	hintPart   = 0.5  // of the workers that hints may take out, all together
)

// hint is what is held of one.
type hint struct {
	version int64
	at      float64
	own     bool // discovery's own word, of a list with two contents
}

// sourceName is the source of the route set as the members of a fleet name it among themselves.
func (r *Reducer) sourceName() string {
	if r.routesName != "" && r.source.No == 0 {
		return r.routesName
	}
	return r.source.Addr
}

// hinted takes hints in. Danger: a peer may be wrong, or lie. Its word only ever takes a worker out, never brings one back; only where
// it is newer than what discovery told here, of the same source; for a time; and never for more than a part of the fleet, so that no
// peer's word can leave nobody to send to.
func (r *Reducer) hinted(list []Hint) {
	var news []Hint
	var told []choice.Worker
	refused := 0
	for _, x := range list {
		h, listed := r.workers[x.Worker]
		old, held := r.hints[x.Worker]
		switch {
		case r.now < r.deafUntil || x.Source != r.sourceName() || x.Version <= r.version || !listed || h.State != WorkerActive || held && old.version > x.Version:
		case held && old.version == x.Version:
			old.at = r.now
			r.hints[x.Worker] = old
		case !held && float64(len(r.hints)+1) > hintPart*float64(len(r.workers)):
			refused++
		default:
			r.hints[x.Worker] = hint{version: x.Version, at: r.now, own: old.own}
			news = append(news, x)
			if !held {
				r.emit(DropWorker{Addr: h.Addr})
				told = append(told, r.worker(h))
			}
		}
	}
	if refused > 0 {
		r.emit(Log{Text: fmt.Sprintf("%d drains that a peer told are not believed: they would take out over half of the workers", refused)})
	}
	if len(told) > 0 {
		r.decider.List(r.now, choice.ListChanges, told)
	}
	if len(news) > 0 {
		r.remember(news)
		r.emit(HintsNews{Hints: news})
	}
}

// remember keeps hints for those that join, meet again, or are told late by their own discovery.
func (r *Reducer) remember(news []Hint) {
	for _, x := range news {
		r.recent = append(r.recent, HintState{Worker: x.Worker, Version: x.Version, At: r.now})
	}
	if len(r.recent) > mostRecent {
		r.recent = slices.Delete(r.recent, 0, len(r.recent)-mostRecent)
	}
}

// recentHints are those that still hold here: of workers that the own list has out, and for a time of those that peers told. Danger: two that
// lag would keep a peer's slip alive between them for ever. One that came back is told of by discovery only.
func (r *Reducer) recentHints() (all []Hint) {
	r.recent = slices.DeleteFunc(r.recent, func(x HintState) bool {
		h, listed := r.workers[x.Worker]
		_, hinted := r.hints[x.Worker]
		return listed && h.State == WorkerActive && (!hinted || r.now-x.At >= hintMost)
	})
	for _, x := range r.recent {
		all = append(all, Hint{Worker: x.Worker, Version: x.Version, Source: r.sourceName()})
	}
	return all
}

// askHints asks one of those that hold a newer list, while this dispatcher's own discovery has not told it. Danger: what was told to all as a
// drain began is lost to those that could not be reached then, and an exchange of everything comes only where views differ.
func (r *Reducer) askHints() {
	if r.now < r.hintsAt || r.version == VersionUnknown {
		return
	}
	var ahead []membership.Record
	for _, m := range r.fleet.Records() {
		if m.Live() && m.Routes.Source == r.sourceName() && m.Routes.No > r.version {
			ahead = append(ahead, m)
		}
	}
	if len(ahead) == 0 {
		return
	}
	r.hintsAt = r.now + askEvery
	r.fetches++
	r.emit(AskHints{Process: ahead[(r.fetches+r.fleet.Self().Process)%uint64(len(ahead))].Process})
}

// unhint drops hints that are answered by a version of discovery's, or too old, and returns the workers that are in service again for it.
func (r *Reducer) unhint(version int64) (back []Worker) {
	for _, id := range slices.Sorted(maps.Keys(r.hints)) {
		x := r.hints[id]
		h, listed := r.workers[id]
		if listed && h.State == WorkerActive && (x.version > version || altered.Is("a peer's word beats discovery's")) && r.stands(x) {
			continue
		}
		delete(r.hints, id)
		if listed && h.State == WorkerActive {
			back = append(back, h)
		}
	}
	return back
}

// stands tells whether a hint that discovery has not answered yet still counts.
func (r *Reducer) stands(x hint) bool { return x.own && r.contested > 0 || r.now-x.at < hintMost }

// hintsPass drops hints that are too old.
func (r *Reducer) hintsPass() {
	var list []choice.Worker
	for _, h := range r.unhint(r.version) {
		list = append(list, r.worker(h))
	}
	if len(list) > 0 {
		r.decider.List(r.now, choice.ListChanges, list)
	}
}

// drained passes on which workers a list has taken out.
func (r *Reducer) drained(before map[WorkerID]Worker) {
	if r.fleet == nil {
		return
	}
	var news []Hint
	for _, id := range slices.Sorted(maps.Keys(before)) {
		if h, listed := r.workers[id]; before[id].State == WorkerActive && (!listed || h.State != WorkerActive) {
			news = append(news, Hint{Worker: id, Version: r.version, Source: r.sourceName()})
		}
	}
	if len(news) > 0 {
		r.remember(news)
		r.emit(HintsNews{Hints: news})
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
		all = append(all, HintState{id, x.version, x.at, x.own})
	}
	slices.SortFunc(all, func(a, b HintState) int { return cmp.Compare(a.Worker, b.Worker) })
	return all
}
