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
}

// window counts the lines of an event.
type window struct {
	startedAt  time.Time
	lines      int
	suppressed int
}

// allow counts a line and reports whether it can be written.
func (limiter *limiter) allow(event string, now time.Time) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if limiter.maxLines <= 0 {
		return true
	}
	current := limiter.windows[event]
	if current == nil {
		current = &window{startedAt: now}
		limiter.windows[event] = current
	}
	if now.Sub(current.startedAt) >= limitWindow {
		current.startedAt, current.lines = now, 0
	}
	current.lines++
	if current.lines > limiter.maxLines {
		current.suppressed++
		return false
	}
	return true
}

// takeSuppressed returns the number of suppressed lines by event name, and resets the
// counts.
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
