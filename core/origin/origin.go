// Package origin tracks at which software version of its servers each stream began. What
// two versions write does not fit together, so a stream that was broken off goes on only at
// the version that began it. Its caller may take it up at any host, so hosts tell each
// other.
package origin

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// takeUpGrace is how much longer than its caller waits a stream is remembered.
	takeUpGrace = 2 * time.Second
	// maxLifetime limits how long a stream is remembered.
	maxLifetime = 10 * time.Minute
	// maxStreams limits the number of streams that are remembered.
	maxStreams = 1 << 16
	// maxReports limits the reports of one message.
	maxReports = 32
	// questions is how often the other hosts are asked about a stream, and answerTimeout how
	// long an answer may take.
	questions     = 2
	answerTimeout = 100 * time.Millisecond
	// sweepInterval is the time between two removals of streams that have ended.
	sweepInterval = time.Second
)

// Origin is where a stream began. It is kept outside the hosts as JSON.
type Origin struct {
	Service string `json:"service"`
	// Version is the version of the server's software.
	Version string `json:"version"`
}

// Report tells another host where a stream began.
type Report struct {
	// Key is the hash of the ID of the request that brought the first event.
	Key     uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint"`
	// LeftMs is how long the stream is still to be remembered.
	LeftMs int64 `cbor:"4,keyasint"`
}

// Registry holds the origins of streams. It is safe for concurrent use.
type Registry struct {
	mutex   sync.Mutex
	streams map[uint64]stream
	// untold holds the keys of own streams that the other hosts have not been told of.
	untold []uint64
	// waiters holds those who wait for the origin of a stream, by key.
	waiters map[uint64]*waiter
	sweepAt time.Time
}

// stream is a remembered stream.
type stream struct {
	origin    Origin
	expiresAt time.Time
	// isOwn is set if the stream began at this host, unwritten if also its origin is not known to be
	// in the store.
	isOwn, unwritten bool
}

// waiter is shared by those who wait for the origin of a stream.
type waiter struct {
	// known is closed when the origin becomes known.
	known chan struct{}
	// waiting is the number of those who wait.
	waiting int
}

// New returns a registry that knows no streams.
func New() *Registry {
	return &Registry{streams: make(map[uint64]stream), waiters: make(map[uint64]*waiter)}
}

// Key returns the key of the stream whose first event a request brought.
func Key(requestID string) uint64 { return xxhash.Sum64String(requestID) }

// Record records where a stream began that this host relays. The caller waits for it until
// the deadline.
func (registry *Registry) Record(requestID string, origin Origin, deadline, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	key := Key(requestID)
	registry.add(key, stream{origin: origin, expiresAt: expiry(deadline.Sub(now)+takeUpGrace, now), isOwn: true, unwritten: true}, now)
	if len(registry.untold) < maxStreams {
		registry.untold = append(registry.untold, key)
	}
}

// Conclude remembers where a stream must have begun, unless that is known by now: then it returns what is
// known. A conclusion is not told to the other hosts, and gives way to what they report.
func (registry *Registry) Conclude(requestID string, origin Origin, deadline, now time.Time) (Origin, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	key := Key(requestID)
	if known, found := registry.streams[key]; found && !now.After(known.expiresAt) {
		return known.origin, true
	}
	registry.add(key, stream{origin: origin, expiresAt: expiry(deadline.Sub(now)+takeUpGrace, now)}, now)
	return Origin{}, false
}

// expiry returns when a stream is forgotten that is to be remembered for a lifetime.
func expiry(lifetime time.Duration, now time.Time) time.Time {
	return now.Add(min(lifetime, maxLifetime))
}

// add remembers a stream. The mutex is held.
func (registry *Registry) add(key uint64, added stream, now time.Time) {
	registry.sweep(now)
	if _, known := registry.streams[key]; !known && len(registry.streams) >= maxStreams {
		registry.evict()
	}
	known := registry.streams[key]
	added.isOwn, added.unwritten = added.isOwn || known.isOwn, added.unwritten || known.unwritten
	registry.streams[key] = added
	if waiter := registry.waiters[key]; waiter != nil {
		close(waiter.known)
		delete(registry.waiters, key)
	}
}

