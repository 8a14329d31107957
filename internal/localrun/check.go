package localrun

import (
	"fmt"
	"sort"
	"time"
)

const (
	earlyBound   = 100 * time.Millisecond // that a delayed message may start before its time
	troubleBound = 4 * time.Second        // after trouble a success may be run again
)

// Check returns a line for each promise that the ledger shows broken. It is called when nothing runs any more.
func (l *Ledger) Check() []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	broken := append([]string(nil), l.faults...)
	for _, m := range l.order {
		broken = append(broken, l.checkMessage(m)...)
	}
	broken = append(broken, checkOrder(l.order)...)
	return append(broken, checkRate(l.arrivals)...)
}

func (l *Ledger) checkMessage(m *Message) []string {
	var broken []string
	if m.Fate == Promised && len(m.Runs) > 0 {
		broken = append(broken, fmt.Sprintf("%s %s was refused for good and has run", m.Kind, m.ID))
	}
	for _, run := range m.Runs {
		if early := m.Sent.Add(m.Delay).Sub(run.Started); early > earlyBound {
			broken = append(broken, fmt.Sprintf("%s %s ran %v before its delay had passed", m.Kind, m.ID, early))
		}
	}
	end := m.endedBy()
	for _, run := range m.Runs {
		if end != nil && end.Status == statusSuccess && run.Started.After(end.Ended) && !l.troubledBefore(run.Started) {
			broken = append(broken, fmt.Sprintf("%s %s ran again after its success, with no trouble before", m.Kind, m.ID))
		}
	}
	return broken
}

// troubledBefore reports whether something was done to a process shortly before a time.
func (l *Ledger) troubledBefore(moment time.Time) bool {
	for _, trouble := range l.troubles {
		if since := moment.Sub(trouble.At); since >= 0 && since < troubleBound {
			return true
		}
	}
	return false
}

// checkOrder looks for starts of a keyed message before the end of one of its key that was accepted before this one
// was sent.
func checkOrder(messages []*Message) []string {
	keys := map[string][]*Message{}
	for _, m := range messages {
		if m.Key != "" {
			keys[m.Key] = append(keys[m.Key], m)
		}
	}
	var broken []string
	for key, group := range keys {
		for _, later := range group {
			for _, earlier := range group {
				if earlier.Fate == Accepted && earlier.Answered.Before(later.Sent) && overtakes(later, earlier) {
					broken = append(broken, fmt.Sprintf("key %s: %s started before %s had ended", key, later.ID, earlier.ID))
				}
			}
		}
	}
	sort.Strings(broken)
	return broken
}

// overtakes reports whether a message started before another had ended.
func overtakes(later, earlier *Message) bool {
	end := earlier.endedBy()
	for _, run := range later.Runs {
		if end == nil || run.Started.Before(end.Ended) {
			return true
		}
	}
	return false
}

// checkRate looks for a window in which the rated endpoint was sent more than it takes.
func checkRate(arrivals []time.Time) []string {
	const window = rateWindowS * time.Second
	most := int(ratePerS*rateWindowS*rateOverrun) + rateSlack
	first := 0
	for last, arrival := range arrivals {
		for arrival.Sub(arrivals[first]) > window {
			first++
		}
		if count := last - first + 1; count > most {
			return []string{fmt.Sprintf("the rated endpoint was sent %d within %v, %d at most", count, window, most)}
		}
	}
	return nil
}
