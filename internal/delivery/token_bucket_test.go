package delivery

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Over any span, whatever the load and however the rate changes below its highest, no more is taken than the ceiling allows.
func TestBucketNeverAboveItsCeiling(t *testing.T) {
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
		assertCeiling(t, taken, highest, bucketBurst)
	})
}

// assertCeiling checks every span that begins and ends with a taking.
func assertCeiling(t must.T, taken []time.Duration, rate, burst float64) {
	const rounding = 1e-6
	for i := range taken {
		for j := i; j < len(taken); j++ {
			span := (taken[j] - taken[i]).Seconds()
			must.LessEq(t, rate*span+burst+rounding, float64(j-i+1))
		}
	}
}

func TestBucketStartsEmpty(t *testing.T) {
	bucket := NewTokenBucket(10, time.Second)
	ok, wait := bucket.Take(time.Second)
	must.False(t, ok)
	ok, _ = bucket.Take(time.Second + wait)
	must.True(t, ok)
	ok, _ = bucket.Take(time.Second + wait)
	must.False(t, ok)
}

// After the pause that it names, a token is there.
func TestBucketWaitSuffices(t *testing.T) {
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
