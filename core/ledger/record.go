package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"primrosegw/core/store"
)

const (
	// intentLimitBytes is the size up to which a partition accepts new intents.
	// The remainder up to the service's limit is reserved for their outcomes.
	intentLimitBytes = store.MaximumValueBytes * 3 / 4
	// maximumRecordBytes bounds the encoded size of a record without its attempt
	// token and outcome: two 16-byte hashes, a time and the field names.
	maximumRecordBytes = 128
	// maximumAttemptBytes bounds the token of an attempt.
	maximumAttemptBytes = 64
	// maximumIntentBytes bounds the encoded size of an intent.
	maximumIntentBytes = maximumRecordBytes + maximumAttemptBytes
	// maximumOutcomeOverheadBytes bounds the encoded size of an outcome without its
	// headers and body.
	maximumOutcomeOverheadBytes = 48
)

// keyHash is the truncated hash of a workspace and an idempotency key.
type keyHash [16]byte

// record is the intent and the outcome of one key in a partition. Records are
// immutable, since copies of a recordSet share them.
type record struct {
	ID       keyHash  `cbor:"id"`
	BodyHash [16]byte `cbor:"body_hash"`
	// Attempt is the token of the attempt that wrote the intent.
	Attempt string `cbor:"attempt"`
	// Begun is when the intent was created, in Unix milliseconds.
	Begun int64 `cbor:"begun"`
	// Outcome is nil until the call has finished.
	Outcome *Outcome `cbor:"outcome,omitempty"`
}

// size returns an upper bound of the encoded size of a record, in bytes.
func (record *record) size() int {
	size := maximumRecordBytes + len(record.Attempt)
	if record.Outcome != nil {
		size += maximumOutcomeOverheadBytes + record.payloadBytes()
	}
	return size
}

// payloadBytes returns the size of the headers and the body of the outcome, with 8
// bytes of encoding overhead per header.
func (record *record) payloadBytes() int {
	if record.Outcome == nil {
		return 0
	}
	size := len(record.Outcome.Body)
	for name, value := range record.Outcome.Headers {
		size += len(name) + len(value) + 8
	}
	return size
}

// recordSet is the decoded value of a partition.
type recordSet struct {
	revision int64
	records  map[keyHash]*record
	// encodedBytes is an upper bound of the encoded size; payloadBytes is the part
	// of it that headers and bodies take.
	encodedBytes int
	payloadBytes int
}

// value is the encoding of a recordSet.
type value struct {
	Records []*record `cbor:"records"`
}

// decode decodes the records of a key-value entry.
func decode(entry store.Entry) (*recordSet, error) {
	var value value
	if len(entry.Value) > 0 {
		if err := cbor.Unmarshal(entry.Value, &value); err != nil {
			return nil, err
		}
	}
	recordSet := &recordSet{revision: entry.Revision, records: make(map[keyHash]*record, len(value.Records))}
	for _, record := range value.Records {
		recordSet.put(record)
	}
	return recordSet, nil
}

// encode encodes the records, oldest first.
func (recordSet *recordSet) encode() ([]byte, error) {
	return cbor.Marshal(value{Records: recordSet.sortedByAge()})
}

// sortedByAge returns the records, oldest intent first.
func (recordSet *recordSet) sortedByAge() []*record {
	records := slices.Collect(maps.Values(recordSet.records))
	slices.SortFunc(records, func(a, b *record) int {
		if a.Begun != b.Begun {
			return int(a.Begun - b.Begun)
		}
		return slices.Compare(a.ID[:], b.ID[:])
	})
	return records
}

// clone returns a copy that can be modified without affecting the original.
func (recordSet *recordSet) clone() *recordSet {
	copied := *recordSet
	copied.records = maps.Clone(recordSet.records)
	return &copied
}

// put adds or replaces a record.
func (recordSet *recordSet) put(record *record) {
	recordSet.remove(record.ID)
	recordSet.records[record.ID] = record
	recordSet.encodedBytes += record.size()
	recordSet.payloadBytes += record.payloadBytes()
}

// remove deletes a record if it exists.
func (recordSet *recordSet) remove(id keyHash) {
	if existing := recordSet.records[id]; existing != nil {
		recordSet.encodedBytes -= existing.size()
		recordSet.payloadBytes -= existing.payloadBytes()
		delete(recordSet.records, id)
	}
}

// prune removes finished records older than the retention, and unfinished ones
// older than twice the retention. A call may be dispatched only within the
// retention after its intent (Decision.DispatchUntil); the second period is a
// margin for clock skew between hosts.
func (recordSet *recordSet) prune(now time.Time, retention time.Duration) {
	finished := now.Add(-retention).UnixMilli()
	unfinished := now.Add(-2 * retention).UnixMilli()
	for id, record := range recordSet.records {
		if record.Begun < unfinished || (record.Outcome != nil && record.Begun < finished) {
			recordSet.remove(id)
		}
	}
}

// trim drops the headers and bodies of outcomes, oldest first, until a tenth of
// intentLimitBytes is free. It keeps the statuses, so that a repeated call still
// learns that it ran.
func (recordSet *recordSet) trim() {
	if recordSet.payloadBytes == 0 {
		return
	}
	for _, existing := range recordSet.sortedByAge() {
		if recordSet.encodedBytes <= intentLimitBytes*9/10 {
			return
		}
		if existing.Outcome == nil || existing.payloadBytes() == 0 {
			continue
		}
		trimmed := *existing
		trimmed.Outcome = &Outcome{Status: existing.Outcome.Status, Trimmed: true}
		recordSet.put(&trimmed)
	}
}

// full reports whether there is no space for a new intent even after a trim.
func (recordSet *recordSet) full() bool {
	if recordSet.encodedBytes+maximumIntentBytes > intentLimitBytes {
		recordSet.trim()
	}
	return recordSet.encodedBytes+maximumIntentBytes > intentLimitBytes
}
