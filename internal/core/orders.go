package core

import "foldlb.example/foldlb/choice"

// Orders are requests of an operator to a running dispatcher, received through the admin socket. Each is answered by one
// Ordered effect, which follows all effects that carry the order out.

// OrderID identifies an order for its answer; 0 if nobody waits for the answer.
type OrderID uint64

// BanOrdered takes a worker out of use, or with Lift puts it back. A ban overrides what discovery reports of the worker.
type BanOrdered struct {
	Order  OrderID
	Worker WorkerID `cbor:"Hop"`
	Lift   bool
}

// DrainOrdered starts turning callers away, or with End accepts them again. Requests that were taken are served in any case.
type DrainOrdered struct {
	Order OrderID
	End   bool
}

// Ordered reports that an order has been carried out, or why it is refused.
type Ordered struct {
	Order OrderID
	Fault OrderFault
}

// OrderFault is the reason why an order is refused.
type OrderFault string

// The reasons for refusing an order; the empty one means that it was carried out.
const (
	UnknownWorker OrderFault = "no quote worker has this id"
	TooManyBans   OrderFault = "too many quote workers are out already"
)

// SendAway starts closing callers' connections when they become idle or have been answered, or stops doing so.
type SendAway struct{ On bool }

func (BanOrdered) event()   {}
func (DrainOrdered) event() {}
func (Ordered) effect()     {}
func (SendAway) effect()    {}

// maxBans bounds the number of banned workers. A ban outlives its worker's entry in the list, so without a bound the bans
// would grow for as long as the dispatcher runs. It is far more than the workers of any list that fits into an answer of
// discovery.
const maxBans = 1 << 14

// banOrdered starts or ends a ban. Bans are not counted: two of them are ended by one return.
func (r *Reducer) banOrdered(ev BanOrdered) {
	worker, listed := r.workers[ev.Worker]
	banned := r.banned[ev.Worker]
	fault := OrderFault("")
	switch {
	case !listed && !banned:
		fault = UnknownWorker
	case banned != ev.Lift: // already banned, or not banned
	case ev.Lift:
		delete(r.banned, ev.Worker)
		if listed {
			// An operator who takes a worker out usually restarts it, and discovery may report the restart late or never. If
			// the worker were treated as warm, it would be overloaded.
			r.restoredAt[ev.Worker] = r.now
			// Measurements from before the ban would keep a worker that was slow then from ever being tried again.
			gone := r.deciderWorker(worker)
			gone.State = choice.Terminated
			r.decider.List(r.now, choice.ListChanges, []choice.Worker{gone})
			r.decider.List(r.now, choice.ListChanges, []choice.Worker{r.deciderWorker(worker)})
		}
	case len(r.banned) >= maxBans:
		fault = TooManyBans
	default:
		r.banned[ev.Worker] = true
		r.emit(DropWorker{Addr: worker.Addr})
		r.decider.List(r.now, choice.ListChanges, []choice.Worker{r.deciderWorker(worker)})
	}
	r.emit(Ordered{Order: ev.Order, Fault: fault})
}

// drainOrdered starts or ends a drain. An order that asks for the present state changes nothing.
func (r *Reducer) drainOrdered(ev DrainOrdered) {
	if r.draining == ev.End {
		r.draining = !ev.End
		r.emit(SendAway{On: r.draining})
	}
	r.emit(Ordered{Order: ev.Order})
}

// usable reports whether a worker may be sent new requests.
func (r *Reducer) usable(worker Worker) bool {
	return worker.State == WorkerActive && !r.excluded(worker.ID)
}

// excluded reports whether a worker is out of use despite discovery's list: by an operator's ban, or by a hint.
func (r *Reducer) excluded(id WorkerID) bool {
	_, hinted := r.hints[id]
	return hinted || r.banned[id]
}

// deciderWorker converts a worker for the decision module: an excluded one is shown as terminating, and one that an
// operator put back as just started.
func (r *Reducer) deciderWorker(worker Worker) choice.Worker {
	converted := choice.Worker{ID: string(worker.ID), Zone: worker.Zone, Kind: worker.Kind, Cell: worker.Cell, State: workerStates[worker.State],
		Share: worker.Weight, Started: max(worker.Started, r.restoredAt[worker.ID])}
	if converted.State == choice.InService && r.excluded(worker.ID) {
		converted.State = choice.Terminating
	}
	return converted
}

// View summarises the route set for operators.
type View struct {
	Known    int // workers in the list
	Excluded int // of those, the ones banned by operators or barred by the decision module
}

// View returns the summary at the given time.
func (r *Reducer) View(now float64) View {
	v := View{Known: len(r.workers), Excluded: r.decider.EjectedCount(now)}
	for id := range r.banned {
		if _, listed := r.workers[id]; listed {
			v.Excluded++
		}
	}
	return v
}
