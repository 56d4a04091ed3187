package pace

import (
	"slices"
	"time"
)

const (
	// spanEvents is the number of events over which a gap is averaged, so that delays of single events in
	// the network matter less.
	spanEvents = 4
	// minSpans is the number of spans from which on a stream tells its server's speed, and maxSpans the
	// number that is kept.
	minSpans, maxSpans = 3, 32
	// spanQuantile is the quantile that is used: prompts of other requests and momentary slow periods
	// lengthen some spans.
	spanQuantile = 0.25
)

// Spans measures the gaps between the events of a stream.
type Spans struct {
	started time.Time
	count   int
	gaps    []time.Duration
}

// Add records that count events of the stream have arrived.
func (spans *Spans) Add(count int, now time.Time) {
	if spans.started.IsZero() {
		spans.started, spans.count = now, count
		return
	}
	if arrived := count - spans.count; arrived >= spanEvents {
		if len(spans.gaps) < maxSpans {
			spans.gaps = append(spans.gaps, now.Sub(spans.started)/time.Duration(arrived))
		}
		spans.started, spans.count = now, count
	}
}

// Gap returns the stream's usual gap, 0 if it was too short.
func (spans *Spans) Gap() time.Duration {
	if len(spans.gaps) < minSpans {
		return 0
	}
	slices.Sort(spans.gaps)
	return spans.gaps[int(spanQuantile*float64(len(spans.gaps)))]
}
