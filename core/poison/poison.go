// Package poison tracks suspects: requests that may crash the backend servers
// that run them. A Registry identifies a suspect by its fingerprint, and lets it run
// alone. A CrashDetector finds what the requests that crash servers have in common.
package poison

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// CrashTTL is the time for which a crash is remembered.
	CrashTTL = time.Hour
	// CrashLimit is the number of crashes at which a registry refuses a request: a
	// single request must not crash more than two engines.
	CrashLimit = 2
	// DefaultCapacity is the number of fingerprints that a registry holds.
	DefaultCapacity = 4096
	// maxCrashesPerRecord limits the crashes in a record. Two uncleared crashes are
	// enough to refuse a request; the rest leaves space for cleared ones.
	maxCrashesPerRecord = 8
)

// Verdict says how a request may be run.
type Verdict string

// The verdicts on a request.
const (
	// Shared: the request may share an engine with other requests.
	Shared Verdict = "free"
	// Exclusive: the request may only run on an engine that runs nothing else.
	Exclusive Verdict = "alone"
	// Refused: the request must not be run again.
	Refused Verdict = "refuse"
)

// Crash is a crash of an engine while it ran a request.
type Crash struct {
	// ID identifies the crash. All requests that ran on the engine record the
	// same ID.
	ID uint64    `cbor:"id"`
	At time.Time `cbor:"at"`
	// Cleared is set if the request was found not to be the cause.
	Cleared bool `cbor:"cleared"`
}

// Record holds the crashes recorded for one fingerprint. Hosts exchange records.
type Record struct {
	Fingerprint uint64  `cbor:"fingerprint"`
	Crashes     []Crash `cbor:"crashes"`
}

// Options configures a registry.
type Options struct {
	// Capacity is the maximum number of fingerprints. 0 means DefaultCapacity.
	Capacity int
}

// Registry holds the suspects known to a host. It is safe for concurrent use.
type Registry struct {
	mutex    sync.Mutex
	capacity int
	records  map[uint64]*Record
	claims   map[uint64]claim
}

// New returns an empty registry.
func New(options Options) *Registry {
	if options.Capacity <= 0 {
		options.Capacity = DefaultCapacity
	}
	return &Registry{
		capacity: options.Capacity,
		records:  make(map[uint64]*Record),
		claims:   make(map[uint64]claim),
	}
}

// Verdict returns how a request with the given fingerprint may be run.
// Fingerprint 0 means that the request has none.
func (registry *Registry) Verdict(fingerprint uint64) Verdict {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.verdict(fingerprint)
}

func (registry *Registry) verdict(fingerprint uint64) Verdict {
	record := registry.records[fingerprint]
	if record == nil {
		return Shared
	}
	record.dropExpired(time.Now())
	switch count := record.suspectedCrashes(); {
	case count >= CrashLimit:
		return Refused
	case count > 0:
		return Exclusive
	}
	return Shared
}

// Crash records that an engine crashed while it ran the request. If the request
// reaches the crash limit, it counts as the cause of its crashes, and the other
// requests that ran on those engines are cleared of them. Crash returns the
// changed records, which are to be sent to the peers.
func (registry *Registry) Crash(fingerprint, id uint64) []Record {
	if fingerprint == 0 {
		return nil
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	crash := Crash{ID: id, At: time.Now()}
	registry.merge(Record{Fingerprint: fingerprint, Crashes: []Crash{crash}})
	record := registry.records[fingerprint]
	if record == nil {
		return nil
	}
	changed := []Record{record.clone()}
	if record.suspectedCrashes() >= CrashLimit {
		changed = append(changed, registry.clearSharedCrashes(record)...)
	}
	return changed
}

// clearSharedCrashes clears all other suspects of the crashes that cause is
// suspected of. Records at the crash limit stay as they are.
func (registry *Registry) clearSharedCrashes(cause *Record) []Record {
	var changed []Record
	for _, record := range registry.records {
		if record == cause || record.suspectedCrashes() >= CrashLimit {
			continue
		}
		cleared := record.clearMatching(func(crash Crash) bool { return cause.hasSuspectedCrash(crash.ID) })
		if cleared {
			changed = append(changed, record.clone())
		}
	}
	return changed
}

// Clear records that the request ran to completion, and so did not cause the
// crashes recorded so far. It returns the record and whether it changed. A request
// at the crash limit is not cleared.
func (registry *Registry) Clear(fingerprint uint64) (Record, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	record := registry.records[fingerprint]
	if record == nil || record.suspectedCrashes() >= CrashLimit {
		return Record{}, false
	}
	changed := record.clearMatching(func(Crash) bool { return true })
	return record.clone(), changed
}

// Merge adds the records of another host and reports whether this changed
// anything. Merging is commutative, associative and idempotent: the crashes form a
// set, and a cleared crash stays cleared.
func (registry *Registry) Merge(records []Record) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	changed := false
	for _, record := range records {
		changed = registry.merge(record) || changed
	}
	return changed
}

