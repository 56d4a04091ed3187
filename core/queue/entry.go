package queue

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// never is the sort key of a missing due time or deadline.
const never = math.MaxInt64

// treeDegree is the degree of the B-trees, kept low because most are small.
const treeDegree = 16

// entry is a queued item with its sort keys and the queues that hold it.
type entry[T any] struct {
	item Item[T]
	// due is the item's due time, delayed by Options.DemotionPerToken for each
	// token already served, in nanoseconds since the Unix epoch.
	due      int64
	deadline int64
	// sequence is the arrival number, which breaks ties.
	sequence   uint64
	classQueue *classQueue[T]
	flow       *flow[T]
}

// newEntry returns an entry with the sort keys of an item. The negated
// comparisons also replace a cost or a weight that is NaN.
func newEntry[T any](item Item[T], sequence uint64, demotionPerToken time.Duration) *entry[T] {
	if !(item.Cost >= 1) {
		item.Cost = 1
	}
	if !(item.Weight > 0) {
		item.Weight = 1
	}
	due := nanoseconds(item.Due)
	if due != never {
		due += int64(item.Served) * int64(demotionPerToken)
	}
	return &entry[T]{item: item, due: due, deadline: nanoseconds(item.Deadline), sequence: sequence}
}

// nanoseconds converts a time to a sort key; the zero time sorts last.
func nanoseconds(instant time.Time) int64 {
	if instant.IsZero() {
		return never
	}
	return instant.UnixNano()
}

// lessByDue orders entries by due time, then by arrival.
func lessByDue[T any](a, b *entry[T]) bool {
	if a.due != b.due {
		return a.due < b.due
	}
	return a.sequence < b.sequence
}

// lessByDeadline orders entries by deadline, then by arrival.
func lessByDeadline[T any](a, b *entry[T]) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.sequence < b.sequence
}

// sortByDue sorts items by tier, then by due time.
func sortByDue[T any](items []Item[T]) {
	slices.SortStableFunc(items, func(a, b Item[T]) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(nanoseconds(a.Due), nanoseconds(b.Due)))
	})
}

// filter selects the entries that Pop may return.
type filter[T any] struct {
	now int64
	// minimumDue is the due time before which items without served tokens are
	// late and skipped; 0 skips none.
	minimumDue int64
	eligible   func(*Item[T]) bool
}

// expired reports whether the entry's deadline has passed.
func (filter *filter[T]) expired(entry *entry[T]) bool { return entry.deadline <= filter.now }

// allows reports whether the caller of Pop accepts the entry.
func (filter *filter[T]) allows(entry *entry[T]) bool {
	return filter.eligible == nil || filter.eligible(&entry.item)
}