// evict forgets any one stream. The mutex is held.
func (registry *Registry) evict() {
	for key := range registry.streams {
		delete(registry.streams, key)
		return
	}
}

// sweep forgets the streams that nobody can take up any more. The mutex is held.
func (registry *Registry) sweep(now time.Time) {
	if now.Before(registry.sweepAt) {
		return
	}
	registry.sweepAt = now.Add(sweepInterval)
	for key, stream := range registry.streams {
		if now.After(stream.expiresAt) {
			delete(registry.streams, key)
		}
	}
}

// Size returns the number of streams that are remembered.
func (registry *Registry) Size() int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return len(registry.streams)
}

// LookUp returns where a stream began, and false if it is not known.
func (registry *Registry) LookUp(requestID string, now time.Time) (Origin, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	stream, known := registry.streams[Key(requestID)]
	return stream.origin, known && !now.After(stream.expiresAt)
}

// Ask asks the other hosts where a stream began and waits for an answer. Question sends the
// question. Patience is how much longer it waits, as the host that began the stream may learn later
// at which process that was. It returns false if nobody knows, or if the context ends.
func (registry *Registry) Ask(ctx context.Context, requestID string, patience time.Duration, question func(key uint64)) (Origin, bool) {
	key := Key(requestID)
	for number := range questions {
		known := registry.wait(key)
		question(key)
		timeout := answerTimeout
		if number == questions-1 {
			timeout += patience
		}
		timer := time.NewTimer(timeout)
		select {
		case <-known:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		registry.leave(key)
		if origin, found := registry.LookUp(requestID, time.Now()); found || ctx.Err() != nil {
			return origin, found
		}
	}
	return Origin{}, false
}

// wait returns a channel that is closed when the origin of a stream becomes known.
func (registry *Registry) wait(key uint64) <-chan struct{} {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	found := registry.waiters[key]
	if found == nil {
		found = &waiter{known: make(chan struct{})}
		registry.waiters[key] = found
	}
	found.waiting++
	return found.known
}

// leave ends a wait.
func (registry *Registry) leave(key uint64) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	found := registry.waiters[key]
	if found == nil {
		return
	}
	found.waiting--
	if found.waiting <= 0 {
		delete(registry.waiters, key)
	}
}

// TakeReports returns the reports for the other hosts, split into messages. Each is returned
// once.
func (registry *Registry) TakeReports(now time.Time) [][]Report {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	reports := registry.reports(registry.untold, now)
	registry.untold = nil
	var messages [][]Report
	for len(reports) > 0 {
		size := min(len(reports), maxReports)
		messages = append(messages, reports[:size])
		reports = reports[size:]
	}
	return messages
}

// Answer returns the reports of the streams that another host asks about.
func (registry *Registry) Answer(keys []uint64, now time.Time) []Report {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.reports(keys[:min(len(keys), maxReports)], now)
}

// reports returns the reports of the known ones among some streams. The mutex is held.
func (registry *Registry) reports(keys []uint64, now time.Time) []Report {
	var reports []Report
	for _, key := range keys {
		stream, known := registry.streams[key]
		if left := stream.expiresAt.Sub(now); known && left > 0 {
			reports = append(reports, Report{Key: key, Service: stream.origin.Service, Version: stream.origin.Version, LeftMs: left.Milliseconds()})
		}
	}
	return reports
}

// Apply remembers what another host reports. It returns the number of reports that contradict what
// was known; what this host has recorded itself stays.
func (registry *Registry) Apply(reports []Report, now time.Time) (conflicts int) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, report := range reports {
		lifetime := time.Duration(report.LeftMs) * time.Millisecond
		if lifetime <= 0 {
			continue
		}
		reported := Origin{Service: report.Service, Version: report.Version}
		if known, found := registry.streams[report.Key]; found && known.origin != reported && !now.After(known.expiresAt) {
			conflicts++
			if known.isOwn {
				continue
			}
		}
		registry.add(report.Key, stream{origin: reported, expiresAt: expiry(lifetime, now)}, now)
	}
	return conflicts
}
