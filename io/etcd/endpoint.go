package etcd

import (
	"math/rand/v2"
	"sync"
	"time"
)

// endpoint is one address of the service. After a failure it is left alone for
// a jittered, growing time; then one call tries it while the others keep off,
// so that a service that comes back meets no stampede.
type endpoint struct {
	address  string
	failures int
	until    time.Time
	trying   bool
}

// endpoints chooses among the addresses of the service.
type endpoints struct {
	mutex   sync.Mutex
	list    []*endpoint
	first   int
	random  *rand.Rand
	minimum time.Duration
	maximum time.Duration
}

// choose returns an endpoint that may be called, other than those already
// tried, or nil.
func (endpoints *endpoints) choose(tried map[*endpoint]bool) *endpoint {
	endpoints.mutex.Lock()
	defer endpoints.mutex.Unlock()
	now := time.Now()
	for step := range endpoints.list {
		index := (endpoints.first + step) % len(endpoints.list)
		endpoint := endpoints.list[index]
		if tried[endpoint] || endpoint.trying || now.Before(endpoint.until) {
			continue
		}
		endpoints.first = index
		endpoint.trying = endpoint.failures > 0
		return endpoint
	}
	return nil
}

// settle records the result of a call to an endpoint. The back-off is drawn
// from the upper half of an interval that doubles with each failure.
func (endpoints *endpoints) settle(endpoint *endpoint, failed bool) {
	endpoints.mutex.Lock()
	defer endpoints.mutex.Unlock()
	endpoint.trying = false
	if !failed {
		endpoint.failures = 0
		return
	}
	span := endpoints.maximum
	if endpoint.failures < 16 {
		span = min(endpoints.minimum<<endpoint.failures, endpoints.maximum)
	}
	endpoint.failures++
	half := span / 2
	endpoint.until = time.Now().Add(half + time.Duration(endpoints.random.Int64N(int64(half)+1)))
}
