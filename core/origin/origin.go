// Package origin tracks at which software version of its servers each stream began. What
// two versions write does not fit together, so a stream that was broken off goes on only at
// the version that began it. Its caller may take it up at any host, so hosts tell each
// other.
package origin

import (
	"context"
	"math"
	"slices"
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

// Report tells another host where a stream began. An older build sends and reads the first four fields.
type Report struct {
	// Key is the hash of the ID of the request that brought the first event.
	Key     uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Version string `cbor:"3,keyasint"`
	// LeftMs is how long the stream is still to be remembered.
	LeftMs int64 `cbor:"4,keyasint"`
	// Workspace is the tag of the caller's workspace; 0: an older build does not say it.
	Workspace uint16 `cbor:"5,keyasint,omitempty"`
	// Concluded: no host has seen the stream begin there, but it can't have begun elsewhere.
	Concluded bool `cbor:"6,keyasint,omitempty"`
}

// Registry holds the origins of streams. It is safe for concurrent use.
type Registry struct {
	mutex sync.Mutex
	// streams holds the streams by the hash of the ID. Callers choose IDs, so that several streams may have
	// the same one.
	streams map[uint64][]*stream
	size    int
	// untold holds own streams that the other hosts have not been told of.
	untold []*stream
	// waiters holds those who wait for the origin of a stream, by key and name.
	waiters map[uint64]map[name]*waiter
	sweepAt time.Time
}

// name is what callers name a stream by.
type name struct {
	// key is the hash of the ID of the request that brought the first event.
	key uint64
	// workspace is the tag of the caller's workspace; 0: it is not known.
	workspace uint16
}

// mayBe reports whether both may name the same stream.
func (one name) mayBe(other name) bool {
	return one.key == other.key && (one.workspace == other.workspace || one.workspace == 0 || other.workspace == 0)
}

// stream is a remembered stream.
type stream struct {
	name
	origin    Origin
	expiresAt time.Time
	// isOwn is set if the stream began at this host or was taken up here, unwritten if also its origin is not
	// known to be in the store.
	isOwn, unwritten bool
	// concluded is set if no host is known to have seen the stream begin.
	concluded bool
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
	return &Registry{streams: make(map[uint64][]*stream), waiters: make(map[uint64]map[name]*waiter)}
}

// Key returns the key of the stream whose first event a request brought.
func Key(requestID string) uint64 { return xxhash.Sum64String(requestID) }

// nameOf returns the name of a stream. The tag of a workspace may be that of another one: of the streams
// with one name and different origins none is taken up.
func nameOf(workspace, requestID string) name {
	return name{key: Key(requestID), workspace: uint16(1 + xxhash.Sum64String(workspace)%math.MaxUint16)}
}

// Record records where a stream began that this host relays. The caller waits for it until
// the deadline.
func (registry *Registry) Record(workspace, requestID string, origin Origin, deadline, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.sweep(now)
	added := registry.add(stream{name: nameOf(workspace, requestID), origin: origin, expiresAt: expiry(deadline.Sub(now)+takeUpGrace, now), isOwn: true, unwritten: true}, now)
	registry.tell(added)
}

// Extend makes a stream be remembered until the deadline of another attempt of its caller, at the other hosts, too.
func (registry *Registry) Extend(workspace, requestID string, deadline, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	wanted, expiresAt := nameOf(workspace, requestID), expiry(deadline.Sub(now)+takeUpGrace, now)
	for _, known := range registry.streams[wanted.key] {
		if !known.mayBe(wanted) || now.After(known.expiresAt) || !expiresAt.After(known.expiresAt) {
			continue
		}
		known.expiresAt = expiresAt
		if known.concluded {
			continue
		}
		known.isOwn, known.unwritten = true, true
		registry.tell(known)
	}
}

// tell makes the other hosts be told of a stream. The mutex is held.
func (registry *Registry) tell(known *stream) {
	if len(registry.untold) < maxStreams {
		registry.untold = append(registry.untold, known)
	}
}

// Conclude remembers where a stream must have begun, unless that is known by now: then it returns what is
// known. A conclusion is told to other hosts only as such, and gives way to what they report. Nothing is
// concluded of an ambiguous name.
func (registry *Registry) Conclude(workspace, requestID string, origin Origin, deadline, now time.Time) (Origin, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.sweep(now)
	wanted := nameOf(workspace, requestID)
	known := registry.origins(wanted, now)
	if len(known) == 0 {
		registry.add(stream{name: wanted, origin: origin, expiresAt: expiry(deadline.Sub(now)+takeUpGrace, now), concluded: true}, now)
	}
	return single(known)
}

// expiry returns when a stream is forgotten that is to be remembered for a lifetime.
func expiry(lifetime time.Duration, now time.Time) time.Time {
	return now.Add(min(lifetime, maxLifetime))
}

// add remembers a stream, and returns it. What is known takes the place of what was concluded; other streams
// with the same name stay. The mutex is held.
func (registry *Registry) add(added stream, now time.Time) *stream {
	registry.remove(added.key, func(known *stream) bool {
		return now.After(known.expiresAt) || known.concluded && !added.concluded && known.mayBe(added.name) && known.origin != added.origin
	})
	registry.wake(added.name)
	for _, known := range registry.streams[added.key] {
		if known.name == added.name && known.origin == added.origin {
			known.merge(added)
			return known
		}
	}
	if registry.size >= maxStreams {
		registry.evict()
	}
	registry.streams[added.key] = append(registry.streams[added.key], &added)
	registry.size++
	return &added
}

// merge adds what else is known of a stream.
func (known *stream) merge(added stream) {
	known.isOwn, known.unwritten = known.isOwn || added.isOwn, known.unwritten || added.unwritten
	known.concluded = known.concluded && added.concluded
	if added.expiresAt.After(known.expiresAt) {
		known.expiresAt = added.expiresAt
	}
}

// wake ends the waits for the origin of a stream. The mutex is held.
func (registry *Registry) wake(known name) {
	for waited, waiter := range registry.waiters[known.key] {
		if waited.mayBe(known) {
			close(waiter.known)
			registry.removeWaiter(waited)
		}
	}
}

// removeWaiter ends the wait for a name. The mutex is held.
func (registry *Registry) removeWaiter(waited name) {
	delete(registry.waiters[waited.key], waited)
	if len(registry.waiters[waited.key]) == 0 {
		delete(registry.waiters, waited.key)
	}
}

// remove forgets some of the streams with a key. The mutex is held.
func (registry *Registry) remove(key uint64, mustGo func(known *stream) bool) {
	before := len(registry.streams[key])
	kept := slices.DeleteFunc(registry.streams[key], mustGo)
	registry.size -= before - len(kept)
	if len(kept) == 0 {
		delete(registry.streams, key)
		return
	}
	registry.streams[key] = kept
}

// evict forgets the streams with any one ID. The mutex is held.
func (registry *Registry) evict() {
	for key := range registry.streams {
		registry.remove(key, func(*stream) bool { return true })
		return
	}
}

// sweep forgets the streams that nobody can take up any more. The mutex is held.
func (registry *Registry) sweep(now time.Time) {
	if now.Before(registry.sweepAt) {
		return
	}
	registry.sweepAt = now.Add(sweepInterval)
	for key := range registry.streams {
		registry.remove(key, func(known *stream) bool { return now.After(known.expiresAt) })
	}
}

// Size returns the number of streams that are remembered.
func (registry *Registry) Size() int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.size
}

