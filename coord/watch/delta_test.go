package watch

import (
	"bytes"
	"fmt"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// fullValue and deltaValue encode a value for testSubscriber. A full value is longer than several deltas, so that the
// hub keeps a chain of them.
func fullValue(value int) []byte {
	return fmt.Appendf(nil, "whole %d %s;", value, bytes.Repeat([]byte("x"), 40))
}

func deltaValue(from, to int) []byte { return fmt.Appendf(nil, "delta %d %d;", from, to) }

// testSubscriber applies frames and checks that each delta applies to the value that it holds.
type testSubscriber struct {
	revision   uint64
	value      int
	fullValues int
	deltas     int
}

// poll reads and applies the changes since the last frame.
func (s *testSubscriber) poll(t must.T, hub *Hub, deltas bool) {
	parts, revision, _ := hub.changesSince(s.revision, preferences{deltas: deltas}, nil)
	s.apply(t, parts, revision)
}

// apply decodes the parts of a frame and updates the value and the counts.
func (s *testSubscriber) apply(t must.T, parts [][]byte, revision uint64) {
	s.revision = revision
	for _, part := range parts {
		var from, to int
		if _, err := fmt.Sscanf(string(part), "delta %d %d;", &from, &to); err == nil {
			must.Eq(t, from, s.value)
			s.value = to
			s.deltas++
			continue
		}
		if _, err := fmt.Sscanf(string(part), "whole %d ", &to); err == nil {
			s.value = to
			s.fullValues++
		}
	}
}

func TestDeltasYieldTheNewestValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hub := NewHub(3, 1)
		acceptsDeltas, fullOnly := &testSubscriber{}, &testSubscriber{}
		published := 0
		for next := range rapid.IntRange(2, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				hub.Publish(Part{Index: 2, Data: fmt.Appendf(nil, "other %d;", next)})
			case 1:
				hub.Publish(Part{Index: 1, Data: fullValue(next + 1)})
				published = next + 1
			case 2, 3:
				part := Part{Index: 1, Data: fullValue(next + 1)}
				if published > 0 {
					part.Delta = deltaValue(published, next+1)
				}
				hub.Publish(part)
				published = next + 1
			case 4:
				acceptsDeltas.poll(t, hub, true)
				must.Eq(t, published, acceptsDeltas.value)
			case 5:
				fullOnly.poll(t, hub, false)
				must.Eq(t, published, fullOnly.value)
			}
			chain := hub.parts[1].deltas
			must.LessEq(t, len(hub.parts[1].data), chain.bytes)
		}
		must.Eq(t, 0, fullOnly.deltas)
	})
}

func TestSubscriberWithCurrentPartReceivesOnlyDeltas(t *testing.T) {
	hub := NewHub(3, 1)
	existing, newSubscriber := &testSubscriber{}, &testSubscriber{}
	hub.Publish(Part{Index: 1, Data: fullValue(1)})
	existing.poll(t, hub, true)
	hub.Publish(Part{Index: 1, Data: fullValue(2), Delta: deltaValue(1, 2)})
	hub.Publish(Part{Index: 1, Data: fullValue(3), Delta: deltaValue(2, 3)})
	existing.poll(t, hub, true)
	must.Eq(t, testSubscriber{revision: 3, value: 3, fullValues: 1, deltas: 2}, *existing)
	newSubscriber.poll(t, hub, true)
	must.Eq(t, testSubscriber{revision: 3, value: 3, fullValues: 1}, *newSubscriber)
}

// publishValue publishes a value with its number as the version, and with the delta from the previous value unless
// that is 0.
func publishValue(hub *Hub, before, value int) {
	part := Part{Index: 1, Data: fullValue(value), Version: strconv.Itoa(value)}
	if before > 0 {
		part.Delta = deltaValue(before, value)
	}
	hub.Publish(part)
}

// After a change of leaders, the hub of the new leader must send only what is new against the version that the
// subscriber holds from the previous leader, and the full value if it cannot tell.
func TestVersionHeldFromAnotherHubIsNotResent(t *testing.T) {
	for held, sent := range map[string]testSubscriber{
		"3": {revision: 4, value: 3},                // only the header
		"2": {revision: 4, value: 3, deltas: 1},     // the delta that the hub has published since
		"1": {revision: 4, value: 3, fullValues: 1}, // older than the value to which the hub's first delta applies
		"7": {revision: 4, value: 3, fullValues: 1}, // unknown to this hub
		"":  {revision: 4, value: 3, fullValues: 1}, // no version held
	} {
		hub := NewHub(3, 1)
		hub.Publish(Part{Index: 0, Data: []byte("header")})
		publishValue(hub, 0, 2)
		publishValue(hub, 2, 3)
		hub.Publish(Part{Index: 2, Data: []byte("other")})
		subscriber := &testSubscriber{}
		subscriber.value, _ = strconv.Atoi(held)
		wanted := preferences{deltas: true, held: map[int]string{1: held}}
		parts, revision, _ := hub.changesSince(0, wanted, nil)
		subscriber.apply(t, parts, revision)
		must.Eq(t, sent, *subscriber)
	}
}

func TestSubscribersContinueAtTheNextHub(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		subscriber := &testSubscriber{}
		newest := 0
		for range rapid.IntRange(1, 6).Draw(t, "hubs") {
			hub := NewHub(2, 1)
			hub.Publish(Part{Index: 0, Data: []byte("header")})
			if newest > 0 {
				publishValue(hub, 0, newest)
			}
			wanted := preferences{deltas: true, held: map[int]string{}}
			if subscriber.value > 0 {
				wanted.held[1] = strconv.Itoa(subscriber.value)
			}
			subscriber.revision = 0
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				if rapid.Bool().Draw(t, "publishes") {
					publishValue(hub, newest, newest+1)
					newest++
					continue
				}
				parts, revision, _ := hub.changesSince(subscriber.revision, wanted, nil)
				subscriber.apply(t, parts, revision)
				must.Eq(t, newest, subscriber.value)
			}
		}
	})
}
