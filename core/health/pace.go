package health

import (
	"slices"
	"time"
)

const (
	// windowSize is the number of first tokens that the cell's quantiles cover.
	windowSize = 256
	// windowRefresh is the number of first tokens between two sorts.
	windowRefresh = 8
)

// average is an exponentially weighted average of seconds.
type average struct {
	value float64
	count int
}

// add counts a value in. The first values weigh equally.
func (average *average) add(value, decay float64) {
	average.count++
	decay = max(decay, 1/float64(average.count))
	average.value += decay * (value - average.value)
}

// ratio returns the average divided by a reference, 1 when either is unknown.
func (average *average) ratio(reference float64) float64 {
	if average.count < leastObservations || reference <= 0 {
		return 1
	}
	return average.value / reference
}

// median returns the middle of the values, 0 if there are none.
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

// window holds the last waits for a first token in the cell.
type window struct {
	values [windowSize]time.Duration
	count  int
	sorted []time.Duration
}

// add puts a wait in place of the oldest.
func (window *window) add(delay time.Duration) {
	window.values[window.count%windowSize] = delay
	window.count++
	if window.count <= windowRefresh || window.count%windowRefresh == 0 {
		window.sorted = append(window.sorted[:0], window.values[:min(window.count, windowSize)]...)
		slices.Sort(window.sorted)
	}
}

// quantile returns a quantile of the waits, 0 when there are none.
func (window *window) quantile(share float64) time.Duration {
	if len(window.sorted) == 0 {
		return 0
	}
	return window.sorted[int(share*float64(len(window.sorted)-1)+0.5)]
}

// FirstToken returns a quantile of the cell's recent waits from dispatch to the
// first token, 0 when none was observed.
func (health *Health) FirstToken(share float64) time.Duration {
	return health.firstTokens.quantile(share)
}

// FirstTokenOf returns a server's average wait for the first token, 0 when it
// is not known.
func (health *Health) FirstTokenOf(name string) time.Duration {
	server := health.servers[name]
	if server == nil || server.firstToken.count < leastObservations {
		return 0
	}
	return time.Duration(server.firstToken.value * float64(time.Second))
}

// Gap returns the usual time between tokens in the cell, 0 when none was
// observed.
func (health *Health) Gap() time.Duration {
	health.compare(time.Now())
	return health.gap
}

// GapLimit returns the silence between tokens that counts as a stall: the floor
// (2 s) or 20 usual gaps, whichever is larger.
func (health *Health) GapLimit() time.Duration {
	return max(health.options.StallFloor, stallGaps*health.Gap())
}

// FirstTokenLimit returns the wait for a first token that counts as a stall:
// the floor (4 s) or 10 usual waits, whichever is larger, doubled for each
// attempt of the call that stalled before its first token.
func (health *Health) FirstTokenLimit(stalls int) time.Duration {
	limit := max(health.options.FirstTokenFloor, stallFirstTokens*health.FirstToken(0.5))
	return limit << min(stalls, 6)
}
