package event

import (
	"sync"
	"time"
)

const (
	// DefaultPerSecond is the number of lines of one event that a host writes in
	// a second. The two-year target needs some 70 requests a second on a host at
	// the mean, with two lines each.
	DefaultPerSecond = 600
	// limitWindow is the time over which lines are counted.
	limitWindow = time.Second
)

// limiter bounds the lines of each event, so that one that comes too often does
// not push the others out of the log.
type limiter struct {
	mutex sync.Mutex
	// most is the number of lines of one event in a window; 0: any.
	most    int
	windows map[string]*window
}

// window counts the lines of one event.
type window struct {
	began      time.Time
	lines      int
	suppressed int
}

// allow counts a line and reports whether it may be written.
func (limiter *limiter) allow(event string, now time.Time) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if limiter.most <= 0 {
		return true
	}
	current := limiter.windows[event]
	if current == nil {
		current = &window{began: now}
		limiter.windows[event] = current
	}
	if now.Sub(current.began) >= limitWindow {
		current.began, current.lines = now, 0
	}
	current.lines++
	if current.lines > limiter.most {
		current.suppressed++
		return false
	}
	return true
}

// take returns the lines suppressed by event since the last call.
func (limiter *limiter) take() map[string]int {
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