// LookUp returns where a stream of a workspace began, and false if it is not known or ambiguous.
func (registry *Registry) LookUp(workspace, requestID string, now time.Time) (Origin, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return single(registry.origins(nameOf(workspace, requestID), now))
}

// IsAmbiguous reports whether streams of a workspace with the same ID began at different origins.
func (registry *Registry) IsAmbiguous(workspace, requestID string, now time.Time) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return len(registry.origins(nameOf(workspace, requestID), now)) > 1
}

// origins returns the different origins of the streams with a name. The mutex is held.
func (registry *Registry) origins(wanted name, now time.Time) []Origin {
	var origins []Origin
	for _, known := range registry.streams[wanted.key] {
		if known.mayBe(wanted) && !now.After(known.expiresAt) && !slices.Contains(origins, known.origin) {
			origins = append(origins, known.origin)
		}
	}
	return origins
}

// single returns the only one of some origins, and false if it is not the only one.
func single(origins []Origin) (Origin, bool) {
	if len(origins) != 1 {
		return Origin{}, false
	}
	return origins[0], true
}

// Ask asks the other hosts where a stream began and waits for an answer. Question sends the
// question. Patience is how much longer it waits, as the host that began the stream may learn later
// at which process that was. It returns false if nobody knows, if the name is ambiguous, or if the context ends.
func (registry *Registry) Ask(ctx context.Context, workspace, requestID string, patience time.Duration, question func(key uint64)) (Origin, bool) {
	wanted := nameOf(workspace, requestID)
	for number := range questions {
		known := registry.wait(wanted)
		question(wanted.key)
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
		registry.leave(wanted)
		origin, found := registry.LookUp(workspace, requestID, time.Now())
		if found || ctx.Err() != nil || registry.IsAmbiguous(workspace, requestID, time.Now()) {
			return origin, found
		}
	}
	return Origin{}, false
}

