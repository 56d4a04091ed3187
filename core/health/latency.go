package health

import (
	"slices"
	"time"
)

const (
	// windowSize is the number of first-token times that the quantiles are computed
	// from.
	windowSize = 256
	// sortInterval is the number of added values after which the window is sorted again.
	sortInterval = 8
)

// average is an exponentially weighted moving average, in seconds.
type average struct {
	value float64
	count int
}

// add adds a value. As long as there are few values, all have the same weight.
func (average *average) add(value, smoothing float64) {
	average.count++
	smoothing = max(smoothing, 1/float64(average.count))
	average.value += smoothing * (value - average.value)
}

// ratio returns the average divided by the reference, or 1 if either is unknown.
func (average *average) ratio(reference float64) float64 {
	if average.count < minObservations || reference <= 0 {
		return 1
	}
	return average.value / reference
}

// median returns the median of the values, or 0 if there are none. It sorts the
// slice.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}

// window is a ring buffer with the latest first-token times of the cell.
type window struct {
	values [windowSize]time.Duration
	count  int
	sorted []time.Duration
}

// add replaces the oldest value.
func (window *window) add(delay time.Duration) {
	window.values[window.count%windowSize] = delay
	window.count++
	if window.count <= sortInterval || window.count%sortInterval == 0 {
		window.sorted = append(window.sorted[:0], window.values[:min(window.count, windowSize)]...)
		slices.Sort(window.sorted)
	}
}

// quantile returns a quantile of the values, or 0 if there are none.
func (window *window) quantile(q float64) time.Duration {
	if len(window.sorted) == 0 {
		return 0
	}
	return window.sorted[int(q*float64(len(window.sorted)-1)+0.5)]
}

// FirstTokenQuantile returns a quantile of the cell's recent times from dispatch to
// first token, or 0 if none was observed.
func (tracker *Tracker) FirstTokenQuantile(q float64) time.Duration {
	return tracker.firstTokens.quantile(q)
}

// MeanFirstToken returns a server's average time from dispatch to first token, or 0
// if there are too few observations.
func (tracker *Tracker) MeanFirstToken(name string) time.Duration {
	server := tracker.servers[name]
	if server == nil || server.firstToken.count < minObservations {
		return 0
	}
	return time.Duration(server.firstToken.value * float64(time.Second))
}

// TypicalGap returns the median time between tokens of the cell's servers, or 0 if
// there are too few observations.
func (tracker *Tracker) TypicalGap() time.Duration {
	tracker.compareServers(time.Now())
	return tracker.typicalGap
}

// GapLimit returns the time without a token that counts as a stall: the floor (2 s by
// default) or 20 typical gaps, whichever is larger.
func (tracker *Tracker) GapLimit() time.Duration {
	return max(tracker.options.StallFloor, stallGapFactor*tracker.TypicalGap())
}

// FirstTokenLimit returns the time to first token that counts as a stall: the floor
// (4 s by default) or 10 times the median, whichever is larger. The limit is doubled
// for each attempt of the call that stalled before its first token, at most 6 times.
func (tracker *Tracker) FirstTokenLimit(stalls int) time.Duration {
	limit := max(tracker.options.FirstTokenFloor, stallFirstTokenFactor*tracker.FirstTokenQuantile(0.5))
	return limit << min(stalls, 6)
}
