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

It begins when the store can be read: a store that names a new era may not answer calls yet, and another host may have
named the era. It begins anew if the store is lost before its end. It is over when it has lasted its length, or when that
is known from elsewhere: hosts record in the store that it is over, and others read it there.

A Period is safe for concurrent use.
*/
type Period struct {
	length time.Duration

	mutex sync.Mutex
	// era is the newest one that is known.
	era int64
	// beganAt is when the store was first read in the era, or first read again after it was lost; zero: not yet.
	beganAt time.Time
	// isOver is set when the period is known to be over, so that the loss of the store changes nothing any more.
	isOver bool
	// settledEra is the last era whose period is known to be over from elsewhere.
	settledEra int64
}

// New returns the period of an era that is not known yet.
func New(length time.Duration) *Period {
	return &Period{length: length, era: unknownEra, settledEra: unknownEra}
}

// Begin records an era. One that is not newer than the known one changes nothing.
func (period *Period) Begin(era int64) {
	period.mutex.Lock()
	defer period.mutex.Unlock()
	period.begin(era)
}

func (period *Period) begin(era int64) {
	if era > period.era {
		period.era, period.beganAt, period.isOver = era, time.Time{}, era == period.settledEra
	}
}

// Read records that the store answered a read in an era.
func (period *Period) Read(era int64, now time.Time) {
	period.mutex.Lock()
	defer period.mutex.Unlock()
	period.begin(era)
	if era == period.era && period.beganAt.IsZero() {
		period.beganAt = now
	}
}

// Lose records that the store does not answer reads.
func (period *Period) Lose(now time.Time) {
	period.mutex.Lock()
	defer period.mutex.Unlock()
	if !period.over(now) {
		period.beganAt = time.Time{}
	}
}

// Settle records that the period of an era is over. One of an era before the known one changes nothing.
func (period *Period) Settle(era int64) {
	period.mutex.Lock()
	defer period.mutex.Unlock()
	if era >= period.era {
		period.settledEra = era
		period.isOver = period.isOver || era == period.era
	}
}

// Era returns the newest era that is known, a negative number if there is none.
func (period *Period) Era() int64 {
	period.mutex.Lock()
	defer period.mutex.Unlock()
	return period.era
}

// Over reports whether the period of the newest era is over.
func (period *Period) Over(now time.Time) bool {
	period.mutex.Lock()
	defer period.mutex.Unlock()
	return period.over(now)
}

func (period *Period) over(now time.Time) bool {
	period.isOver = period.isOver || !period.beganAt.IsZero() && !now.Before(period.beganAt.Add(period.length))
	return period.isOver
}

// End returns the earliest time at which the period of the newest era may have lasted its length.
func (period *Period) End(now time.Time) time.Time {
	period.mutex.Lock()
	defer period.mutex.Unlock()
	if period.beganAt.IsZero() {
		return now.Add(period.length)
	}
	return period.beganAt.Add(period.length)
}
