package storenode

import (
	"time"

	"foldlb.example/foldlb/internal/message"
)

// messageEntry shortens the name of the table's entry type.
type messageEntry = message.Entry

// faultInjector starts random faults and ends them again. It belongs to the driver goroutine.
type faultInjector struct {
	world    *world
	nextAt   time.Time
	maxPause time.Duration // maximum between two faults
	active   []*activeFault

	retiring  *machine  // the machine whose store is being retired, or was; nil for none
	checkedAt time.Time // end of the last fault after which all copies were counted
}

// activeFault is a fault in progress.
type activeFault struct {
	endsAt      time.Time
	heal        func()
	done        func() // reports the end of the fault to the checker
	machineName string // machine affected
}

func newFaultInjector(w *world) *faultInjector {
	pauses := []time.Duration{3 * time.Second, time.Second, 300 * time.Millisecond}
	return &faultInjector{world: w, nextAt: time.Now().Add(2 * time.Second), maxPause: pauses[w.random.IntN(len(pauses))]}
}

// step ends the faults that are due to end, and may start a new one.
func (f *faultInjector) step() {
	f.removeRetired()
	now := time.Now()
	kept := f.active[:0]
	for _, each := range f.active {
		if now.Before(each.endsAt) {
			kept = append(kept, each)
			continue
		}
		each.heal()
		each.done()
	}
	f.active = kept
	f.checkCopies(now)
	if now.Before(f.nextAt) {
		return
	}
	f.injectFault()
	f.nextAt = now.Add(200*time.Millisecond + time.Duration(f.world.random.Int64N(int64(f.maxPause))))
	if f.world.random.IntN(6) == 0 {
		f.nextAt = f.nextAt.Add(6 * time.Second) // a quiet period, in which no message may run twice
	}
}

// checkCopies counts the copies of all accepted messages once there was no fault for timeToRestore: from then on another disk may be lost.
func (f *faultInjector) checkCopies(now time.Time) {
	w, c := f.world, f.world.checker
	c.mutex.Lock()
	ended := c.lastFaultEnd
	quiet := c.activeFaults == 0 && len(f.active) == 0 && now.Sub(ended) > timeToRestore
	c.mutex.Unlock()
	if !quiet || f.checkedAt.Equal(ended) {
		return
	}
	f.checkedAt = ended
	kept := w.copyCounts()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, m := range c.messages {
		if accepted := m.acceptedAt; accepted.IsZero() || now.Sub(accepted) < timeToRestore || kept[m.name] > w.scale.tolerance {
			continue
		}
		c.violate("SCARCE", m, "%d stores keep it, ended: %t; %s", kept[m.name], c.hasEnded(m), w.describe(m))
	}
}

