package mirror

import (
	"slices"

	"primrosegw/core/store"
)

const (
	// maxHistoryBytes limits the keys and values of the changes that are kept.
	maxHistoryBytes = 96 << 10
	// eventBytes is the encoded size of a change without its key and value, rounded up.
	eventBytes = 64
)

// history keeps the latest changes with new information, for hosts that missed them.
type history struct {
	batches []Batch
	bytes   int
}

// add appends the changes between two positions. Batches that do not follow the latest
// one replace all others.
func (history *history) add(batch Batch) {
	if len(history.batches) > 0 && history.batches[len(history.batches)-1].Until != batch.After {
		history.reset()
	}
	history.batches = append(history.batches, batch)
	history.bytes += batch.Size()
	for history.bytes > maxHistoryBytes {
		history.bytes -= history.batches[0].Size()
		history.batches = history.batches[1:]
	}
}

func (history *history) reset() { history.batches, history.bytes = nil, 0 }

// since returns all changes after a position, and false if not all are kept.
func (history *history) since(position int64) (Batch, bool) {
	if len(history.batches) == 0 || history.batches[0].After > position {
		return Batch{}, false
	}
	result := Batch{Era: history.batches[0].Era, After: position, Until: history.batches[len(history.batches)-1].Until}
	for _, batch := range history.batches {
		result.Events = append(result.Events, changesAfter(batch.Events, position)...)
	}
	return result, result.Until > position
}

// Size returns the approximate size of a batch in bytes.
func (batch Batch) Size() int {
	return eventBytes + eventsSize(batch.Events)
}

// changesAfter returns the changes with a higher revision.
func changesAfter(events []store.Event, revision int64) []store.Event {
	return slices.DeleteFunc(slices.Clone(events), func(change store.Event) bool { return change.Entry.Revision <= revision })
}

/*
Split splits a batch into batches that fit a datagram of share bytes each, except for the changes of one revision
that together are too long for one, which are a batch of their own. It stops before the first revision whose changes
are longer than limit.

The changes of one revision are never split: a host that has applied a part takes the rest for known.
*/
func (batch Batch) Split(share, limit int) []Batch {
	var parts []Batch
	current, size := Batch{Era: batch.Era, After: batch.After}, 0
	for events := batch.Events; len(events) > 0; {
		transaction := firstRevision(events)
		length := eventsSize(transaction)
		if length > limit {
			if size > 0 {
				parts = append(parts, current)
			}
			return parts
		}
		if size > 0 && size+length > share {
			parts = append(parts, current)
			current, size = Batch{Era: batch.Era, After: current.Until}, 0
		}
		current.Events = append(current.Events, transaction...)
		current.Until = transaction[0].Entry.Revision
		size += length
		events = events[len(transaction):]
	}
	current.Until = batch.Until
	return append(parts, current)
}

// firstRevision returns the changes at the beginning that have the same revision.
func firstRevision(events []store.Event) []store.Event {
	next := slices.IndexFunc(events, func(change store.Event) bool { return change.Entry.Revision != events[0].Entry.Revision })
	if next < 0 {
		return events
	}
	return events[:next]
}

// eventsSize returns the approximate size of changes in bytes.
func eventsSize(events []store.Event) int {
	bytes := 0
	for _, change := range events {
		bytes += eventBytes + len(change.Entry.Key) + len(change.Entry.Value)
	}
	return bytes
}
