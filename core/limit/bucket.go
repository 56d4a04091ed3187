package limit

import (
	"math"
	"time"
)

// bucket is a token bucket whose level may become negative. The zero bucket has no
// limit.
type bucket struct {
	// rate is the refill rate in units per second; 0 means no limit.
	rate       float64
	capacity   float64
	level      float64
	lastRefill time.Time
}

// configure sets the rate, and the burst capacity to what the rate allows in window
// seconds, but at least one unit. A bucket that had no limit starts full.
func (bucket *bucket) configure(now time.Time, rate, window float64) {
	wasUnlimited := bucket.rate <= 0
	bucket.refill(now)
	bucket.rate = rate
	bucket.capacity = max(1, rate*window)
	if wasUnlimited {
		bucket.level, bucket.lastRefill = bucket.capacity, now
	}
	bucket.level = min(bucket.level, bucket.capacity)
}

// refill adds the units for the time since the last refill.
func (bucket *bucket) refill(now time.Time) {
	if elapsed := now.Sub(bucket.lastRefill).Seconds(); elapsed > 0 {
		bucket.level = min(bucket.capacity, bucket.level+elapsed*bucket.rate)
		bucket.lastRefill = now
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

// take removes units. The level may become negative.
func (bucket *bucket) take(units float64) {
	if bucket.rate > 0 {
		bucket.level -= units
	}
}