// merge adds a single record. The caller must hold the mutex.
func (registry *Registry) merge(incoming Record) bool {
	now := time.Now()
	incoming = incoming.clone()
	incoming.dropExpired(now)
	if len(incoming.Crashes) == 0 {
		return false
	}
	record := registry.records[incoming.Fingerprint]
	if record == nil {
		registry.evict(now)
		record = &Record{Fingerprint: incoming.Fingerprint}
		registry.records[incoming.Fingerprint] = record
	}
	changed := false
	for _, crash := range incoming.Crashes {
		changed = record.add(crash) || changed
	}
	return changed
}

// evict makes space in a full registry: it removes the expired records or, if there
// are none, the record with the fewest suspected crashes, and of these the one
// whose latest crash is oldest.
func (registry *Registry) evict(now time.Time) {
	if len(registry.records) < registry.capacity {
		return
	}
	var least *Record
	for fingerprint, record := range registry.records {
		record.dropExpired(now)
		if len(record.Crashes) == 0 {
			delete(registry.records, fingerprint)
			continue
		}
		if least == nil || record.evictBefore(least) {
			least = record
		}
	}
	if len(registry.records) >= registry.capacity {
		delete(registry.records, least.Fingerprint)
	}
}

// Records returns a copy of all records, for the initial sync of a peer.
func (registry *Registry) Records() []Record {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	now := time.Now()
	records := make([]Record, 0, len(registry.records))
	for _, record := range registry.records {
		record.dropExpired(now)
		if len(record.Crashes) > 0 {
			records = append(records, record.clone())
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return records
}

// Size returns the number of records, including those whose crashes have expired.
func (registry *Registry) Size() int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return len(registry.records)
}

// add inserts a crash into the set, which is sorted by ID, and reports whether the
// set changed. Duplicates are merged: the earlier time is kept, and the crash is
// cleared if either copy is.
func (record *Record) add(crash Crash) bool {
	position, found := slices.BinarySearchFunc(record.Crashes, crash.ID, func(known Crash, id uint64) int {
		return cmp.Compare(known.ID, id)
	})
	if !found {
		record.Crashes = slices.Insert(record.Crashes, position, crash)
		return !record.trim(crash.ID)
	}
	known := &record.Crashes[position]
	before := *known
	known.Cleared = known.Cleared || crash.Cleared
	if crash.At.Before(known.At) {
		known.At = crash.At
	}
	return known.Cleared != before.Cleared || !known.At.Equal(before.At)
}

// trim removes the crash with the lowest ID from a record that is over its limit,
// and reports whether that was the given crash. As the choice depends on the ID
// alone, all hosts remove the same crash regardless of merge order.
func (record *Record) trim(id uint64) bool {
	if len(record.Crashes) <= maxCrashesPerRecord {
		return false
	}
	dropped := record.Crashes[0].ID
	record.Crashes = slices.Delete(record.Crashes, 0, 1)
	return dropped == id
}

// dropExpired removes the crashes that are older than CrashTTL.
func (record *Record) dropExpired(now time.Time) {
	record.Crashes = slices.DeleteFunc(record.Crashes, func(crash Crash) bool {
		return now.Sub(crash.At) >= CrashTTL
	})
}

// suspectedCrashes returns the number of uncleared crashes.
func (record *Record) suspectedCrashes() int {
	count := 0
	for _, crash := range record.Crashes {
		if !crash.Cleared {
			count++
		}
	}
	return count
}

// hasSuspectedCrash reports whether the record holds the given crash uncleared.
func (record *Record) hasSuspectedCrash(id uint64) bool {
	return slices.ContainsFunc(record.Crashes, func(crash Crash) bool { return crash.ID == id && !crash.Cleared })
}

// clearMatching clears the matching crashes, and reports whether any of them was
// uncleared.
func (record *Record) clearMatching(match func(Crash) bool) bool {
	changed := false
	for index := range record.Crashes {
		crash := &record.Crashes[index]
		if !crash.Cleared && match(*crash) {
			crash.Cleared = true
			changed = true
		}
	}
	return changed
}

// evictBefore reports whether a record is evicted before another one.
func (record *Record) evictBefore(other *Record) bool {
	order := cmp.Or(cmp.Compare(record.suspectedCrashes(), other.suspectedCrashes()), record.latestCrash().Compare(other.latestCrash()))
	return order < 0
}

// latestCrash returns the time of the latest crash.
func (record *Record) latestCrash() time.Time {
	var latest time.Time
	for _, crash := range record.Crashes {
		if crash.At.After(latest) {
			latest = crash.At
		}
	}
	return latest
}

func (record *Record) clone() Record {
	return Record{Fingerprint: record.Fingerprint, Crashes: slices.Clone(record.Crashes)}
}
