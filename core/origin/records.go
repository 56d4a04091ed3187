package origin

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// recordRetention is how long a version that no server has any more stays recorded. It is
// longer than a stream lasts.
const recordRetention = 5 * time.Minute

// renewAge is how long a version has had no server whose record is written again when one comes. A host that
// removes the record has known of no server for recordRetention.
const renewAge = time.Minute

/*
Records holds the software versions of each service that are recorded in the platform's
store, where they outlive all hosts. A host that starts cannot know otherwise at which
versions streams may have begun: a version of which no server is left is in no list.

Hosts record a version when they see its first server, and remove the record when it has had
no server for recordRetention. It is safe for concurrent use.
*/
type Records struct {
	mutex   sync.Mutex
	records map[string]record
}

// record is a recorded version.
type record struct {
	origin Origin
	// usedAt is when this host last knew a server of the version, or learned of the record.
	usedAt time.Time
	// revision is the revision of the record in the store; 0: it is not known.
	revision int64
	// lost: a restored store lacks the record.
	lost bool
}

// Recorded names a record as it is in the store.
type Recorded struct {
	Name     string
	Origin   Origin
	Revision int64
}

func (record record) recorded(name string) Recorded {
	return Recorded{Name: name, Origin: record.origin, Revision: record.revision}
}

// NewRecords returns a Records without entries.
func NewRecords() *Records { return &Records{records: make(map[string]record)} }

// RecordName returns the name of the record of a version, which is the same on all hosts.
func RecordName(origin Origin) string {
	return strconv.FormatUint(xxhash.Sum64String(strconv.Quote(origin.Service)+origin.Version), 16)
}

// Put adds a record that is in the store, and reports whether it is new.
func (records *Records) Put(origin Origin, now time.Time) bool {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	name := RecordName(origin)
	if known, found := records.records[name]; found {
		known.lost = false
		records.records[name] = known
		return false
	}
	records.records[name] = record{origin: origin, usedAt: now}
	return true
}

// PutAt is Put for a record whose revision in the store is known. A newer one shows that the version is in use.
func (records *Records) PutAt(origin Origin, revision int64, now time.Time) bool {
	isNew := records.Put(origin, now)
	records.mutex.Lock()
	defer records.mutex.Unlock()
	name := RecordName(origin)
	known, found := records.records[name]
	if found && (known.lost || known.revision != revision) {
		records.records[name] = record{origin: origin, usedAt: now, revision: revision}
	}
	return isNew
}

// Remove removes the record with a name.
func (records *Records) Remove(name string) {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	delete(records.records, name)
}

// Retain removes the records that are not in the store. Those that a restored store lacks stay until they are
// written again.
func (records *Records) Retain(present func(name string) bool) {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	for name, record := range records.records {
		if !present(name) && !record.lost {
			delete(records.records, name)
		}
	}
}

// Lose keeps the records that a restored store lacks: their versions are missing until they are recorded again.
func (records *Records) Lose(present func(name string) bool) {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	for name, record := range records.records {
		if !present(name) {
			record.lost, record.revision = true, 0
			records.records[name] = record
		}
	}
}

// Versions returns the recorded versions of a service, in order.
func (records *Records) Versions(service string) []string {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	var versions []string
	for _, record := range records.records {
		if record.origin.Service == service {
			versions = append(versions, record.origin.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

// Returned returns the records of the versions that servers have now, by service, and had not for renewAge. They
// are to be written again, so that no host whose copy is old removes them as unused.
func (records *Records) Returned(current map[string][]string, now time.Time) []Recorded {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	var returned []Recorded
	for service, versions := range current {
		for _, version := range versions {
			name := RecordName(Origin{Service: service, Version: version})
			if known, found := records.records[name]; found && now.Sub(known.usedAt) > renewAge {
				returned = append(returned, known.recorded(name))
			}
		}
	}
	return returned
}

// Update takes the versions that servers have now, by service. It returns those that are to be
// recorded, and the records that are to be removed.
func (records *Records) Update(current map[string][]string, now time.Time) (missing []Origin, unused []Recorded) {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	for service, versions := range current {
		for _, version := range versions {
			used := Origin{Service: service, Version: version}
			name := RecordName(used)
			known, found := records.records[name]
			if !found {
				missing = append(missing, used)
				continue
			}
			known.usedAt = now
			records.records[name] = known
		}
	}
	lost, unused := records.lostOrUnused(now)
	return append(missing, lost...), unused
}

// lostOrUnused returns the versions whose records a restored store lacks, and the records that are to be removed. It
// forgets those that are both. The mutex is held.
func (records *Records) lostOrUnused(now time.Time) (lost []Origin, unused []Recorded) {
	for name, record := range records.records {
		isUnused := now.Sub(record.usedAt) > recordRetention
		switch {
		case isUnused && record.lost:
			delete(records.records, name)
		case isUnused:
			unused = append(unused, record.recorded(name))
		case record.lost:
			lost = append(lost, record.origin)
		}
	}
	return lost, unused
}
