package poison

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// expectDelayMin and expectDelayMax bound the time after which a host writes a
	// quarantine that another host is expected to write.
	expectDelayMin = time.Second
	expectDelayMax = 8 * time.Second
	// recordRetryDelay is the delay after a write that failed.
	recordRetryDelay = time.Second
)

// QuarantineRecord is a quarantine as it is kept outside the hosts, so that hosts which
// start later know it.
type QuarantineRecord struct {
	Features []uint64 `json:"features"`
	// AtMs is the time of the decision in Unix milliseconds.
	AtMs int64 `json:"at_ms"`
}

// Name identifies the record by its features.
func (record QuarantineRecord) Name() string { return recordName(record.Features) }

func recordName(features []uint64) string {
	digest := xxhash.New()
	for _, feature := range features {
		// Writes to the digest never fail.
		_, _ = digest.WriteString(strconv.FormatUint(feature, 16) + ",")
	}
	return strconv.FormatUint(digest.Sum64(), 16)
}

func newQuarantine(features []uint64, at time.Time) Quarantine {
	sorted := slices.Clone(features)
	slices.Sort(sorted)
	return Quarantine{Features: slices.Compact(sorted), At: at}
}

// quarantineRecords holds the records that this host has to write or to remove.
type quarantineRecords struct {
	// enabled is set if records are written and removed at all.
	enabled bool
	// writeAt is when a record that is not known to exist is to be written.
	writeAt map[string]time.Time
	pending map[string]Quarantine
	remove  []string
}

func newQuarantineRecords(enabled bool) quarantineRecords {
	return quarantineRecords{enabled: enabled, writeAt: make(map[string]time.Time), pending: make(map[string]Quarantine)}
}

// add schedules records to be written: own decisions at once, others later, unless another
// host writes them first.
func (records *quarantineRecords) add(quarantines []Quarantine, now time.Time) {
	for _, quarantine := range quarantines {
		delay := expectDelayMin + rand.N(expectDelayMax-expectDelayMin)
		if quarantine.Own {
			delay = 0
		}
		records.schedule(quarantine, now.Add(delay))
	}
}

func (records *quarantineRecords) schedule(quarantine Quarantine, at time.Time) {
	if !records.enabled {
		return
	}
	name := recordName(quarantine.Features)
	records.pending[name], records.writeAt[name] = quarantine, at
}

// end schedules the records of ended quarantines for removal.
func (records *quarantineRecords) end(quarantines []Quarantine) {
	for _, quarantine := range quarantines {
		name := recordName(quarantine.Features)
		records.settle(name)
		if records.enabled {
			records.remove = append(records.remove, name)
		}
	}
}

// settle records that a record exists or is no longer needed.
func (records *quarantineRecords) settle(name string) {
	delete(records.pending, name)
	delete(records.writeAt, name)
}

// settleCovered settles the records of quarantines that a recorded one makes needless.
func (records *quarantineRecords) settleCovered(recorded Quarantine) {
	for name, quarantine := range records.pending {
		if containsAll(quarantine.Features, recorded.Features) {
			records.settle(name)
		}
	}
}

// RecordsToWrite returns the quarantine records that this host should write now. Those
// that are not settled with RecordWritten are returned again later.
func (detector *CrashDetector) RecordsToWrite(now time.Time) []QuarantineRecord {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	var due []QuarantineRecord
	for name, quarantine := range detector.records.pending {
		if !now.Before(detector.records.writeAt[name]) {
			detector.records.writeAt[name] = now.Add(recordRetryDelay)
			due = append(due, QuarantineRecord{Features: quarantine.Features, AtMs: quarantine.At.UnixMilli()})
		}
	}
	return due
}

// RecordWritten records that a record exists.
func (detector *CrashDetector) RecordWritten(record QuarantineRecord) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	detector.records.settle(record.Name())
}

// RecordsToRemove returns the names of records that are no longer valid, each once. All
// hosts come to the same names.
func (detector *CrashDetector) RecordsToRemove() []string {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	names := detector.records.remove
	detector.records.remove = nil
	return names
}

// ApplyRecord adds a quarantine that was recorded by any host. A record that has expired is to
// be removed.
func (detector *CrashDetector) ApplyRecord(record QuarantineRecord, now time.Time) {
	quarantine := newQuarantine(record.Features, timeOfAge(now.UnixMilli()-record.AtMs, now))
	var change QuarantineChange
	detector.mutex.Lock()
	detector.records.settleCovered(quarantine)
	if now.Sub(quarantine.At) >= CrashTTL {
		detector.records.end([]Quarantine{quarantine})
	} else if detector.attribution.AddQuarantine(quarantine) {
		change.Added = []Quarantine{quarantine}
		change = change.join(detector.update(false, now))
	}
	detector.mutex.Unlock()
	detector.notify(change)
}