// copyCounts returns for each message the number of stores whose log holds it or, for completed messages, their final state.
func (w *world) copyCounts() map[string]int {
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

func (f *faultInjector) endAll() {
	for _, each := range f.active {
		each.heal()
		each.done()
	}
	f.active = nil
}

func (f *faultInjector) hasFault(name string) bool {
	for _, each := range f.active {
		if each.machineName == name {
			return true
		}
	}
	return false
}

// injectFault starts a random fault at a random machine.
func (f *faultInjector) injectFault() {
	w := f.world
	m := w.machines[w.random.IntN(len(w.machines))]
	if m.removed || f.hasFault(m.name) || m.running() == nil {
		return
	}
	switch w.random.IntN(17) {
	case 0, 1:
		f.stopFor(m, shutdown{}, 200, 1500)
	case 2, 3:
		f.stopFor(m, shutdown{powerLost: true}, 300, 5000)
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
		f.loseCalls()
	case 11:
		f.slowLinks(m)
	case 12, 13, 14:
		f.faultAfterAccept()
	case 15:
		f.cutPower()
	case 16:
		f.retire(m)
	}
}

// retire starts to retire a store, once per simulation and if enough stores are left.
func (f *faultInjector) retire(m *machine) {
	w := f.world
	if f.retiring != nil || !w.control.allWhole() || w.scale.stores <= w.scale.tolerance+2 {
		return
	}
	w.tracef("%s is being retired", m.name)
	f.retiring = m
	w.control.retire(m.name)
}

// removeRetired removes the machine of the retired store with its disk. That does not count as a loss, so another disk may be lost at the
// same moment while all other machines lose power.
func (f *faultInjector) removeRetired() {
	w, m := f.world, f.retiring
	if m == nil || m.removed || !w.control.hasRetired() {
		return
	}
	m.removed = true
	w.tracef("%s is retired and removed", m.name)
	m.stop(shutdown{powerLost: true, loseDisk: true})
	other := w.machines[w.random.IntN(len(w.machines))]
	if other.removed || f.hasFault(other.name) || other.running() == nil {
		return
	}
	f.loseDisk(other)
	if other.running() == nil && w.random.IntN(2) == 0 {
		f.cutPower()
	}
}

// randomDuration returns a duration between minMs and maxMs milliseconds.
func (f *faultInjector) randomDuration(minMs, maxMs int) time.Duration {
	return time.Duration(minMs+f.world.random.IntN(maxMs-minMs)) * time.Millisecond
}

// schedule keeps a fault active for the given time.
func (f *faultInjector) schedule(m *machine, length time.Duration, heal func()) {
	f.active = append(f.active, &activeFault{endsAt: time.Now().Add(length), heal: heal, machineName: m.name,
		done: f.world.checker.beginFault()})
}

func (f *faultInjector) stopFor(m *machine, how shutdown, minMs, maxMs int) {
	length := f.randomDuration(minMs, maxMs)
	m.stop(how)
	f.schedule(m, length, m.start)
}

// loseDisk loses a disk, if all stores are running and whole.
func (f *faultInjector) loseDisk(m *machine) {
	if !f.world.control.allWhole() {
		return
	}
	f.stopFor(m, shutdown{powerLost: true, loseDisk: true}, 300, 4000)
}

// faultAfterAccept stops a message's owner or another store right after the message was accepted with status 202.
func (f *faultInjector) faultAfterAccept() {
	w := f.world
	select {
	case <-w.checker.justAccepted:
	default:
	}
	var accepted *sentMessage
	select {
	case accepted = <-w.checker.justAccepted:
	case <-time.After(200 * time.Millisecond):
		return
	}
	m, _ := w.owner(accepted.partition)
	if m == nil || w.random.IntN(2) == 0 {
		m = w.machines[w.random.IntN(len(w.machines))]
	}
	if f.hasFault(m.name) || m.running() == nil {
		return
	}
	w.tracef("right after the 202 of %s:", accepted.name)
	switch w.random.IntN(4) {
	case 0:
		f.loseDisk(m)
		return
	case 1: // one disk at the same time as the power of all other machines
		if f.loseDisk(m); m.running() == nil {
			f.cutPower()
		}
		return
	}
	f.stopFor(m, shutdown{powerLost: w.random.IntN(3) > 0}, 200, 3000)
}

// cutPower cuts the power of all machines at once.
func (f *faultInjector) cutPower() {
	length := f.randomDuration(300, 2500)
	for _, m := range f.world.machines {
		if f.hasFault(m.name) || m.running() == nil {
			continue
		}
		m.stop(shutdown{powerLost: true})
		f.schedule(m, length+f.randomDuration(0, 1500), m.start)
	}
}

func (f *faultInjector) freeze(m *machine) {
	p := m.running()
	length := f.randomDuration(300, 6000)
	f.world.tracef("%s freezes for %s", m.name, length)
	p.freeze()
	f.schedule(m, length, p.thaw)
}

// cutLinks cuts some or all links of a machine, in one direction or both.
func (f *faultInjector) cutLinks(m *machine, all bool) {
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
			heals = append(heals, w.cutLink(m.name, name))
			cut += " >" + name
		}
		if all || both || !outward {
			heals = append(heals, w.cutLink(name, m.name))
			cut += " <" + name
		}
	}
	length := f.randomDuration(300, 5000)
	w.tracef("%s is cut off for %s:%s", m.name, length, cut)
	f.schedule(m, length, func() {
		for _, heal := range heals {
			heal()
		}
	})
}

// handOver stops a process gracefully, which is not a fault, and starts it again.
func (f *faultInjector) handOver(m *machine) {
	p := m.running()
	f.world.tracef("%s hands over", m.name)
	finished := make(chan struct{})
	go func() { p.node.HandOver(); close(finished) }()
	f.active = append(f.active, &activeFault{endsAt: time.Now().Add(6 * time.Second), machineName: m.name, done: func() {}, heal: func() {
		select {
		case <-finished:
		default:
			f.world.tracef("%s is killed during its handover", m.name)
			f.world.checker.beginFault()()
		}
		if m.running() == p {
			m.stop(shutdown{})
		}
		m.start()
	}})
}

func (f *faultInjector) loseCalls() {
	w := f.world
	w.mutex.Lock()
	w.lossRate = 0.02 + 0.2*w.random.Float64()
	w.mutex.Unlock()
	w.tracef("calls are lost")
	f.schedule(w.machines[0], f.randomDuration(300, 4000), func() {
		w.mutex.Lock()
		w.lossRate = 0
		w.mutex.Unlock()
	})
}

func (f *faultInjector) slowLinks(m *machine) {
	w := f.world
	w.mutex.Lock()
	w.slowMachine = m.name
	w.mutex.Unlock()
	w.tracef("%s is slow", m.name)
	f.schedule(m, f.randomDuration(300, 4000), func() {
		w.mutex.Lock()
		w.slowMachine = ""
		w.mutex.Unlock()
	})
}
