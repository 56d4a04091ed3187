// Package queue orders the waiting work of one cell: strictly by tier with a
// minimum share for each class, fairly between the workspaces of a class, and
// by the instant at which the first token is due.
package queue

import (
	"fmt"
	"time"

	"github.com/google/btree"

	"primrosegw/core/fault"
)

// Kind is the sort of a queue error.
type Kind string

// The kinds of errors of a queue.
const (
	// Full: the queue holds as many items as its capacity allows.
	Full Kind = "full"
	// Duplicate: an item with the same ID is queued already.
	Duplicate Kind = "duplicate"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Item is one piece of waiting work.
type Item[T any] struct {
	// ID is unique among the queued items.
	ID        string
	Class     string
	Workspace string
	// Tier is 1 for the highest.
	Tier int
	// Due is the target instant of the first token; the zero time sorts last.
	Due time.Time
	// Deadline is when the caller gives up; the zero time means never.
	Deadline time.Time
	Enqueued time.Time
	// Cost is the expected work in tokens; it counts as at least 1.
	Cost float64
	// Served is the number of tokens that the item was served before it came
	// back to the queue. An item with served tokens is never shed.
	Served int
	// Weight is the workspace's weight; 0 counts as 1.
	Weight float64
	// Long marks work whose share of the slots is capped. Long and other items
	// are indexed apart, so that Pop skips either group in a few steps.
	Long  bool
	Value T
}

// Options configures a queue. A zero field takes its default.
type Options struct {
	// Capacity is the greatest number of queued items.
	Capacity int
	// MinimumShares is the part of the dispatched cost that a class gets while
	// it has work queued, by class.
	MinimumShares map[string]float64
	// DefaultShare is the share of a class that MinimumShares does not name, so
	// that every class is served in the end.
	DefaultShare float64
	// Spacing is the number of consecutive dispatches of which at most one goes
	// to a class for its minimum share ahead of work of a higher tier.
	Spacing int
	// Burst is the cost in tokens above which an item need not wait for its
	// class to be owed its whole cost.
	Burst float64
	// Quantum is the difference of served tokens per weight within which
	// workspaces of a class count as equal and the earlier due item goes first.
	Quantum float64
	// Provision caps the expected tokens counted in advance for a workspace.
	Provision float64
	// Demotion delays an item by this time for each token already served.
	Demotion time.Duration
}

// Defaults of Options.
const (
	DefaultCapacity = 100_000
	// DefaultShare lets a class without a share have 1 in 100 tokens.
	DefaultShare = 0.01
	// DefaultSpacing bounds what minimum shares may take to 1 dispatch in 4.
	DefaultSpacing = 4
	// DefaultBurst is about the length of one long annotation, in tokens.
	DefaultBurst = 4096
	// DefaultQuantum is a few short answers, in tokens.
	DefaultQuantum = 1024
	// DefaultProvision covers the calls that a cell of 16 servers takes in from
	// one workspace before their first tokens are charged, in tokens.
	DefaultProvision = 65_536
	// DefaultDemotion puts an item that got 200 tokens one second behind.
	DefaultDemotion = 5 * time.Millisecond
)

// Queue holds the waiting items of one cell. It is not safe for concurrent use.
//
// The order of dispatch has three levels:
//
//  1. The highest tier with eligible work goes first; between classes of a tier,
//     the one whose next item is due first. A class that was passed over gains
//     its minimum share of each dispatched cost as a deficit. Once the deficit
//     covers its next item (or Options.Burst, if less), the class is owed, and
//     owed classes are served in turn, one in every Options.Spacing dispatches.
//  2. Within a class, workspaces are ordered by tokens served divided by weight
//     (the virtual token counters of Sheng et al., "Fairness in Serving Large
//     Language Models"), in steps of Options.Quantum.
//  3. Within a step, the earliest due item goes first; an item counts as due
//     later by Options.Demotion for each token that it was served before (least
//     attained service). The delay is bounded, so nothing starves. Below the top
//     tier, items whose due instant has passed go after those of their class that
//     can still meet it, but for one dispatch in lateSpacing.
//
// Bounds: of Spacing consecutive dispatches at most one passes over a higher
// tier. A class with eligible work is dispatched again before the other classes
// were dispatched (largest cost + Burst)/share tokens and then Spacing items for
// each class.
type Queue[T any] struct {
	options   Options
	entries   map[string]*entry[T]
	lanes     map[laneKey]*lane[T]
	tiers     []*tier[T]
	deadlines *btree.BTreeG[*entry[T]]
	sequence  uint64
	// dispatched counts dispatches; sinceOwed those since the last one that
	// passed over another class for a minimum share.
	dispatched uint64
	sinceOwed  int
}

// New returns an empty queue.
func New[T any](options Options) *Queue[T] {
	options = withDefaults(options)
	return &Queue[T]{
		options:   options,
		entries:   make(map[string]*entry[T]),
		lanes:     make(map[laneKey]*lane[T]),
		deadlines: btree.NewG(treeDegree, soonerDeadline[T]),
		sinceOwed: options.Spacing,
	}
}

// withDefaults fills the zero fields of options.
func withDefaults(options Options) Options {
	if options.Capacity <= 0 {
		options.Capacity = DefaultCapacity
	}
	if options.DefaultShare <= 0 {
		options.DefaultShare = DefaultShare
	}
	if options.Spacing <= 0 {
		options.Spacing = DefaultSpacing
	}
	if options.Burst <= 0 {
		options.Burst = DefaultBurst
	}
	if options.Quantum <= 0 {
		options.Quantum = DefaultQuantum
	}
	if options.Provision <= 0 {
		options.Provision = DefaultProvision
	}
	if options.Demotion <= 0 {
		options.Demotion = DefaultDemotion
	}
	return options
}

// SetShares replaces the minimum shares, for instance when a new document comes
// into force. What classes are owed so far stays.
func (queue *Queue[T]) SetShares(shares map[string]float64) {
	queue.options.MinimumShares = shares
	for key, lane := range queue.lanes {
		lane.share = queue.share(key.class)
	}
}

// Push adds an item. Its errors are of kinds Full and Duplicate.
func (queue *Queue[T]) Push(item Item[T]) error {
	if _, found := queue.entries[item.ID]; found {
		return fault.Field("queue.push", Duplicate, "id", fmt.Sprintf("%q is queued already", item.ID))
	}
	if len(queue.entries) >= queue.options.Capacity {
		return fault.New("queue.push", Full, fmt.Sprintf("%d items are queued", len(queue.entries)))
	}
	queue.sequence++
	entry := newEntry(item, queue.sequence, queue.options.Demotion)
	queue.entries[item.ID] = entry
	queue.tier(item.Tier).add(entry)
	lane := queue.lane(item.Tier, item.Class)
	lane.add(entry)
	lane.place(entry.flow, queue.options.Quantum)
	if entry.deadline != never {
		queue.deadlines.ReplaceOrInsert(entry)
	}
	return nil
}

// Pop removes and returns the next item for which eligible holds, and counts its
// cost in advance for its workspace. It passes over items whose deadline has
// passed; Expired removes those. It may ask about an item more than once, and
// eligible must not change the queue. Of each class it considers the first items of
// several workspaces only (scanLimit), for short and for long items apart.
func (queue *Queue[T]) Pop(now time.Time, eligible func(*Item[T]) bool) (Item[T], bool) {
	filter := filter[T]{now: now.UnixNano(), eligible: eligible}
	chosen := queue.popStrict(&filter)
	if chosen == nil {
		var none Item[T]
		return none, false
	}
	owed := queue.popOwed(&filter)
	passed := owed != nil && owed.lane != chosen.lane
	if passed {
		chosen = owed
	}
	chosen.flow.provide(chosen.item.Cost, queue.options)
	queue.remove(chosen)
	chosen.lane.dispatched(chosen, filter.now)
	queue.account(chosen, passed)
	return chosen.item, true
}

// popStrict finds the first eligible entry in the order of tiers.
func (queue *Queue[T]) popStrict(filter *filter[T]) *entry[T] {
	for _, tier := range queue.tiers {
		if tier.count() == 0 {
			continue
		}
		var best *entry[T]
		for _, lane := range tier.lanes {
			found := lane.first(filter)
			if found != nil && (best == nil || sooner(found, best)) {
				best = found
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// Remove takes an item out of the queue, for instance when its caller is gone.
func (queue *Queue[T]) Remove(id string) (Item[T], bool) {
	entry, found := queue.entries[id]
	if !found {
		var none Item[T]
		return none, false
	}
	queue.remove(entry)
	return entry.item, true
}

// Shed removes the worst item of the lowest tier strictly below the given tier:
// the one that is due last. It skips items with served tokens, because their
// callers cannot be told that the request was not run.
func (queue *Queue[T]) Shed(tier int) (Item[T], bool) {
	for index := len(queue.tiers) - 1; index >= 0; index-- {
		lowest := queue.tiers[index]
		if lowest.number <= tier {
			break
		}
		if entry := lowest.fresh.last(); entry != nil {
			queue.remove(entry)
			return entry.item, true
		}
	}
	var none Item[T]
	return none, false
}

// Expired removes and returns the items whose deadline has passed, the oldest
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

// Drain removes and returns all items in the order in which they are due.
func (queue *Queue[T]) Drain() []Item[T] {
	drained := make([]Item[T], 0, len(queue.entries))
	for _, tier := range queue.tiers {
		for _, ranks := range []*ranks[T]{&tier.fresh, &tier.served} {
			for entry := ranks.last(); entry != nil; entry = ranks.last() {
				queue.remove(entry)
				drained = append(drained, entry.item)
			}
		}
	}
	sortDue(drained)
	return drained
}

// Charge records tokens served to a workspace of a class. Tokens that Pop
// counted in advance are taken off that advance.
func (queue *Queue[T]) Charge(class, workspace string, tokens int) {
	queue.eachFlow(class, workspace, func(lane *lane[T], flow *flow[T]) {
		flow.charge(float64(tokens))
		lane.place(flow, queue.options.Quantum)
	})
}

// Settle takes back what Pop counted in advance and was not served, when a call
// ends with fewer tokens than its cost. Without it a workspace whose answers are
// shorter than expected is held back by Options.Provision tokens at most.
func (queue *Queue[T]) Settle(class, workspace string, unused float64) {
	queue.eachFlow(class, workspace, func(lane *lane[T], flow *flow[T]) {
		flow.settle(unused)
		lane.place(flow, queue.options.Quantum)
	})
}

// eachFlow calls visit for the workspace's flow in each lane of a class.
func (queue *Queue[T]) eachFlow(class, workspace string, visit func(*lane[T], *flow[T])) {
	for _, tier := range queue.tiers {
		lane, found := queue.lanes[laneKey{tier.number, class}]
		if found {
			visit(lane, lane.flow(workspace))
		}
	}
}

// Ahead returns the items and the cost in front of a new item of a tier: all of
// the higher tiers, and what is due no later in its own. It leaves out the
// minimum shares and the fairness between workspaces, so it is an estimate.
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
		for _, ranks := range []*ranks[T]{&other.fresh, &other.served} {
			count, sum := ranks.upTo(bound)
			items += count
			cost += sum
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

// remove takes an entry out of every index.
func (queue *Queue[T]) remove(entry *entry[T]) {
	delete(queue.entries, entry.item.ID)
	queue.tier(entry.item.Tier).remove(entry)
	entry.lane.remove(entry)
	entry.lane.place(entry.flow, queue.options.Quantum)
	if entry.deadline != never {
		queue.deadlines.Delete(entry)
	}
}
