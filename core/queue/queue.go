// Package queue schedules the queued calls of one cell: by strict tier priority
// with a minimum share for each class, fairly between the workspaces of a class,
// and by the time at which the first token is due.
package queue

import (
	"fmt"
	"time"

	"github.com/google/btree"

	"primrosegw/core/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Error kinds.
const (
	// Full means that the queue is at its capacity.
	Full Kind = "full"
	// Duplicate means that an item with the same ID is already queued.
	Duplicate Kind = "duplicate"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Item is a unit of queued work.
type Item[T any] struct {
	// ID is unique among the queued items.
	ID        string
	Class     string
	Workspace string
	// Tier is the priority; 1 is the highest.
	Tier int
	// Due is the target time of the first token; the zero time sorts last.
	Due time.Time
	// Deadline is the time at which the caller stops waiting; the zero time means
	// no deadline.
	Deadline time.Time
	Enqueued time.Time
	// Cost is the expected work in tokens. A value below 1 is raised to 1.
	Cost float64
	// Served is the number of tokens that the item was served before it was
	// requeued. An item with served tokens is never shed.
	Served int
	// Weight is the workspace's weight; 0 counts as 1.
	Weight float64
	// Long marks an item that may use only a limited share of the slots. Long and
	// short items are indexed separately, so that Pop can skip either cheaply.
	Long  bool
	Value T
}

// Options configures a queue. A numeric field that is not positive takes its
// default.
type Options struct {
	// Capacity is the maximum number of queued items.
	Capacity int
	// MinimumShares maps a class to the fraction of the dispatched cost that it
	// gets at least while it has work queued.
	MinimumShares map[string]float64
	// DefaultShare is the minimum share of a class that is not in MinimumShares,
	// so that no class starves.
	DefaultShare float64
	// MinimumShareInterval is the number of consecutive dispatches of which at
	// most one goes to an underserved class ahead of work of a higher tier.
	MinimumShareInterval int
	// DeficitThreshold is the deficit in tokens at which a class counts as
	// underserved even if its next item costs more.
	DeficitThreshold float64
	// Quantum is the unit, in tokens per weight, to which the service of a
	// workspace is rounded down. Among workspaces of a class with equal rounded
	// service, the item that is due first goes first.
	Quantum float64
	// MaximumReservation caps the tokens that Pop reserves for one workspace of a
	// class until they are charged.
	MaximumReservation float64
	// DemotionPerToken is the delay of an item's due time for each token that it
	// was already served.
	DemotionPerToken time.Duration
}

// Defaults of Options.
const (
	DefaultCapacity = 100_000
	// DefaultShare gives a class that has no configured share 1 in 100 tokens.
	DefaultShare = 0.01
	// DefaultMinimumShareInterval limits minimum shares to 1 dispatch in 4.
	DefaultMinimumShareInterval = 4
	// DefaultDeficitThreshold is about the length, in tokens, of one long annotation.
	DefaultDeficitThreshold = 4096
	// DefaultQuantum is about the length, in tokens, of a few short answers.
	DefaultQuantum = 1024
	// DefaultMaximumReservation covers the tokens of the calls that a cell of 16
	// servers accepts from one workspace before their first tokens are charged.
	DefaultMaximumReservation = 65_536
	// DefaultDemotionPerToken delays an item that was served 200 tokens by 1 s.
	DefaultDemotionPerToken = 5 * time.Millisecond
)

// Queue holds the queued items of one cell. It is not safe for concurrent use.
//
// Items are dispatched in an order of three levels:
//
//  1. The highest tier with eligible work goes first; between the classes of a
//     tier, the one whose next item is due first. For each cost dispatched to
//     another class, a class with queued work adds its minimum share of it to its
//     deficit. Once the deficit covers its next item, or reaches
//     Options.DeficitThreshold if that is less, the class is underserved.
//     Underserved classes are served in turn, with one in every
//     Options.MinimumShareInterval dispatches.
//  2. Within a class, workspaces are ordered by tokens served divided by weight
//     (the virtual token counters of Sheng et al., "Fairness in Serving Large
//     Language Models"), rounded down to a multiple of Options.Quantum.
//  3. Among workspaces with equal rounded service, the item that is due first
//     goes first. Options.DemotionPerToken delays the due time for each token
//     that an item was served before (least attained service). The delay is
//     bounded, so no item starves. Below the top tier, items whose due time has
//     passed go after the items of their class that can still meet theirs, except
//     in one of every lateDispatchInterval dispatches.
//
// Bounds: of MinimumShareInterval consecutive dispatches, at most one bypasses a
// higher tier. A class with eligible work is dispatched again at the latest after
// (largest cost + DeficitThreshold)/share tokens were dispatched to other classes
// and then MinimumShareInterval items for each class.
type Queue[T any] struct {
	options     Options
	entries     map[string]*entry[T]
	classQueues map[classKey]*classQueue[T]
	tiers       []*tier[T]
	deadlines   *btree.BTreeG[*entry[T]]
	sequence    uint64
	// dispatchCount counts all dispatches; sinceMinimumShare counts those since
	// the last one that bypassed another class for a minimum share.
	dispatchCount     uint64
	sinceMinimumShare int
}

// New returns an empty queue.
func New[T any](options Options) *Queue[T] {
	options = withDefaults(options)
	return &Queue[T]{
		options:           options,
		entries:           make(map[string]*entry[T]),
		classQueues:       make(map[classKey]*classQueue[T]),
		deadlines:         btree.NewG(treeDegree, lessByDeadline[T]),
		sinceMinimumShare: options.MinimumShareInterval,
	}
}

// withDefaults replaces the fields that are not positive with their defaults.
func withDefaults(options Options) Options {
	if options.Capacity <= 0 {
		options.Capacity = DefaultCapacity
	}
	if options.DefaultShare <= 0 {
		options.DefaultShare = DefaultShare
	}
	if options.MinimumShareInterval <= 0 {
		options.MinimumShareInterval = DefaultMinimumShareInterval
	}
	if options.DeficitThreshold <= 0 {
		options.DeficitThreshold = DefaultDeficitThreshold
	}
	if options.Quantum <= 0 {
		options.Quantum = DefaultQuantum
	}
	if options.MaximumReservation <= 0 {
		options.MaximumReservation = DefaultMaximumReservation
	}
	if options.DemotionPerToken <= 0 {
		options.DemotionPerToken = DefaultDemotionPerToken
	}
	return options
}

// SetShares replaces the minimum shares, for instance when a new document is
// applied. Accumulated deficits are kept.
func (queue *Queue[T]) SetShares(shares map[string]float64) {
	queue.options.MinimumShares = shares
	for key, classQueue := range queue.classQueues {
		classQueue.share = queue.share(key.class)
	}
}

// Push adds an item. Its errors have the kinds Full and Duplicate.
func (queue *Queue[T]) Push(item Item[T]) error {
	if _, found := queue.entries[item.ID]; found {
		return fault.Field("queue.push", Duplicate, "id", fmt.Sprintf("%q is queued already", item.ID))
	}
	if len(queue.entries) >= queue.options.Capacity {
		return fault.New("queue.push", Full, fmt.Sprintf("%d items are queued", len(queue.entries)))
	}
	queue.sequence++
	entry := newEntry(item, queue.sequence, queue.options.DemotionPerToken)
	queue.entries[item.ID] = entry
	queue.tier(item.Tier).add(entry)
	classQueue := queue.classQueue(item.Tier, item.Class)
	classQueue.add(entry)
	classQueue.reposition(entry.flow, queue.options.Quantum)
	if entry.deadline != never {
		queue.deadlines.ReplaceOrInsert(entry)
	}
	return nil
}

// Pop removes and returns the next item for which eligible returns true, and
// reserves its cost for its workspace. A nil eligible accepts every item. Pop
// skips items whose deadline has passed; Expired removes those. It may call
// eligible more than once for an item, and eligible must not change the queue. In
// each class it scans only the first items of several workspaces (scanLimit),
// separately for short and for long items.
func (queue *Queue[T]) Pop(now time.Time, eligible func(*Item[T]) bool) (Item[T], bool) {
	filter := filter[T]{now: now.UnixNano(), eligible: eligible}
	chosen := queue.findByTier(&filter)
	if chosen == nil {
		var none Item[T]
		return none, false
	}
	underserved := queue.findUnderserved(&filter)
	forMinimumShare := underserved != nil && underserved.classQueue != chosen.classQueue
	if forMinimumShare {
		chosen = underserved
	}
	chosen.flow.reserve(chosen.item.Cost, queue.options)
	queue.remove(chosen)
	chosen.classQueue.recordDispatch(chosen, filter.now)
	queue.updateDeficits(chosen, forMinimumShare)
	return chosen.item, true
}

// findByTier returns the first eligible entry in strict tier order, or nil.
func (queue *Queue[T]) findByTier(filter *filter[T]) *entry[T] {
	for _, tier := range queue.tiers {
		if tier.count() == 0 {
			continue
		}
		var best *entry[T]
		for _, classQueue := range tier.classQueues {
			found := classQueue.nextEligible(filter)
			if found != nil && (best == nil || lessByDue(found, best)) {
				best = found
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// Remove removes an item, for instance when its caller has disconnected.
func (queue *Queue[T]) Remove(id string) (Item[T], bool) {
	entry, found := queue.entries[id]
	if !found {
		var none Item[T]
		return none, false
	}
	queue.remove(entry)
	return entry.item, true
}

// Shed removes and returns the item that is due last in the lowest tier that has
// one, of the tiers strictly below the given one. It skips items with served
// tokens, because their callers cannot be told that the request was not run.
func (queue *Queue[T]) Shed(tier int) (Item[T], bool) {
	for index := len(queue.tiers) - 1; index >= 0; index-- {
		lowest := queue.tiers[index]
		if lowest.number <= tier {
			break
		}
		if entry := lowest.unserved.last(); entry != nil {
			queue.remove(entry)
			return entry.item, true
		}
	}
	var none Item[T]
	return none, false
}

// Expired removes and returns the items whose deadline has passed, earliest
// deadline first.
func (queue *Queue[T]) Expired(now time.Time) []Item[T] {
	var expired []Item[T]
	limit := now.UnixNano()
	for {
		entry, found := queue.deadlines.Min()
		if !found || entry.deadline > limit {
			return expired
		}
		queue.remove(entry)
		expired = append(expired, entry.item)
	}
}

// Drain removes and returns all items, sorted by tier and due time.
func (queue *Queue[T]) Drain() []Item[T] {
	drained := make([]Item[T], 0, len(queue.entries))
	for _, tier := range queue.tiers {
		for _, dueIndex := range []*dueIndex[T]{&tier.unserved, &tier.served} {
			for entry := dueIndex.last(); entry != nil; entry = dueIndex.last() {
				queue.remove(entry)
				drained = append(drained, entry.item)
			}
		}
	}
	sortByDue(drained)
	return drained
}

// Charge records tokens served to a workspace of a class and deducts them from
// what Pop reserved.
func (queue *Queue[T]) Charge(class, workspace string, tokens int) {
	queue.eachFlow(class, workspace, func(classQueue *classQueue[T], flow *flow[T]) {
		flow.charge(float64(tokens))
		classQueue.reposition(flow, queue.options.Quantum)
	})
}

// ReleaseReservation releases reserved tokens that were not served, when a call
// ends with fewer tokens than its cost. Without it, a workspace whose answers are
// shorter than expected would be set back by up to Options.MaximumReservation
// tokens.
func (queue *Queue[T]) ReleaseReservation(class, workspace string, unused float64) {
	queue.eachFlow(class, workspace, func(classQueue *classQueue[T], flow *flow[T]) {
		flow.release(unused)
		classQueue.reposition(flow, queue.options.Quantum)
	})
}

// eachFlow calls visit for the workspace's flow in each queue of a class.
func (queue *Queue[T]) eachFlow(class, workspace string, visit func(*classQueue[T], *flow[T])) {
	for _, tier := range queue.tiers {
		classQueue, found := queue.classQueues[classKey{tier.number, class}]
		if found {
			visit(classQueue, classQueue.flow(workspace))
		}
	}
}

// Ahead estimates the number and the cost of the items ahead of a new item of a
// tier: all items of higher tiers, and those of its own tier that are due no
// later. It ignores minimum shares and fairness between workspaces.
func (queue *Queue[T]) Ahead(tier int, due time.Time) (int, float64) {
	items, cost := 0, 0.0
	limit := nanoseconds(due)
	for _, other := range queue.tiers {
		if other.number > tier {
			break
		}
		bound := int64(never)
		if other.number == tier {
			bound = limit
		}
		for _, dueIndex := range []*dueIndex[T]{&other.unserved, &other.served} {
			count, queuedCost := dueIndex.dueBy(bound)
			items += count
			cost += queuedCost
		}
	}
	return items, cost
}

// Len returns the number of queued items.
func (queue *Queue[T]) Len() int { return len(queue.entries) }

// LenTier returns the number of queued items of a tier.
func (queue *Queue[T]) LenTier(tier int) int {
	for _, other := range queue.tiers {
		if other.number == tier {
			return other.count()
		}
	}
	return 0
}

// remove deletes an entry from all indexes.
func (queue *Queue[T]) remove(entry *entry[T]) {
	delete(queue.entries, entry.item.ID)
	queue.tier(entry.item.Tier).remove(entry)
	entry.classQueue.remove(entry)
	entry.classQueue.reposition(entry.flow, queue.options.Quantum)
	if entry.deadline != never {
		queue.deadlines.Delete(entry)
	}
}
