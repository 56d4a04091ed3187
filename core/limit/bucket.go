package limit

import (
	"math"
	"time"
)

// bucket is a token bucket that may go into debt. The zero bucket has no limit.
type bucket struct {
	// rate is the refill in units per second; 0: no limit.
	rate     float64
	capacity float64
	level    float64
	refilled time.Time
}

// configure changes the rate and allows the amount of a window of seconds, but
// at least one unit, at once. A bucket that had no limit starts full.
func (bucket *bucket) configure(now time.Time, rate, window float64) {
	unlimited := bucket.rate <= 0
	bucket.refill(now)
	bucket.rate = rate
	bucket.capacity = max(1, rate*window)
	if unlimited {
		bucket.level, bucket.refilled = bucket.capacity, now
	}
	bucket.level = min(bucket.level, bucket.capacity)
}

// refill adds what the time since the last refill allows.
func (bucket *bucket) refill(now time.Time) {
	if passed := now.Sub(bucket.refilled).Seconds(); passed > 0 {
		bucket.level = min(bucket.capacity, bucket.level+passed*bucket.rate)
		bucket.refilled = now
	}
}

// wait returns the time until the bucket holds the needed units.
func (bucket *bucket) wait(now time.Time, needed float64) time.Duration {
	if bucket.rate <= 0 {
		return 0
	}
	bucket.refill(now)
	if bucket.level >= needed {
		return 0
	}
	// Rounded up, so that a retry after exactly this time succeeds.
	seconds := (needed - bucket.level) / bucket.rate
	return time.Duration(min(math.Ceil(seconds*1e6)*1e3+1e3, math.MaxInt64/2))
}

// take removes units, below zero if need be.
func (bucket *bucket) take(units float64) {
	if bucket.rate > 0 {
		bucket.level -= units
	}
}
