package storenode

import (
	"time"

	"foldlb.example/foldlb/internal/message"
)

// messageEntry is short for the entries of the table.
type messageEntry = message.Entry

// faults draws what goes wrong, and ends it again. It belongs to the driver goroutine.
type faults struct {
	world *world
	next  time.Time
	pause time.Duration // between two faults at most
	open  []*openFault

	retiring *machine  // the one that is being emptied, or was; nil for none
	checked  time.Time // end of the last fault after which all copies were counted
}

// openFault is one that is under way.
type openFault struct {
	until time.Time
	heal  func()
	done  func() // tells the ledger
	busy  string // machine that has it
}

func newFaults(w *world) *faults {
	pauses := []time.Duration{3 * time.Second, time.Second, 300 * time.Millisecond}
	return &faults{world: w, next: time.Now().Add(2 * time.Second), pause: pauses[w.random.IntN(len(pauses))]}
}

// step ends what is due to end, and may begin something.
func (f *faults) step() {
	f.takeAway()
	now := time.Now()
	kept := f.open[:0]
	for _, each := range f.open {
		if now.Before(each.until) {
			kept = append(kept, each)
			continue
		}
		each.heal()
		each.done()
	}
	f.open = kept
	f.checkRestored(now)
	if now.Before(f.next) {
		return
	}
	f.begin()
	f.next = now.Add(200*time.Millisecond + time.Duration(f.world.random.Int64N(int64(f.pause))))
	if f.world.random.IntN(6) == 0 {
		f.next = f.next.Add(6 * time.Second) // a calm time, in which nothing may run twice
	}
}

// checkRestored counts the copies of all that was accepted, once nothing has been amiss for the time that the successor of a lost disk is
// given: from then on another disk may be lost.
func (f *faults) checkRestored(now time.Time) {
	w, l := f.world, f.world.ledger
	l.mutex.Lock()
	ended := l.faultEnd
	calm := l.faults == 0 && len(f.open) == 0 && now.Sub(ended) > timeToRestore
	l.mutex.Unlock()
	if !calm || f.checked.Equal(ended) {
		return
	}
	f.checked = ended
	kept := w.keptCopies()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, m := range l.messages {
		if accepted := m.acceptedAt; accepted.IsZero() || now.Sub(accepted) < timeToRestore || kept[m.name] > w.scale.tolerance {
			continue
		}
		l.violate("SCARCE", m, "%d stores keep it, ended: %t; %s", kept[m.name], l.hasEnded(m), w.where(m))
	}
}

// keptCopies counts for each message the stores whose log holds what is owed for it.
func (w *world) keptCopies() map[string]int {
	kept := map[string]int{}
	for _, m := range w.machines {
		p := m.running()
		if p == nil {
			continue
		}
		p.node.do(func() {
			p.node.table.Each(func(e *messageEntry) {
				if e.HasLocalCopy() {
					kept[e.Name]++
				}
			})
		})
	}
	return kept
}

func (f *faults) endAll() {
	for _, each := range f.open {
		each.heal()
		each.done()
	}
	f.open = nil
}

func (f *faults) isBusy(name string) bool {
	for _, each := range f.open {
		if each.busy == name {
			return true
		}
	}
	return false
}

// begin draws one fault at one machine.
func (f *faults) begin() {
	w := f.world
	m := w.machines[w.random.IntN(len(w.machines))]
	if m.gone || f.isBusy(m.name) || m.running() == nil {
		return
	}
	switch w.random.IntN(17) {
	case 0, 1:
		f.down(m, end{}, 200, 1500)
	case 2, 3:
		f.down(m, end{off: true}, 300, 5000)
	case 4:
		f.loseDisk(m)
	case 5, 6:
		f.freeze(m)
	case 7:
		f.cutLinks(m, false)
	case 8:
		f.cutLinks(m, true)
	case 9:
		f.handOver(m)
	case 10:
		f.lossy()
	case 11:
		f.slow(m)
	case 12, 13, 14:
		f.afterAccept()
	case 15:
		f.blackout()
	case 16:
		f.retire(m)
	}
}

// retire empties a store, once in a simulation and where enough are left.
func (f *faults) retire(m *machine) {
	w := f.world
	if f.retiring != nil || !w.control.allWhole() || w.scale.stores <= w.scale.tolerance+2 {
		return
	}
	w.note("%s is to be emptied", m.name)
	f.retiring = m
	w.control.retire(m.name)
}

// takeAway takes the machine that was emptied away with its disk. That is no loss, so another disk may be lost at the same
// moment, while all others lose power.
func (f *faults) takeAway() {
	w, m := f.world, f.retiring
	if m == nil || m.gone || !w.control.hasRetired() {
		return
	}
	m.gone = true
	w.note("%s was emptied and is taken away", m.name)
	m.stop(end{off: true, loseDisk: true})
	other := w.machines[w.random.IntN(len(w.machines))]
	if other.gone || f.isBusy(other.name) || other.running() == nil {
		return
	}
	f.loseDisk(other)
	if other.running() == nil && w.random.IntN(2) == 0 {
		f.blackout()
	}
}

