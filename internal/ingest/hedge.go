package ingest

import "sync"

const (
	hedgeBurst    = 50  // messages that may go round late owners at once
	hedgeFraction = 0.1 // of the messages stored by owners, in the long run
)

// hedgeBudget bounds how many messages go round owners that are merely late, so that stores which are slow
// under load are not given more of it. It is safe for concurrent use.
type hedgeBudget struct {
	mutex  sync.Mutex
	tokens float64
}

func newHedgeBudget() *hedgeBudget {
	return &hedgeBudget{tokens: hedgeBurst}
}

// earn notes a message that its owner stored.
func (b *hedgeBudget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+hedgeFraction, hedgeBurst)
}

// spend reports whether one more message may go round its owner, and counts it.
func (b *hedgeBudget) spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
