package ingest

import "sync"

const (
	hedgeBurst    = 50  // messages that may be hedged at once
	hedgeFraction = 0.1 // hedged messages per message stored by its owner, in the long run
)

// hedgeBudget is a token bucket for messages that are written to holders because their owner is late, so that
// stores which are slow under load do not get more of it. It is safe for concurrent use.
type hedgeBudget struct {
	mutex  sync.Mutex
	tokens float64
}

func newHedgeBudget() *hedgeBudget {
	return &hedgeBudget{tokens: hedgeBurst}
}

// earn adds to the budget for a message that its owner has stored.
func (b *hedgeBudget) earn() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.tokens = min(b.tokens+hedgeFraction, hedgeBurst)
}

// spend takes a token for one message. It returns false if there is none.
func (b *hedgeBudget) spend() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