// between draws a time from least to most milliseconds.
func (f *faults) between(least, most int) time.Duration {
	return time.Duration(least+f.world.random.IntN(most-least)) * time.Millisecond
}

// during keeps a fault open for a time.
func (f *faults) during(m *machine, length time.Duration, heal func()) {
	f.open = append(f.open, &openFault{until: time.Now().Add(length), heal: heal, busy: m.name,
		done: f.world.ledger.faultBegins()})
}

func (f *faults) down(m *machine, how end, least, most int) {
	length := f.between(least, most)
	m.stop(how)
	f.during(m, length, m.start)
}

// loseDisk takes a disk away while all stores run and are whole.
func (f *faults) loseDisk(m *machine) {
	if !f.world.control.allWhole() {
		return
	}
	f.down(m, end{off: true, loseDisk: true}, 300, 4000)
}

// afterAccept takes the power or the disk of a message's owner or of another store right after its 202.
func (f *faults) afterAccept() {
	w := f.world
	select {
	case <-w.ledger.acceptances:
	default:
	}
	var accepted *sent
	select {
	case accepted = <-w.ledger.acceptances:
	case <-time.After(200 * time.Millisecond):
		return
	}
	m, _ := w.owner(accepted.partition)
	if m == nil || w.random.IntN(2) == 0 {
		m = w.machines[w.random.IntN(len(w.machines))]
	}
	if f.isBusy(m.name) || m.running() == nil {
		return
	}
	w.note("right after the 202 of %s:", accepted.name)
	switch w.random.IntN(4) {
	case 0:
		f.loseDisk(m)
		return
	case 1: // one disk at the same moment as the power of all others
		if f.loseDisk(m); m.running() == nil {
			f.blackout()
		}
		return
	}
	f.down(m, end{off: w.random.IntN(3) > 0}, 200, 3000)
}

// blackout takes the power of all stores at once.
func (f *faults) blackout() {
	length := f.between(300, 2500)
	for _, m := range f.world.machines {
		if f.isBusy(m.name) || m.running() == nil {
			continue
		}
		m.stop(end{off: true})
		f.during(m, length+f.between(0, 1500), m.start)
	}
}

func (f *faults) freeze(m *machine) {
	p := m.running()
	length := f.between(300, 6000)
	f.world.note("%s freezes for %s", m.name, length)
	p.freeze()
	f.during(m, length, p.thaw)
}

// cutLinks cuts some or all links of a machine, in one direction or both.
func (f *faults) cutLinks(m *machine, all bool) {
	w := f.world
	ends := []string{controlName, workersName, clientName}
	for _, other := range w.machines {
		if other != m {
			ends = append(ends, other.name)
		}
	}
	var heals []func()
	cut := ""
	for _, name := range ends {
		if !all && w.random.IntN(3) > 0 {
			continue
		}
		both := w.random.IntN(2) == 0
		outward := w.random.IntN(2) == 0
		if all || both || outward {
			heals = append(heals, w.cut(m.name, name))
			cut += " >" + name
		}
		if all || both || !outward {
			heals = append(heals, w.cut(name, m.name))
			cut += " <" + name
		}
	}
	length := f.between(300, 5000)
	w.note("%s is cut off for %s:%s", m.name, length, cut)
	f.during(m, length, func() {
		for _, heal := range heals {
			heal()
		}
	})
}

// handOver ends a process as planned, which is no trouble, and starts it again.
func (f *faults) handOver(m *machine) {
	p := m.running()
	f.world.note("%s leaves", m.name)
	finished := make(chan struct{})
	go func() { p.node.HandOver(); close(finished) }()
	f.open = append(f.open, &openFault{until: time.Now().Add(6 * time.Second), busy: m.name, done: func() {}, heal: func() {
		select {
		case <-finished:
		default:
			f.world.note("%s is killed while it leaves", m.name)
			f.world.ledger.faultBegins()()
		}
		if m.running() == p {
			m.stop(end{})
		}
		m.start()
	}})
}

func (f *faults) lossy() {
	w := f.world
	w.mutex.Lock()
	w.lossy = 0.02 + 0.2*w.random.Float64()
	w.mutex.Unlock()
	w.note("calls are lost")
	f.during(w.machines[0], f.between(300, 4000), func() {
		w.mutex.Lock()
		w.lossy = 0
		w.mutex.Unlock()
	})
}

func (f *faults) slow(m *machine) {
	w := f.world
	w.mutex.Lock()
	w.slow = m.name
	w.mutex.Unlock()
	w.note("%s is slow", m.name)
	f.during(m, f.between(300, 4000), func() {
		w.mutex.Lock()
		w.slow = ""
		w.mutex.Unlock()
	})
}
