package roster

import (
	"sync"
	"time"
)

// peakHold is how long a peak counts after it was observed. Callers keep lists of
// addresses for seconds, so the entry hosts must not change with each wave of requests.
const peakHold = 10 * time.Second

// Peak holds the highest of the values that were observed in the last peakHold. It is
// safe for concurrent use.
type Peak struct {
	mutex   sync.Mutex
	highest int
	since   time.Time
}

// Observe records a value and returns the peak.
func (peak *Peak) Observe(value int, now time.Time) int {
	peak.mutex.Lock()
	defer peak.mutex.Unlock()
	if value >= peak.highest || now.Sub(peak.since) >= peakHold {
		peak.highest, peak.since = value, now
	}
	return peak.highest
}
