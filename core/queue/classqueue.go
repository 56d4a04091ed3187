package queue

import (
	"math"

	"github.com/google/btree"
)

const (
	// scanLimit is the number of ineligible items after which Pop stops scanning
	// the short, or the long, items of a class.
	scanLimit = 64
	// flowScanLimit is the same limit within one workspace, so that the
	// ineligible items of one workspace do not use up scanLimit for the others.
	flowScanLimit = 8
	// maximumIdleFlows is the number of idle flows that a class queue keeps
	// before it evicts those whose counters no longer affect the order.
	maximumIdleFlows = 1024
	// lateDispatchInterval is the number of consecutive dispatches of a class of
	// which at least one takes the first item in order, late or not, so that
	// late items do not starve under sustained overload.
	lateDispatchInterval = 8
	// topTier is the tier whose items are dispatched in order even when late.
	topTier = 1
)

// classKey identifies a class queue. A class has one tier, but while a document
// that moves it to another tier is being distributed, items of both may be queued.
type classKey struct {
	tier  int
	class string
}

// classQueue holds the queued items of one class and tier.
type classQueue[T any] struct {
	key   classKey
	share float64
	// deficit is the cost in tokens by which the class is behind its minimum share.
	deficit float64
	// underservedSince is the number of the dispatch at which the deficit reached
	// underservedThreshold; 0 while it is below.
	underservedSince uint64
	count            int
	// onTimeStreak counts the consecutive dispatches of items that were not late.
	onTimeStreak int
	flows        map[string]*flow[T]
	// order holds the non-empty subqueues in order of service: short items at
	// index 0, long items at index 1.
	order [2]*btree.BTreeG[*subqueue[T]]
	// minimumCounter is the counter to which a workspace that was idle is raised.
	// It never decreases.
	minimumCounter float64
}

// flow holds the items that one workspace has queued in a class queue, and the
// service that it has received.
type flow[T any] struct {
	weight float64
	// normalizedService is the number of tokens served divided by the weight.
	normalizedService float64
	// reserved is the cost of dispatched items that is not yet charged.
	reserved  float64
	subqueues [2]subqueue[T]
}

// subqueue holds the short or the long items of a flow, with its sort key in
// classQueue.order.
type subqueue[T any] struct {
	flow  *flow[T]
	items *btree.BTreeG[*entry[T]]
	// indexed reports whether the subqueue is in classQueue.order.
	indexed bool
	// quantumIndex is the flow's counter in whole quanta.
	quantumIndex float64
	head         *entry[T]
}

// newClassQueue returns an empty class queue.
func newClassQueue[T any](key classKey, share float64) *classQueue[T] {
	classQueue := &classQueue[T]{key: key, share: share, flows: make(map[string]*flow[T])}
	for index := range classQueue.order {
		classQueue.order[index] = btree.NewG(treeDegree, lessByService[T])
	}
	return classQueue
}

// lessByService orders subqueues by service in whole quanta, then by due time.
func lessByService[T any](a, b *subqueue[T]) bool {
	if a.quantumIndex != b.quantumIndex {
		return a.quantumIndex < b.quantumIndex
	}
	return lessByDue(a.head, b.head)
}

// subqueueIndex returns the index of an entry in flow.subqueues and classQueue.order.
func subqueueIndex[T any](entry *entry[T]) int {
	if entry.item.Long {
		return 1
	}
	return 0
}

// flow returns the flow of a workspace and creates it if needed.
func (classQueue *classQueue[T]) flow(workspace string) *flow[T] {
	if found, ok := classQueue.flows[workspace]; ok {
		return found
	}
	if len(classQueue.flows) > maximumIdleFlows+2*classQueue.backlogged() {
		classQueue.evictIdle()
	}
	created := &flow[T]{weight: 1, normalizedService: classQueue.minimumCounter}
	for index := range created.subqueues {
		created.subqueues[index] = subqueue[T]{flow: created, items: btree.NewG(treeDegree, lessByDue[T])}
	}
	classQueue.flows[workspace] = created
	return created
}

// backlogged returns an upper bound of the number of workspaces with queued
// items: one with both short and long items counts twice.
func (classQueue *classQueue[T]) backlogged() int {
	return classQueue.order[0].Len() + classQueue.order[1].Len()
}

// evictIdle removes the idle flows that would resume at minimumCounter anyway.
func (classQueue *classQueue[T]) evictIdle() {
	for workspace, flow := range classQueue.flows {
		if flow.idle() && flow.counter() <= classQueue.minimumCounter {
			delete(classQueue.flows, workspace)
		}
	}
}

// add queues an entry. The caller updates the order with reposition.
func (classQueue *classQueue[T]) add(entry *entry[T]) {
	flow := classQueue.flow(entry.item.Workspace)
	entry.classQueue, entry.flow = classQueue, flow
	flow.weight = entry.item.Weight
	if flow.idle() {
		// An idle workspace resumes at the current minimum, so that it does not
		// accumulate credit while idle.
		flow.normalizedService = max(flow.normalizedService, classQueue.minimumCounter)
	}
	flow.subqueues[subqueueIndex(entry)].items.ReplaceOrInsert(entry)
	classQueue.count++
}

// remove deletes an entry. The caller updates the order with reposition.
func (classQueue *classQueue[T]) remove(entry *entry[T]) {
	entry.flow.subqueues[subqueueIndex(entry)].items.Delete(entry)
	classQueue.count--
}

