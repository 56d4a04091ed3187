// Package grace tells from when on a store that was restored from a copy holds again what its clients had written.
package grace

import (
	"sync"
	"time"
)

// unknownEra is the era before the first one that is known.
const unknownEra = -1

/*
Period is the time after the beginning of an era of the store in which its clients write again what the copy lacks.
Before its end, nothing that is missing in the store is known to be gone, and nothing that it holds to be the newest.

The period is over when it has lasted its length, or when that is known from elsewhere: hosts record in the store that
it is over, and others read it there. A Period is safe for concurrent use.
*/
type Period struct {
	length time.Duration

	mutex sync.Mutex
	// era is the newest one that is known, and beganAt when it became known.
	era     int64
	beganAt time.Time
	// settledEra is the last era whose period is known to be over from elsewhere.
	settledEra int64
}

// New returns the period of an era that is not known yet.
func New(length time.Duration) *Period {
	return &Period{length: length, era: unknownEra, settledEra: unknownEra}
}

// Begin records an era. One that is not newer than the known one changes nothing.
func (period *Period) Begin(era int64, now time.Time) {
	period.mutex.Lock()
	defer period.mutex.Unlock()
	if era > period.era {
		period.era, period.beganAt = era, now
	}
}

// Settle records that the period of an era is over. One of an era before the known one changes nothing.
func (period *Period) Settle(era int64) {
	period.mutex.Lock()
	defer period.mutex.Unlock()
	if era >= period.era {
		period.settledEra = era
	}
}

// Era returns the newest era that is known, a negative number if there is none.
func (period *Period) Era() int64 {
	period.mutex.Lock()
	defer period.mutex.Unlock()
	return period.era
}

func (period *Period) isSettled() bool {
	return period.era != unknownEra && period.settledEra == period.era
}

// Over reports whether the period of the newest era is over.
func (period *Period) Over(now time.Time) bool {
	period.mutex.Lock()
	defer period.mutex.Unlock()
	return period.isSettled() || period.era != unknownEra && !now.Before(period.beganAt.Add(period.length))
}

// End returns the earliest time at which the period of the newest era has lasted its length.
func (period *Period) End(now time.Time) time.Time {
	period.mutex.Lock()
	defer period.mutex.Unlock()
	if period.era == unknownEra {
		return now.Add(period.length)
	}
	return period.beganAt.Add(period.length)
}
