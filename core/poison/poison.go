// Package poison keeps track of requests that may crash the backend servers
// that run them. A suspect is known by its fingerprint.
package poison

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// Life is the time after which a crash is forgotten.
	Life = time.Hour
	// RefusedFrom is the number of crashes from which a request is refused unless
	// the options say otherwise: no request may cost more than two engines.
	RefusedFrom = 2
	// DefaultCapacity is the number of fingerprints that a registry holds.
	DefaultCapacity = 4096
	// crashesPerRecord bounds a record. Two crashes that are not cleared decide,
	// the rest is room for cleared ones.
	crashesPerRecord = 8
)

// Verdict says how a request may be run.
type Verdict string

// The verdicts.
const (
	// Free: the request may share an engine.
	Free Verdict = "free"
	// Alone: the request may run only on an engine that runs nothing else.
	Alone Verdict = "alone"
	// Refuse: the request is not run again.
	Refuse Verdict = "refuse"
)

// Crash is the loss of one engine while it ran a request.
type Crash struct {
	// ID identifies the loss. All requests on the engine record the same one.
	ID uint64    `cbor:"id"`
	At time.Time `cbor:"at"`
	// Cleared: the request was found not to be the cause.
	Cleared bool `cbor:"cleared"`
}

// Record is what is known about one fingerprint. Hosts exchange records.
type Record struct {
	Fingerprint uint64  `cbor:"fingerprint"`
	Crashes     []Crash `cbor:"crashes"`
}

// Options configures a registry.
type Options struct {
	// Capacity is the number of fingerprints kept; 0: DefaultCapacity.
	Capacity int
	// RefusedFrom is the number of crashes from which a request is refused; 0:
	// the default.
	RefusedFrom int
}

// Registry holds the suspects that a host knows. It is safe for concurrent use.
type Registry struct {
	mutex       sync.Mutex
	capacity    int
	refusedFrom int
	records     map[uint64]*Record
	claims      map[uint64]claim
}

// New returns an empty registry.
func New(options Options) *Registry {
	if options.Capacity <= 0 {
		options.Capacity = DefaultCapacity
	}
	if options.RefusedFrom <= 0 {
		options.RefusedFrom = RefusedFrom
	}
	return &Registry{
		capacity:    options.Capacity,
		refusedFrom: options.RefusedFrom,
		records:     make(map[uint64]*Record),
		claims:      make(map[uint64]claim),
	}
}

// Verdict says how a request with the fingerprint may be run. Fingerprint 0
// stands for a request without one.
func (registry *Registry) Verdict(fingerprint uint64) Verdict {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.verdict(fingerprint)
}

func (registry *Registry) verdict(fingerprint uint64) Verdict {
	record := registry.records[fingerprint]
	if record == nil {
		return Free
	}
	record.expire(time.Now())
	switch count := record.count(); {
	case count >= registry.refusedFrom:
		return Refuse
	case count > 0:
		return Alone
	}
	return Free
}

// Crash records that an engine was lost while it ran the request. When that
// makes the request the known cause, the requests that only shared its engines
// are cleared of those losses. The changed records are returned for the peers.
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
	if record.count() >= registry.refusedFrom {
		changed = append(changed, registry.explain(record)...)
	}
	return changed
}

// explain clears all other records of the crashes that a cause accounts for.
func (registry *Registry) explain(cause *Record) []Record {
	var changed []Record
	for _, record := range registry.records {
		if record == cause || record.count() >= registry.refusedFrom {
			continue
		}
		cleared := record.clear(func(crash Crash) bool { return cause.blames(crash.ID) })
		if cleared {
			changed = append(changed, record.clone())
		}
	}
	return changed
}

// Clear records that the request ran to its end, so that it is not the cause of
// the losses recorded so far. It reports whether anything changed.
func (registry *Registry) Clear(fingerprint uint64) (Record, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	record := registry.records[fingerprint]
	if record == nil || record.count() >= registry.refusedFrom {
		return Record{}, false
	}
	changed := record.clear(func(Crash) bool { return true })
	return record.clone(), changed
}

// Merge takes records of another host and reports whether any was new. Merging
// is commutative, associative and idempotent: crashes are a set, and a crash
// once cleared stays cleared.
func (registry *Registry) Merge(records []Record) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	changed := false
	for _, record := range records {
		changed = registry.merge(record) || changed
	}
	return changed
}

// merge takes one record.
func (registry *Registry) merge(incoming Record) bool {
	now := time.Now()
	incoming = incoming.clone()
	incoming.expire(now)
	if len(incoming.Crashes) == 0 {
		return false
	}
	record := registry.records[incoming.Fingerprint]
	if record == nil {
		registry.makeRoom(now)
		record = &Record{Fingerprint: incoming.Fingerprint}
		registry.records[incoming.Fingerprint] = record
	}
	changed := false
	for _, crash := range incoming.Crashes {
		changed = record.add(crash) || changed
	}
	return changed
}

// makeRoom drops the expired records of a full registry, and if there are none
// the one that matters least: with the fewest crashes, then the oldest.
func (registry *Registry) makeRoom(now time.Time) {
	if len(registry.records) < registry.capacity {
		return
	}
	var least *Record
	for fingerprint, record := range registry.records {
		record.expire(now)
		if len(record.Crashes) == 0 {
			delete(registry.records, fingerprint)
			continue
		}
		if least == nil || record.less(least) {
			least = record
		}
	}
	if len(registry.records) >= registry.capacity {
		delete(registry.records, least.Fingerprint)
	}
}

// Records returns a copy of all records, for a peer that has none.
func (registry *Registry) Records() []Record {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	now := time.Now()
	records := make([]Record, 0, len(registry.records))
	for _, record := range registry.records {
		record.expire(now)
		if len(record.Crashes) > 0 {
			records = append(records, record.clone())
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return records
}

// Size returns the number of fingerprints known.
func (registry *Registry) Size() int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return len(registry.records)
}

// add puts a crash into the set, ordered by id, and reports whether the set
// changed. Of two copies the earlier time counts, and cleared wins.
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

// trim drops the crash with the lowest id from a record that is too long, and
// reports whether it was the given one. All hosts drop the same one, whatever
// the order of their merges.
func (record *Record) trim(id uint64) bool {
	if len(record.Crashes) <= crashesPerRecord {
		return false
	}
	dropped := record.Crashes[0].ID
	record.Crashes = slices.Delete(record.Crashes, 0, 1)
	return dropped == id
}

// expire drops the crashes that are older than Life.
func (record *Record) expire(now time.Time) {
	record.Crashes = slices.DeleteFunc(record.Crashes, func(crash Crash) bool {
		return now.Sub(crash.At) >= Life
	})
}

// count returns the number of crashes that the request is suspected of.
func (record *Record) count() int {
	count := 0
	for _, crash := range record.Crashes {
		if !crash.Cleared {
			count++
		}
	}
	return count
}

// blames reports whether the request is suspected of a crash.
func (record *Record) blames(id uint64) bool {
	return slices.ContainsFunc(record.Crashes, func(crash Crash) bool { return crash.ID == id && !crash.Cleared })
}

// clear clears the crashes that match, and reports whether there were any.
func (record *Record) clear(match func(Crash) bool) bool {
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

// less reports whether a record matters less than another.
func (record *Record) less(other *Record) bool {
	order := cmp.Or(cmp.Compare(record.count(), other.count()), record.latest().Compare(other.latest()))
	return order < 0
}

// latest returns the time of the last crash.
func (record *Record) latest() time.Time {
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