// wait returns a channel that is closed when the origin of a stream becomes known.
func (registry *Registry) wait(wanted name) <-chan struct{} {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	found := registry.waiters[wanted.key][wanted]
	if found == nil {
		found = &waiter{known: make(chan struct{})}
		if registry.waiters[wanted.key] == nil {
			registry.waiters[wanted.key] = make(map[name]*waiter)
		}
		registry.waiters[wanted.key][wanted] = found
	}
	found.waiting++
	return found.known
}

// leave ends a wait.
func (registry *Registry) leave(wanted name) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	found := registry.waiters[wanted.key][wanted]
	if found == nil {
		return
	}
	found.waiting--
	if found.waiting <= 0 {
		registry.removeWaiter(wanted)
	}
}

// TakeReports returns the reports for the other hosts, split into messages. Each is returned
// once.
func (registry *Registry) TakeReports(now time.Time) [][]Report {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	reports := reportsOf(registry.untold, now)
	registry.untold = nil
	var messages [][]Report
	for len(reports) > 0 {
		size := min(len(reports), maxReports)
		messages = append(messages, reports[:size])
		reports = reports[size:]
	}
	return messages
}

// Answer returns the reports of the streams that another host asks about, of all workspaces.
func (registry *Registry) Answer(keys []uint64, now time.Time) []Report {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	var reports []Report
	for _, key := range keys[:min(len(keys), maxReports)] {
		reports = append(reports, reportsOf(registry.streams[key], now)...)
	}
	return reports[:min(len(reports), maxReports)]
}

// reportsOf returns the reports of those among some streams that are still to be remembered.
func reportsOf(streams []*stream, now time.Time) []Report {
	var reports []Report
	for _, known := range streams {
		if left := known.expiresAt.Sub(now); left > 0 {
			reports = append(reports, Report{
				Key: known.key, Service: known.origin.Service, Version: known.origin.Version, LeftMs: left.Milliseconds(),
				Workspace: known.workspace, Concluded: known.concluded,
			})
		}
	}
	return reports
}

// Apply remembers what another host reports. It returns the number of reports that contradict what
// was known: then there are several streams with one name, unless that was a conclusion.
func (registry *Registry) Apply(reports []Report, now time.Time) (conflicts int) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.sweep(now)
	for _, report := range reports {
		lifetime := time.Duration(report.LeftMs) * time.Millisecond
		if lifetime <= 0 {
			continue
		}
		reported := Origin{Service: report.Service, Version: report.Version}
		told := name{key: report.Key, workspace: report.Workspace}
		known := registry.origins(told, now)
		if len(known) > 0 && !slices.Contains(known, reported) {
			conflicts++
		}
		if report.Concluded && len(known) > 0 {
			continue
		}
		registry.add(stream{name: told, origin: reported, expiresAt: expiry(lifetime, now), concluded: report.Concluded}, now)
	}
	return conflicts
}
