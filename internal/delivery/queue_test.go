package delivery

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue deliveryQueue
		priorities := rapid.SliceOfN(rapid.IntRange(0, 3), 1, 50).Draw(t, "priorities")
		for i, priority := range priorities {
			queue.push(&delivery{sequence: uint64(i), priority: priority})
		}
		odd := queue.remove(func(d *delivery) bool { return d.sequence%2 == 1 })
		must.Len(t, len(priorities)/2, odd)
		last := queue.last()
		var before *delivery
		for queue.len() > 0 {
			d := queue.pop()
			must.True(t, before == nil || before.precedes(d))
			before = d
		}
		must.True(t, before == last)
	})
}
