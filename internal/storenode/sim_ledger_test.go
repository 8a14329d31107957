package storenode

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"foldlb.example/foldlb/internal/delivery"
	"foldlb.example/foldlb/internal/rpc"
)

// contact is the calm time after which a second run of a success breaks a rule.
const contact = 4 * time.Second

// sent is one message under one name, as its client and the workers saw it.
type sent struct {
	name       string
	route      string
	key        string
	body       []byte
	nature     float64 // decides what workers say
	partition  uint32
	first      time.Time
	delay      time.Duration
	acceptedAt time.Time // zero where it was not accepted
	refused    bool      // the client was promised that it never runs

	starts      int
	failures    int // answers of 500
	stamps      map[string]bool
	endedAt     time.Time // first success or 422 at a worker, or the last 500
	rejected    bool
	successSeen time.Time // when a sender first knew of a success
}

// ledger holds what clients and workers saw, and checks the rules.
type ledger struct {
	world *world

	acceptances chan *sent // holds one message that was just accepted

	mutex      sync.Mutex
	messages   map[string]*sent
	byKey      map[string][]*sent // accepted ones
	faults     int                // under way
	faultEnd   time.Time
	dropAt     time.Time // when the route was dropped
	violations []string
}

func newLedger(w *world) *ledger {
	return &ledger{world: w, acceptances: make(chan *sent, 1), messages: map[string]*sent{}, byKey: map[string][]*sent{}}
}

// violate notes that a rule was broken. The mutex is held.
func (l *ledger) violate(rule string, m *sent, format string, values ...any) {
	line := fmt.Sprintf("%s at %.3f: %s (route %s, key %q, partition %d, accepted %.3f): ", rule,
		time.Since(l.world.started).Seconds(), m.name, m.route, m.key, m.partition, m.acceptedAt.Sub(l.world.started).Seconds())
	l.violations = append(l.violations, line+fmt.Sprintf(format, values...))
}

func (l *ledger) add(m *sent) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	m.stamps = map[string]bool{}
	l.messages[m.name] = m
}

func (l *ledger) accept(name string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	m := l.messages[name]
	m.acceptedAt = time.Now()
	select {
	case l.acceptances <- m:
	default:
	}
	if m.key != "" {
		l.byKey[m.key] = append(l.byKey[m.key], m)
	}
}

func (l *ledger) refuse(name string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	m := l.messages[name]
	m.refused = true
	if m.starts > 0 {
		l.violate("REFUSED", m, "it ran before the refusal")
	}
}

// faultBegins notes trouble; the function returned ends it.
func (l *ledger) faultBegins() func() {
	l.mutex.Lock()
	l.faults++
	l.mutex.Unlock()
	return func() {
		l.mutex.Lock()
		l.faults--
		l.faultEnd = time.Now()
		l.mutex.Unlock()
	}
}

// calm reports whether there was no trouble lately. The mutex is held.
func (l *ledger) calm() bool { return l.faults == 0 && time.Since(l.faultEnd) > contact }

// hasEnded reports whether nothing more is owed for a message. The mutex is held.
func (l *ledger) hasEnded(m *sent) bool {
	if !m.endedAt.IsZero() || m.failures >= simRetries {
		return true
	}
	if m.route == "dropped" && !l.dropAt.IsZero() {
		return true
	}
	return time.Since(m.first) >= l.retention(m)
}

func (l *ledger) retention(m *sent) time.Duration {
	if m.route == "short" {
		return simShortRetention
	}
	return simRetention
}

// mayBeDead reports whether a dead letter is right. The mutex is held.
func (l *ledger) mayBeDead(m *sent) bool {
	return m.rejected || m.failures >= simRetries || m.route == "dropped" && !l.dropAt.IsZero() ||
		time.Since(m.first) >= l.retention(m)
}

// start notes that a worker begins to run a message, and returns how many runs there are now.
func (l *ledger) start(job *delivery.Job, sender string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	m := l.messages[job.Name]
	m.starts++
	l.checkJob(m, job)
	if m.refused {
		l.violate("REFUSED", m, "it runs at %s", sender)
	}
	if !m.successSeen.IsZero() && l.calm() {
		l.violate("TWICE", m, "it runs again at %s; its success was known at %.3f", sender,
			m.successSeen.Sub(l.world.started).Seconds())
	}
	if time.Since(m.first) < m.delay {
		l.violate("EARLY", m, "it runs before its delay of %s", m.delay)
	}
	if m.key == "" {
		return m.starts
	}
	for _, other := range l.byKey[m.key] {
		if other != m && other.acceptedAt.Before(m.first) && !l.hasEnded(other) {
			l.violate("ORDER", m, "%s runs it while %s, accepted at %.3f, has not ended", sender, other.name,
				other.acceptedAt.Sub(l.world.started).Seconds())
		}
	}
	return m.starts
}

// checkOwner checks that the control plane has given the partition to nobody else when a message is sent to a worker.
func (l *ledger) checkOwner(job *delivery.Job, p *process) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	m := l.messages[job.Name]
	if owner := l.world.control.owner(m.partition); owner.Incarnation != p.node.incarnation {
		l.violate("LEASE", m, "%s sends it, but %s owns the partition under epoch %d", p.machine.name, owner.Owner, owner.Epoch)
	}
}

func (l *ledger) checkJob(m *sent, job *delivery.Job) {
	if !bytes.Equal(job.Body, m.body) || job.Route != m.route || job.OrderKey != m.key || job.RequestID != m.name {
		l.violate("UNASKED", m, "the job differs: %d bytes, route %s, key %q", len(job.Body), job.Route, job.OrderKey)
	}
}

// answered notes the answer of a worker.
func (l *ledger) answered(name string, kind delivery.OutcomeKind, stamp string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	m := l.messages[name]
	ends := true
	switch kind {
	case delivery.Succeeded:
		m.stamps[stamp] = true
	case delivery.Rejected:
		m.rejected = true
	default:
		m.failures++
		ends = m.failures >= simRetries
	}
	if ends && m.endedAt.IsZero() {
		m.endedAt = time.Now()
	}
}

func (l *ledger) knowSuccess(name string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if m := l.messages[name]; m.successSeen.IsZero() {
		m.successSeen = time.Now()
	}
}

// checkState checks what a client was told of a message.
func (l *ledger) checkState(m *sent, reply *rpc.LookupReply) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch reply.State {
	case rpc.State_COMPLETED:
		if !m.stamps[reply.Stamp] {
			l.violate("MIXED", m, "completed with stamp %q", reply.Stamp)
		}
	case rpc.State_DEAD:
		if !l.mayBeDead(m) {
			l.violate("MIXED", m, "dead letter without cause, %d failures", m.failures)
		}
	}
	if reply.HasBody && !bytes.Equal(reply.Body, m.body) {
		l.violate("MIXED", m, "a body of %d bytes, not %d", len(reply.Body), len(m.body))
	}
}
