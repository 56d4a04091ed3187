package poison

import (
	"cmp"
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
	// random chooses the delays; nil: the default source.
	random *rand.Rand
	// pending holds the records that are not known to exist, by name.
	pending map[string]pendingRecord
	remove  []string
}

// pendingRecord is a quarantine whose record is to be written at writeAt.
type pendingRecord struct {
	quarantine Quarantine
	writeAt    time.Time
}

func newQuarantineRecords(options DetectorOptions) quarantineRecords {
	return quarantineRecords{enabled: options.Recorded, random: options.Random, pending: make(map[string]pendingRecord)}
}

// add schedules records to be written: own decisions at once, others later, unless another
// host writes them first.
func (records *quarantineRecords) add(quarantines []Quarantine, now time.Time) {
	if !records.enabled {
		return
	}
	for _, quarantine := range quarantines {
		delay := records.expectDelay()
		if quarantine.Own {
			delay = 0
		}
		records.pending[recordName(quarantine.Features)] = pendingRecord{quarantine, now.Add(delay)}
	}
}

// expectDelay returns a random time to wait for the record of another host.
func (records *quarantineRecords) expectDelay() time.Duration {
	const spread = expectDelayMax - expectDelayMin
	if records.random == nil {
		return expectDelayMin + rand.N(spread)
	}
	return expectDelayMin + time.Duration(records.random.Int64N(int64(spread)))
}

// end schedules the records of ended quarantines for removal.
func (records *quarantineRecords) end(quarantines []Quarantine) {
	if !records.enabled {
		return
	}
	for _, quarantine := range quarantines {
		name := recordName(quarantine.Features)
		delete(records.pending, name)
		records.remove = append(records.remove, name)
	}
}

// settleCovered drops the pending records that a recorded quarantine makes needless.
func (records *quarantineRecords) settleCovered(recorded Quarantine) {
	for name, pending := range records.pending {
		if containsAll(pending.quarantine.Features, recorded.Features) {
			delete(records.pending, name)
		}
	}
}

// RecordsToWrite returns the quarantine records that this host should write now. Those
// that are not settled with RecordWritten are returned again later.
func (detector *CrashDetector) RecordsToWrite(now time.Time) []QuarantineRecord {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	var due []QuarantineRecord
	for name, pending := range detector.records.pending {
		if now.Before(pending.writeAt) {
			continue
		}
		due = append(due, QuarantineRecord{Features: pending.quarantine.Features, AtMs: pending.quarantine.At.UnixMilli()})
		pending.writeAt = now.Add(recordRetryDelay)
		detector.records.pending[name] = pending
	}
	// The order of a map must not decide which record is written first.
	slices.SortFunc(due, func(a, b QuarantineRecord) int { return cmp.Compare(a.Name(), b.Name()) })
	return due
}

// RecordsLost schedules the records of quarantines in force that are not among the existing
// ones to be written again, after the place where they are kept was restored from a copy.
// A record exists by its name.
func (detector *CrashDetector) RecordsLost(exists func(name string) bool, now time.Time) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	var lost []Quarantine
	for _, quarantine := range detector.attribution.quarantines {
		name := recordName(quarantine.Features)
		if _, pending := detector.records.pending[name]; !pending && !exists(name) {
			lost = append(lost, quarantine)
		}
	}
	detector.records.add(lost, now)
}

// RecordWritten records that a record exists.
func (detector *CrashDetector) RecordWritten(record QuarantineRecord) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	delete(detector.records.pending, record.Name())
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
