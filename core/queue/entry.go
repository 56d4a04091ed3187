package queue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// never stands for an instant that does not come.
const never = math.MaxInt64

// treeDegree is the branching of the trees; small trees are the common case.
const treeDegree = 16

// entry is a queued item with its sort keys and its places in the indexes.
type entry[T any] struct {
	item Item[T]
	// due is the item's due instant delayed by the tokens already served, in
	// nanoseconds since 1970.
	due      int64
	deadline int64
	// sequence is the order of arrival and breaks ties.
	sequence uint64
	lane     *lane[T]
	flow     *flow[T]
}

// newEntry computes an item's sort keys.
func newEntry[T any](item Item[T], sequence uint64, demotion time.Duration) *entry[T] {
	if !(item.Cost >= 1) {
		item.Cost = 1
	}
	if !(item.Weight > 0) {
		item.Weight = 1
	}
	due := nanoseconds(item.Due)
	if due != never {
		due += int64(item.Served) * int64(demotion)
	}
	return &entry[T]{item: item, due: due, deadline: nanoseconds(item.Deadline), sequence: sequence}
}

// nanoseconds returns an instant as a sort key; the zero time sorts last.
func nanoseconds(instant time.Time) int64 {
	if instant.IsZero() {
		return never
	}
	return instant.UnixNano()
}

// sooner orders entries by due instant.
func sooner[T any](a, b *entry[T]) bool {
	if a.due != b.due {
		return a.due < b.due
	}
	return a.sequence < b.sequence
}

// soonerDeadline orders entries by deadline.
func soonerDeadline[T any](a, b *entry[T]) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.sequence < b.sequence
}

// sortDue orders items by tier and due instant.
func sortDue[T any](items []Item[T]) {
	slices.SortStableFunc(items, func(a, b Item[T]) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(nanoseconds(a.Due), nanoseconds(b.Due)))
	})
}

// filter decides which entries Pop may take.
type filter[T any] struct {
	now int64
	// from is the due instant before which items without served tokens are
	// passed over, because they are late; 0: none are.
	from     int64
	eligible func(*Item[T]) bool
}

// expired reports whether the entry's caller has given up.
func (filter *filter[T]) expired(entry *entry[T]) bool { return entry.deadline <= filter.now }

// allows reports whether the caller of Pop takes the entry.
func (filter *filter[T]) allows(entry *entry[T]) bool {
	return filter.eligible == nil || filter.eligible(&entry.item)
}
