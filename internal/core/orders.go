package core

import "foldlb.example/foldlb/choice"

// Orders are what operators ask of a running dispatcher through its door. Each is answered by one Ordered effect, which
// comes after all that puts it in force.

// OrderID names an order, for its answer; 0 stands for one that nobody waits for.
type OrderID uint64

// BanOrdered takes a next hop out of use, or puts it back. A ban holds whatever discovery says of the hop.
type BanOrdered struct {
	Order OrderID
	Hop   HopID
	Lift  bool
}

// DrainOrdered sends callers away, or takes them again. What has been taken is served on, whatever is ordered.
type DrainOrdered struct {
	Order OrderID
	End   bool
}

// Ordered says that an order is in force, or why it never will be.
type Ordered struct {
	Order OrderID
	Fault OrderFault
}

// OrderFault is why an order is not followed.
type OrderFault string

// The faults of orders; the empty one is none.
const (
	UnknownHop  OrderFault = "no quote worker has this id"
	TooManyBans OrderFault = "too many quote workers are out already"
)

// SendAway has callers' connections closed as they fall idle or get their answers, or kept again.
type SendAway struct{ On bool }

func (BanOrdered) event()   {}
func (DrainOrdered) event() {}
func (Ordered) effect()     {}
func (SendAway) effect()    {}

// mostBans bounds the next hops out by hand. Danger: hops come and go for as long as the dispatcher runs, and a ban
// outlives its hop's place in the list. It is far more than a list that fits into discovery's answer needs at once.
const mostBans = 1 << 14

// banOrdered puts a ban in force or ends it. Two bans need one return.
func (r *Reducer) banOrdered(ev BanOrdered) {
	hop, listed := r.hops[ev.Hop]
	banned := r.banned[ev.Hop]
	fault := OrderFault("")
	switch {
	case !listed && !banned:
		fault = UnknownHop
	case banned != ev.Lift: // out already, or not out
	case ev.Lift:
		delete(r.banned, ev.Hop)
		if listed {
			// Danger: whoever takes a next hop out restarts it, and discovery may tell of that late or never. Taken for
			// warm it would be pushed over.
			r.returned[ev.Hop] = r.now
			// Danger: what was measured before would keep one that was slow then from ever being tried again.
			gone := r.worker(hop)
			gone.State = choice.Terminated
			r.decider.List(r.now, choice.ListChanges, []choice.Worker{gone})
			r.decider.List(r.now, choice.ListChanges, []choice.Worker{r.worker(hop)})
		}
	case len(r.banned) >= mostBans:
		fault = TooManyBans
	default:
		r.banned[ev.Hop] = true
		r.emit(DropHop{Addr: hop.Addr})
		r.decider.List(r.now, choice.ListChanges, []choice.Worker{r.worker(hop)})
	}
	r.emit(Ordered{Order: ev.Order, Fault: fault})
}

// drainOrdered begins or ends a drain by hand. One that is under way, or is not, stays so.
func (r *Reducer) drainOrdered(ev DrainOrdered) {
	if r.draining == ev.End {
		r.draining = !ev.End
		r.emit(SendAway{On: r.draining})
	}
	r.emit(Ordered{Order: ev.Order})
}

// usable tells whether a next hop may be sent anything new.
func (r *Reducer) usable(h Hop) bool { return h.State == HopActive && !r.out(h.ID) }

// out tells whether a next hop is out of use, whatever discovery says: by hand, or by a peer's newer word.
func (r *Reducer) out(id HopID) bool {
	_, hinted := r.hints[id]
	return hinted || r.banned[id]
}

// worker is a next hop as the decision module is told of it: one that is out by hand is leaving, and one that was
// put back has just started.
func (r *Reducer) worker(h Hop) choice.Worker {
	w := choice.Worker{ID: string(h.ID), Zone: h.Zone, Kind: h.Kind, Cell: h.Cell, State: hopStates[h.State],
		Share: h.Weight, Started: max(h.Started, r.returned[h.ID])}
	if w.State == choice.InService && r.out(h.ID) {
		w.State = choice.Terminating
	}
	return w
}

// View is what operators see of the route set.
type View struct {
	Known    int // next hops in the list
	Excluded int // of those, the ones avoided now: out by hand, or barred by the decision module
}

// View counts the route set as of now.
func (r *Reducer) View(now float64) View {
	v := View{Known: len(r.hops), Excluded: r.decider.Barred(now)}
	for id := range r.banned {
		if _, listed := r.hops[id]; listed {
			v.Excluded++
		}
	}
	return v
}
