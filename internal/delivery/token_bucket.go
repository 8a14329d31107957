package delivery

import (
	"math"
	"time"
)

// bucketBurst is the capacity of a bucket, in tokens.
const bucketBurst = 2

// TokenBucket is a rate limiter. It grants at most rate * W + bucketBurst tokens in any interval of length W, and starts empty.
// It reads no clock: callers pass times that never decrease.
type TokenBucket struct {
	rate      float64 // tokens per second
	tokens    float64
	updatedAt time.Duration // time up to which tokens has been computed
}

// NewTokenBucket returns an empty bucket that gains rate tokens per second from now on. The rate must be above 0.
func NewTokenBucket(rate float64, now time.Duration) *TokenBucket {
	return &TokenBucket{rate: rate, updatedAt: now}
}

// SetRate changes the rate from now on. Tokens gained before are kept.
func (b *TokenBucket) SetRate(rate float64, now time.Duration) {
	b.refill(now)
	b.rate = rate
}

// Take takes a token if there is one. Otherwise it returns the wait until the next token, which is above 0.
func (b *TokenBucket) Take(now time.Duration) (ok bool, wait time.Duration) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	neededSeconds := (1 - b.tokens) / b.rate
	return false, time.Duration(math.Ceil(neededSeconds*float64(time.Second))) + 1
}

// refill adds the tokens gained since the last call.
func (b *TokenBucket) refill(now time.Duration) {
	if now <= b.updatedAt {
		return
	}
	gained := b.rate * (now - b.updatedAt).Seconds()
	b.tokens = min(bucketBurst, b.tokens+gained)
	b.updatedAt = now
}
