package core

import "foldlb.example/foldlb/choice"

// Orders are what operators ask of a running dispatcher through its door. Each is answered by one Ordered effect, which
// comes after all that puts it in force.

// OrderID names an order, for its answer; 0 stands for one that nobody waits for.
type OrderID uint64

// BanOrdered takes a worker out of use, or puts it back. A ban holds whatever discovery says of the worker.
type BanOrdered struct {
	Order  OrderID
	Worker WorkerID `cbor:"Hop"`
	Lift   bool
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
	UnknownWorker OrderFault = "no quote worker has this id"
	TooManyBans   OrderFault = "too many quote workers are out already"
)

// SendAway has callers' connections closed as they fall idle or get their answers, or kept again.
type SendAway struct{ On bool }

func (BanOrdered) event()   {}
func (DrainOrdered) event() {}
func (Ordered) effect()     {}
func (SendAway) effect()    {}

// mostBans bounds the workers out by hand. Danger: workers come and go for as long as the dispatcher runs, and a ban
// outlives its worker's place in the list. It is far more than a list that fits into discovery's answer needs at once.
const mostBans = 1 << 14

// banOrdered puts a ban in force or ends it. Two bans need one return.
func (r *Reducer) banOrdered(ev BanOrdered) {
	worker, listed := r.workers[ev.Worker]
	banned := r.banned[ev.Worker]
	fault := OrderFault("")
	switch {
	case !listed && !banned:
		fault = UnknownWorker
	case banned != ev.Lift: // out already, or not out
	case ev.Lift:
		delete(r.banned, ev.Worker)
		if listed {
			// Danger: whoever takes a worker out restarts it, and discovery may tell of that late or never. Taken for
			// warm it would be pushed over.
			r.returned[ev.Worker] = r.now
			// Danger: what was measured before would keep one that was slow then from ever being tried again.
			gone := r.worker(worker)
			gone.State = choice.Terminated
			r.decider.List(r.now, choice.ListChanges, []choice.Worker{gone})
			r.decider.List(r.now, choice.ListChanges, []choice.Worker{r.worker(worker)})
		}
	case len(r.banned) >= mostBans:
		fault = TooManyBans
	default:
		r.banned[ev.Worker] = true
		r.emit(DropWorker{Addr: worker.Addr})
		r.decider.List(r.now, choice.ListChanges, []choice.Worker{r.worker(worker)})
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

// usable tells whether a worker may be sent anything new.
func (r *Reducer) usable(h Worker) bool { return h.State == WorkerActive && !r.out(h.ID) }

// out tells whether a worker is out of use, whatever discovery says: by hand, or by a peer's newer word.
func (r *Reducer) out(id WorkerID) bool {
	_, hinted := r.hints[id]
	return hinted || r.banned[id]
}

// worker is a worker as the decision module is told of it: one that is out by hand is leaving, and one that was
// put back has just started.
func (r *Reducer) worker(h Worker) choice.Worker {
	w := choice.Worker{ID: string(h.ID), Zone: h.Zone, Kind: h.Kind, Cell: h.Cell, State: workerStates[h.State],
		Share: h.Weight, Started: max(h.Started, r.returned[h.ID])}
	if w.State == choice.InService && r.out(h.ID) {
		w.State = choice.Terminating
	}
	return w
}

// View is what operators see of the route set.
type View struct {
	Known    int // workers in the list
	Excluded int // of those, the ones avoided now: out by hand, or barred by the decision module
}

// View counts the route set as of now.
func (r *Reducer) View(now float64) View {
	v := View{Known: len(r.workers), Excluded: r.decider.EjectedCount(now)}
	for id := range r.banned {
		if _, listed := r.workers[id]; listed {
			v.Excluded++
		}
	}
	return v
}
