package storenode

import (
	"bytes"
	"fmt"
	"sync"
	"time"

	"foldlb.example/foldlb/internal/delivery"
	"foldlb.example/foldlb/internal/rpc"
)

// quietPeriod is the time without faults after which a message whose success is known must not run again.
const quietPeriod = 4 * time.Second

// sentMessage is one message as its client and the workers saw it.
type sentMessage struct {
	name        string
	route       string
	key         string
	body        []byte
	outcomeDraw float64 // in [0, 1); determines the answers of the workers
	partition   uint32
	firstSentAt time.Time
	delay       time.Duration
	acceptedAt  time.Time // zero if not accepted
	refused     bool      // the client was told that the message never runs

	runs          int
	failures      int // answers with status 500
	stamps        map[string]bool
	endedAt       time.Time // first success or answer 422 of a worker, or the last answer 500
	rejected      bool
	successSeenAt time.Time // when a sender first learned of a success
}

// checker records what clients and workers saw and checks the delivery guarantees.
type checker struct {
	world *world

	justAccepted chan *sentMessage // holds one message that was just accepted

	mutex          sync.Mutex
	messages       map[string]*sentMessage
	byKey          map[string][]*sentMessage // accepted messages
	activeFaults   int                       // number of faults in progress
	lastFaultEnd   time.Time
	routeDroppedAt time.Time // zero while the route exists
	violations     []string
}

func newChecker(w *world) *checker {
	return &checker{world: w, justAccepted: make(chan *sentMessage, 1), messages: map[string]*sentMessage{}, byKey: map[string][]*sentMessage{}}
}

// violate records the violation of a guarantee. Callers hold the mutex.
func (c *checker) violate(rule string, m *sentMessage, format string, values ...any) {
	line := fmt.Sprintf("%s at %.3f: %s (route %s, key %q, partition %d, accepted %.3f): ", rule,
		time.Since(c.world.started).Seconds(), m.name, m.route, m.key, m.partition, m.acceptedAt.Sub(c.world.started).Seconds())
	c.violations = append(c.violations, line+fmt.Sprintf(format, values...))
}

func (c *checker) add(m *sentMessage) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	m.stamps = map[string]bool{}
	c.messages[m.name] = m
}

func (c *checker) recordAccepted(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	m := c.messages[name]
	m.acceptedAt = time.Now()
	select {
	case c.justAccepted <- m:
	default:
	}
	if m.key != "" {
		c.byKey[m.key] = append(c.byKey[m.key], m)
	}
}

func (c *checker) recordRefused(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	m := c.messages[name]
	m.refused = true
	if m.runs > 0 {
		c.violate("REFUSED", m, "it ran before the refusal")
	}
}

// beginFault records the start of a fault. The returned function records its end.
func (c *checker) beginFault() func() {
	c.mutex.Lock()
	c.activeFaults++
	c.mutex.Unlock()
	return func() {
		c.mutex.Lock()
		c.activeFaults--
		c.lastFaultEnd = time.Now()
		c.mutex.Unlock()
	}
}

// isQuiet reports whether there was no fault for quietPeriod. Callers hold the mutex.
func (c *checker) isQuiet() bool {
	return c.activeFaults == 0 && time.Since(c.lastFaultEnd) > quietPeriod
}

// hasEnded reports whether a message no longer needs to run. Callers hold the mutex.
func (c *checker) hasEnded(m *sentMessage) bool {
	if !m.endedAt.IsZero() || m.failures >= simRetries {
		return true
	}
	if m.route == "dropped" && !c.routeDroppedAt.IsZero() {
		return true
	}
	return time.Since(m.firstSentAt) >= c.retention(m)
}

func (c *checker) retention(m *sentMessage) time.Duration {
	if m.route == "short" {
		return simShortRetention
	}
	return simRetention
}

// mayBeDead reports whether a message may be a dead letter. Callers hold the mutex.
func (c *checker) mayBeDead(m *sentMessage) bool {
	return m.rejected || m.failures >= simRetries || m.route == "dropped" && !c.routeDroppedAt.IsZero() ||
		time.Since(m.firstSentAt) >= c.retention(m)
}

// recordRun records that a worker starts to run a message. It returns the number of runs so far.
func (c *checker) recordRun(job *delivery.Job, sender string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	m := c.messages[job.Name]
	m.runs++
	c.checkJob(m, job)
	if m.refused {
		c.violate("REFUSED", m, "it runs at %s", sender)
	}
	if !m.successSeenAt.IsZero() && c.isQuiet() {
		c.violate("TWICE", m, "it runs again at %s; its success was known at %.3f", sender,
			m.successSeenAt.Sub(c.world.started).Seconds())
	}
	if time.Since(m.firstSentAt) < m.delay {
		c.violate("EARLY", m, "it runs before its delay of %s", m.delay)
	}
	if m.key == "" {
		return m.runs
	}
	for _, other := range c.byKey[m.key] {
		if other != m && other.acceptedAt.Before(m.firstSentAt) && !c.hasEnded(other) {
			c.violate("ORDER", m, "%s runs it while %s, accepted at %.3f, has not ended", sender, other.name,
				other.acceptedAt.Sub(c.world.started).Seconds())
		}
	}
	return m.runs
}

// checkOwner checks that the control plane has not assigned the partition to another store when a message is sent to a worker.
func (c *checker) checkOwner(job *delivery.Job, p *process) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	m := c.messages[job.Name]
	if owner := c.world.control.owner(m.partition); owner.Incarnation != p.node.incarnation {
		c.violate("LEASE", m, "%s sends it, but %s owns the partition under epoch %d", p.machine.name, owner.Owner, owner.Epoch)
	}
}

func (c *checker) checkJob(m *sentMessage, job *delivery.Job) {
	if !bytes.Equal(job.Body, m.body) || job.Host != "h" || job.Path != "/"+m.route || job.OrderKey != m.key || job.RequestID != m.name {
		c.violate("UNASKED", m, "the job differs: %d bytes, path %s, key %q", len(job.Body), job.Path, job.OrderKey)
	}
}

// recordAnswer records the answer of a worker.
func (c *checker) recordAnswer(name string, kind delivery.OutcomeKind, stamp string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	m := c.messages[name]
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

func (c *checker) recordSuccessSeen(name string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if m := c.messages[name]; m.successSeenAt.IsZero() {
		m.successSeenAt = time.Now()
	}
}

// checkState checks the state of a message that a client was sent.
func (c *checker) checkState(m *sentMessage, reply *rpc.LookupReply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch reply.State {
	case rpc.State_COMPLETED:
		if !m.stamps[reply.Stamp] {
			c.violate("MIXED", m, "completed with stamp %q", reply.Stamp)
		}
	case rpc.State_DEAD:
		if !c.mayBeDead(m) {
			c.violate("MIXED", m, "dead letter without cause, %d failures", m.failures)
		}
	}
	if reply.HasBody && !bytes.Equal(reply.Body, m.body) {
		c.violate("MIXED", m, "a body of %d bytes, not %d", len(reply.Body), len(m.body))
	}
}
