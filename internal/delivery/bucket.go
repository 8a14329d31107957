package delivery

import (
	"math"
	"time"
)

// bucketBurst is how many arrivals may follow each other at once after a quiet time.
const bucketBurst = 2

// Bucket is a token bucket. It allows at most rate x W + bucketBurst takings in any span of length W, and starts empty. It
// reads no clock: times are the caller's, and never go back.
type Bucket struct {
	rate   float64 // tokens a second
	tokens float64
	at     time.Duration // when tokens was reckoned
}

// NewBucket returns an empty bucket that gains rate tokens a second from now on; rate must be above 0.
func NewBucket(rate float64, now time.Duration) *Bucket {
	return &Bucket{rate: rate, at: now}
}

// SetRate changes the rate from now on. What was gained before stays.
func (b *Bucket) SetRate(rate float64, now time.Duration) {
	b.settle(now)
	b.rate = rate
}

// Take takes a token if there is one. Otherwise it returns the pause after which there is one, above 0.
func (b *Bucket) Take(now time.Duration) (ok bool, wait time.Duration) {
	b.settle(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	missing := (1 - b.tokens) / b.rate
	return false, time.Duration(math.Ceil(missing*float64(time.Second))) + 1
}

// settle adds what was gained since the last look.
func (b *Bucket) settle(now time.Duration) {
	if now <= b.at {
		return
	}
	gained := b.rate * (now - b.at).Seconds()
	b.tokens = min(bucketBurst, b.tokens+gained)
	b.at = now
}
