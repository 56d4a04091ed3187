package event

import (
	"sync"
	"time"
)

const (
	// DefaultLinesPerSecond is the maximum number of lines per second that a host
	// writes for each event. The two-year target averages about 70 requests/s per
	// host, with two lines for each request.
	DefaultLinesPerSecond = 600
	// outcomeFactor is by how much more lines are written of an event that ends requests: a request whose
	// start was logged must not lack its end because attempts and refusals are many.
	outcomeFactor = 4
	// limitWindow is the length of the window in which lines are counted.
	limitWindow = time.Second
)

// limiter limits the log lines of each event, so that a frequent event doesn't crowd
// out the others.
type limiter struct {
	mutex sync.Mutex
	// maxLines is the maximum number of lines per event and window. 0 means no limit.
	maxLines int
	windows  map[string]*window
	// outcomes counts the suppressed and dropped lines of events that end requests. Lines is 0 in its keys.
	outcomes map[SuppressedOutcomes]int
}

// window counts the lines of an event.
type window struct {
	startedAt  time.Time
	lines      int
	suppressed int
}

// allow counts a line and reports whether it can be written.
func (limiter *limiter) allow(event Event, now time.Time) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if limiter.maxLines <= 0 {
		return true
	}
	if event.EndsRequest() {
		if !limiter.count(event.Name, limiter.maxLines*outcomeFactor, now) {
			limiter.addOutcome(event.Name, ByLimit, now)
			return false
		}
		return true
	}
	if !limiter.count(event.Name, limiter.maxLines, now) {
		limiter.windows[event.Name].suppressed++
		return false
	}
	return true
}

// count counts a line and reports whether it is one of the first maxLines in its window. The caller holds the
// mutex.
func (limiter *limiter) count(event string, maxLines int, now time.Time) bool {
	current := limiter.windows[event]
	if current == nil {
		current = &window{startedAt: now}
		limiter.windows[event] = current
	}
	if now.Sub(current.startedAt) >= limitWindow {
		current.startedAt, current.lines = now, 0
	}
	current.lines++
	return current.lines <= maxLines
}

// takeSuppressed returns the number of suppressed lines by event name, except those on
// outcomes, and resets the counts.
func (limiter *limiter) takeSuppressed() map[string]int {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	suppressed := map[string]int{}
	for event, current := range limiter.windows {
		if current.suppressed > 0 {
			suppressed[event] = current.suppressed
			current.suppressed = 0
		}
	}
	return suppressed
}
