package storenode

import (
	"testing"

	"github.com/shoenig/test/must"
)

// The lowest map version is reported, however many copies were placed later; 0 is lower than any version.
func TestLowestMapVersionOfUnconfirmedCopiesIsReported(t *testing.T) {
	var count underCopiedGauge
	must.EqOp(t, underCopiedCount{}, count.snapshot())
	count.addMissing(2)
	for _, placedUnder := range []uint64{7, 5, 9} {
		count.addUnconfirmed(placedUnder)
	}
	must.EqOp(t, underCopiedCount{missing: 2, unconfirmed: 3, placedUnder: 5}, count.snapshot())
	must.EqOp(t, 5, count.Load())
	count.addUnconfirmed(0)
	must.EqOp(t, 0, count.snapshot().placedUnder)
}
