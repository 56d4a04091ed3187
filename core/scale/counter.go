package scale

import (
	"maps"
	"sync"
)

// Counter counts the demand that the local host sees, by service. It is safe for concurrent use.
type Counter struct {
	mutex    sync.Mutex
	services map[string]Counters
}

// NewCounter returns a Counter.
func NewCounter() *Counter { return &Counter{services: make(map[string]Counters)} }

// Add counts demand for a service.
func (counter *Counter) Add(service string, counted Counters) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.services[service] = counter.services[service].plus(counted, 1)
}

// Counters returns what has been counted since the start.
func (counter *Counter) Counters() map[string]Counters {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	return maps.Clone(counter.services)
}