// reposition updates the order after the items or the service of a flow changed.
func (classQueue *classQueue[T]) reposition(flow *flow[T], quantum float64) {
	quantumIndex := math.Floor(flow.counter() / quantum)
	for index := range flow.subqueues {
		subqueue := &flow.subqueues[index]
		head, found := subqueue.items.Min()
		if subqueue.indexed && found && subqueue.quantumIndex == quantumIndex && subqueue.head == head {
			continue
		}
		if subqueue.indexed {
			classQueue.order[index].Delete(subqueue)
		}
		subqueue.quantumIndex, subqueue.head, subqueue.indexed = quantumIndex, head, found
		if found {
			classQueue.order[index].ReplaceOrInsert(subqueue)
		}
	}
	classQueue.raiseMinimumCounter(quantum)
}

// raiseMinimumCounter raises the minimum counter to that of the least served
// workspace with queued items, rounded down to a whole quantum.
func (classQueue *classQueue[T]) raiseMinimumCounter(quantum float64) {
	least := math.Inf(1)
	for _, order := range classQueue.order {
		if subqueue, found := order.Min(); found {
			least = min(least, subqueue.quantumIndex*quantum)
		}
	}
	if !math.IsInf(least, 1) {
		classQueue.minimumCounter = max(classQueue.minimumCounter, least)
	}
}

// nextEligible returns the next eligible entry of the class, or nil. Below the
// top tier, items that can still meet their target go before those that cannot.
func (classQueue *classQueue[T]) nextEligible(filter *filter[T]) *entry[T] {
	if classQueue.count == 0 {
		return nil
	}
	if classQueue.key.tier > topTier && classQueue.onTimeStreak < lateDispatchInterval-1 {
		onTimeFilter := *filter
		onTimeFilter.minimumDue = filter.now
		if found := classQueue.nextInOrder(&onTimeFilter); found != nil {
			return found
		}
	}
	return classQueue.nextInOrder(filter)
}

// recordDispatch updates the on-time streak for a dispatched entry.
func (classQueue *classQueue[T]) recordDispatch(entry *entry[T], now int64) {
	if entry.due < now {
		classQueue.onTimeStreak = 0
		return
	}
	classQueue.onTimeStreak++
}

// nextInOrder returns the first entry in order that the filter allows, or nil.
func (classQueue *classQueue[T]) nextInOrder(filter *filter[T]) *entry[T] {
	short := firstEligible(classQueue.order[0], filter)
	long := firstEligible(classQueue.order[1], filter)
	if short == nil || long == nil {
		if short == nil {
			return long
		}
		return short
	}
	shortSubqueue, longSubqueue := &short.flow.subqueues[0], &long.flow.subqueues[1]
	if shortSubqueue.quantumIndex != longSubqueue.quantumIndex {
		if longSubqueue.quantumIndex < shortSubqueue.quantumIndex {
			return long
		}
		return short
	}
	if lessByDue(long, short) {
		return long
	}
	return short
}

// firstEligible returns the first eligible entry of the subqueues in order, or nil.
func firstEligible[T any](order *btree.BTreeG[*subqueue[T]], filter *filter[T]) *entry[T] {
	var chosen *entry[T]
	scanned := 0
	order.Ascend(func(subqueue *subqueue[T]) bool {
		chosen = subqueue.nextEligible(filter, &scanned)
		return chosen == nil && scanned < scanLimit
	})
	return chosen
}

// nextEligible returns the first eligible entry of the subqueue, or nil. Expired
// entries do not count as scanned, because the next call of Expired removes them.
func (subqueue *subqueue[T]) nextEligible(filter *filter[T], scanned *int) *entry[T] {
	late := subqueue.head.due < filter.minimumDue && subqueue.head.item.Served == 0
	if !late && !filter.expired(subqueue.head) && filter.allows(subqueue.head) {
		return subqueue.head
	}
	var chosen *entry[T]
	seen := 0
	subqueue.items.AscendGreaterOrEqual(&entry[T]{due: filter.minimumDue}, func(entry *entry[T]) bool {
		if filter.expired(entry) {
			return true
		}
		if filter.allows(entry) {
			chosen = entry
			return false
		}
		seen++
		return seen < flowScanLimit
	})
	*scanned += seen
	return chosen
}

// idle reports whether the workspace has nothing queued.
func (flow *flow[T]) idle() bool {
	return flow.subqueues[0].items.Len() == 0 && flow.subqueues[1].items.Len() == 0
}

// counter returns the service per weight, including the reserved tokens: the
// virtual token counter of the workspace.
func (flow *flow[T]) counter() float64 { return flow.normalizedService + flow.reserved/flow.weight }

// reserve counts the cost of a dispatched item in advance, up to
// Options.MaximumReservation.
func (flow *flow[T]) reserve(cost float64, options Options) {
	flow.reserved = min(flow.reserved+cost, max(flow.reserved, options.MaximumReservation))
}

// charge records served tokens and deducts them from the reservation.
func (flow *flow[T]) charge(tokens float64) {
	flow.normalizedService += tokens / flow.weight
	flow.reserved = max(0, flow.reserved-tokens)
}

// release cancels reserved tokens that will not be served.
func (flow *flow[T]) release(unused float64) {
	flow.reserved = max(0, flow.reserved-max(0, unused))
}
