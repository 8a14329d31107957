package delivery

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// In any interval, whatever the load and however the rate changes below its maximum, no more tokens are granted than the maximum
// rate and the burst allow.
func TestTokenBucketNeverExceedsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		highest := rapid.Float64Range(0.5, 500).Draw(t, "rate")
		now := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "start"))
		bucket := NewTokenBucket(highest, now)
		var taken []time.Duration
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(40*time.Millisecond)).Draw(t, "gap"))
			if rapid.IntRange(0, 20).Draw(t, "change") == 0 {
				bucket.SetRate(highest*rapid.Float64Range(0.1, 1).Draw(t, "part"), now)
			}
			ok, wait := bucket.Take(now)
			if ok {
				taken = append(taken, now)
				continue
			}
			must.Positive(t, wait)
		}
		assertRate(t, taken, highest, bucketBurst)
	})
}

// assertRate checks every interval that begins and ends with a granted token.
func assertRate(t must.T, taken []time.Duration, rate, burst float64) {
	const rounding = 1e-6
	for i := range taken {
		for j := i; j < len(taken); j++ {
			span := (taken[j] - taken[i]).Seconds()
			must.LessEq(t, rate*span+burst+rounding, float64(j-i+1))
		}
	}
}

func TestTokenBucketStartsEmpty(t *testing.T) {
	bucket := NewTokenBucket(10, time.Second)
	ok, wait := bucket.Take(time.Second)
	must.False(t, ok)
	ok, _ = bucket.Take(time.Second + wait)
	must.True(t, ok)
	ok, _ = bucket.Take(time.Second + wait)
	must.False(t, ok)
}

// After the wait that Take returns, a token is available.
func TestTokenBucketWaitIsSufficient(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bucket := NewTokenBucket(rapid.Float64Range(0.5, 500).Draw(t, "rate"), 0)
		now := time.Duration(0)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(10*time.Millisecond)).Draw(t, "gap"))
			if ok, wait := bucket.Take(now); !ok {
				now += wait
				ok, _ = bucket.Take(now)
				must.True(t, ok)
			}
		}
	})
}
