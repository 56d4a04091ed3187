package ledger

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"primrosegw/core/store"
)

const (
	// fillBytes is the size up to which a partition takes new intents. The rest
	// up to the service's limit is room for the outcomes of those intents.
	fillBytes = store.MaximumValueBytes * 3 / 4
	// recordBytes bounds the encoded size of a record without its outcome:
	// three 16-byte identifiers, a time and the field names.
	recordBytes = 128
	// attemptBytes is the longest token of an attempt.
	attemptBytes = 64
	// intentBytes bounds the encoded size of an intent.
	intentBytes = recordBytes + attemptBytes
	// outcomeBytes bounds the encoded size of an outcome without headers and body.
	outcomeBytes = 48
)

// identity is the hash of a workspace and an idempotency key.
type identity [16]byte

// record is what a partition holds of one key. Records are not changed once they
// are made.
type record struct {
	ID       identity `cbor:"id"`
	BodyHash [16]byte `cbor:"body_hash"`
	// Attempt is the token of the call that wrote the intent.
	Attempt string `cbor:"attempt"`
	// Begun is when the intent was made, in milliseconds since 1970.
	Begun int64 `cbor:"begun"`
	// Outcome is nil until the call has finished.
	Outcome *Outcome `cbor:"outcome,omitempty"`
}

// size bounds the encoded size of a record, in bytes.
func (record *record) size() int {
	size := recordBytes + len(record.Attempt)
	if record.Outcome != nil {
		size += outcomeBytes + record.kept()
	}
	return size
}

// kept returns the size of the headers and the body of a record's outcome.
func (record *record) kept() int {
	if record.Outcome == nil {
		return 0
	}
	size := len(record.Outcome.Body)
	for name, value := range record.Outcome.Headers {
		size += len(name) + len(value) + 8
	}
	return size
}

// book is the decoded value of a partition.
type book struct {
	revision int64
	records  map[identity]*record
	// bytes bounds the encoded size; kept is the part of headers and bodies.
	bytes int
	kept  int
}

// value is the encoded form of a book.
type value struct {
	Records []*record `cbor:"records"`
}

// decode returns the book of an entry of the service.
func decode(entry store.Entry) (*book, error) {
	var value value
	if len(entry.Value) > 0 {
		if err := cbor.Unmarshal(entry.Value, &value); err != nil {
			return nil, err
		}
	}
	book := &book{revision: entry.Revision, records: make(map[identity]*record, len(value.Records))}
	for _, record := range value.Records {
		book.put(record)
	}
	return book, nil
}

// encode returns the value of a book, oldest records first.
func (book *book) encode() ([]byte, error) {
	return cbor.Marshal(value{Records: book.oldest()})
}

// oldest returns the records in the order of their intents.
func (book *book) oldest() []*record {
	records := slices.Collect(maps.Values(book.records))
	slices.SortFunc(records, func(a, b *record) int {
		if a.Begun != b.Begun {
			return int(a.Begun - b.Begun)
		}
		return slices.Compare(a.ID[:], b.ID[:])
	})
	return records
}

// clone returns a copy that can be changed while the original is kept.
func (book *book) clone() *book {
	copied := *book
	copied.records = maps.Clone(book.records)
	return &copied
}

// put adds or replaces a record.
func (book *book) put(record *record) {
	book.remove(record.ID)
	book.records[record.ID] = record
	book.bytes += record.size()
	book.kept += record.kept()
}

// remove deletes a record.
func (book *book) remove(id identity) {
	if held := book.records[id]; held != nil {
		book.bytes -= held.size()
		book.kept -= held.kept()
		delete(book.records, id)
	}
}

// prune removes finished records older than the retention, and unfinished ones
// older than twice the retention. A call may be dispatched only within the
// retention after its intent (Decision.Until), so that the second half is a
// margin for clocks that differ.
func (book *book) prune(now time.Time, retention time.Duration) {
	finished := now.Add(-retention).UnixMilli()
	unfinished := now.Add(-2 * retention).UnixMilli()
	for id, record := range book.records {
		if record.Begun < unfinished || (record.Outcome != nil && record.Begun < finished) {
			book.remove(id)
		}
	}
}

// trim drops headers and bodies of outcomes, oldest first, until a tenth of the
// fill limit is free. The statuses stay: a repeated call learns that it ran.
func (book *book) trim() {
	if book.kept == 0 {
		return
	}
	for _, held := range book.oldest() {
		if book.bytes <= fillBytes*9/10 {
			return
		}
		if held.Outcome == nil || held.kept() == 0 {
			continue
		}
		trimmed := *held
		trimmed.Outcome = &Outcome{Status: held.Outcome.Status, Trimmed: true}
		book.put(&trimmed)
	}
}

// full reports whether the book takes no new intent even after a trim.
func (book *book) full() bool {
	if book.bytes+intentBytes > fillBytes {
		book.trim()
	}
	return book.bytes+intentBytes > fillBytes
}
