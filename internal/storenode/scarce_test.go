package storenode

import (
	"testing"

	"github.com/shoenig/test/must"
)

// One copy that was begun early enough holds a recovery up, however many came later; 0 is earlier than any table.
func TestLowestTableOfUnconfirmedCopiesIsTold(t *testing.T) {
	var count scarceCount
	must.EqOp(t, scarceCopies{}, count.read())
	count.addLacking(2)
	for _, placedUnder := range []uint64{7, 5, 9} {
		count.addUnconfirmed(placedUnder)
	}
	must.EqOp(t, scarceCopies{lacking: 2, unconfirmed: 3, placedUnder: 5}, count.read())
	must.EqOp(t, 5, count.Load())
	count.addUnconfirmed(0)
	must.EqOp(t, 0, count.read().placedUnder)
}
