package localrun

import (
	"sync"
	"time"
)

// Wish is what the workers do with a message.
type Wish int

// The wishes.
const (
	Succeed    Wish = iota
	FailOnce        // a 500, then a success
	FailAlways      // a 500 each time, until the message is dead
	Refuse          // a 422: it can never be done
)

// Fate is what a client knows of one try.
type Fate int

// The fates of a try.
const (
	Unknown  Fate = iota // no answer, or none that promises anything
	Accepted             // a 202
	Promised             // a 429 or 503: never taken, never run
	Other                // any other answer
)

// Attempt is one start of a message at a worker. Ended is zero while it runs, and Status is 0 where the
// connection closed before the answer.
type Attempt struct {
	Started time.Time
	Ended   time.Time
	Status  int
	Stamp   string
}

// Message is one try of a client: each carries a request id of its own.
type Message struct {
	ID       string
	Kind     Kind
	Key      string // of Keyed messages
	Body     []byte
	Delay    time.Duration
	Wish     Wish
	Sent     time.Time
	Answered time.Time
	Fate     Fate
	Name     string // X-Msg-Id
	Runs     []*Attempt
}

// endedBy is the run whose answer ended the message, or nil.
func (m *Message) endedBy() *Attempt {
	failures := 0
	for _, run := range m.Runs {
		switch run.Status {
		case statusSuccess, statusNever:
			return run
		case statusFailed:
			if failures++; failures == retries {
				return run
			}
		}
	}
	return nil
}

// successes counts the runs that succeeded.
func (m *Message) successes() int {
	count := 0
	for _, run := range m.Runs {
		if run.Status == statusSuccess {
			count++
		}
	}
	return count
}

// Trouble is the time of something done to a process.
type Trouble struct {
	At   time.Time
	What string
}

// Ledger is what clients and workers have seen. It is safe for concurrent use until Close.
type Ledger struct {
	mutex    sync.Mutex
	messages map[string]*Message // by request id
	order    []*Message          // as they were sent
	arrivals []time.Time         // at the rated endpoint
	troubles []Trouble
	faults   []string // seen at once
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{messages: map[string]*Message{}}
}

// Send enters a try that is about to be sent.
func (l *Ledger) Send(m *Message) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	m.Sent = time.Now()
	l.messages[m.ID] = m
	l.order = append(l.order, m)
}

// Answer enters the answer to a try.
func (l *Ledger) Answer(m *Message, fate Fate, name string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	m.Answered, m.Fate, m.Name = time.Now(), fate, name
}

// Arrive enters an arrival at the rated endpoint, whether it runs or not.
func (l *Ledger) Arrive() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.arrivals = append(l.arrivals, time.Now())
}

// Start enters the start of a run. It returns nil for a message that nobody sent in this form.
func (l *Ledger) Start(id, path, key string, body []byte) (*Message, *Attempt) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	m := l.messages[id]
	if m == nil || path != prefixOf(m.Kind)+m.ID || key != m.Key || string(body) != string(m.Body) {
		l.faults = append(l.faults, "a worker was sent "+path+" with the id "+id+", which no client sent in this form")
		return nil, nil
	}
	run := &Attempt{Started: time.Now()}
	m.Runs = append(m.Runs, run)
	return m, run
}

// End enters the answer of a run.
func (l *Ledger) End(run *Attempt, status int, stamp string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	run.Ended, run.Status, run.Stamp = time.Now(), status, stamp
}

// answerOf says what a worker answers to a run: by the wish, and by the failures before it.
func (l *Ledger) answerOf(m *Message) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	switch m.Wish {
	case Refuse:
		return statusNever
	case FailAlways:
		return statusFailed
	case FailOnce:
		for _, run := range m.Runs {
			if run.Status == statusFailed {
				return statusSuccess
			}
		}
		return statusFailed
	default:
		return statusSuccess
	}
}

// Note enters something done to a process.
func (l *Ledger) Note(what string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.troubles = append(l.troubles, Trouble{At: time.Now(), What: what})
}

// copyOf returns a message as it is now: its attempts change no more.
func (l *Ledger) copyOf(m *Message) *Message {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	copied := *m
	copied.Runs = make([]*Attempt, 0, len(m.Runs))
	for _, attempt := range m.Runs {
		one := *attempt
		copied.Runs = append(copied.Runs, &one)
	}
	return &copied
}

// repeats counts the successes of accepted messages beyond the first of each.
func (l *Ledger) repeats() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	count := 0
	for _, m := range l.order {
		if m.Fate == Accepted {
			count += max(0, m.successes()-1)
		}
	}
	return count
}

// Count is a summary of the ledger.
type Count struct {
	Accepted int
	Promised int
	Unknown  int
	Runs     int
	Ended    int // of the accepted ones
}

// Count sums up.
func (l *Ledger) Count() Count {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var count Count
	for _, m := range l.order {
		count.Runs += len(m.Runs)
		switch {
		case m.Fate == Accepted:
			count.Accepted++
			if m.endedBy() != nil {
				count.Ended++
			}
		case m.Fate == Promised:
			count.Promised++
		case !m.Answered.IsZero():
			count.Unknown++
		}
	}
	return count
}

// accepted returns the messages that were accepted.
func (l *Ledger) accepted() []*Message {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []*Message
	for _, m := range l.order {
		if m.Fate == Accepted {
			found = append(found, m)
		}
	}
	return found
}
