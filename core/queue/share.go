package queue

import "slices"

// tier holds the class queues of one tier and indexes its items by due time.
type tier[T any] struct {
	number      int
	classQueues []*classQueue[T]
	// unserved indexes the items without served tokens, which may be shed;
	// served indexes the others.
	unserved dueIndex[T]
	served   dueIndex[T]
}

// tier returns the tier with the given number and creates it if needed.
func (queue *Queue[T]) tier(number int) *tier[T] {
	index, found := slices.BinarySearchFunc(queue.tiers, number, func(tier *tier[T], number int) int {
		return tier.number - number
	})
	if !found {
		queue.tiers = slices.Insert(queue.tiers, index, &tier[T]{number: number})
	}
	return queue.tiers[index]
}

// share returns the minimum share of a class, or the default share.
func (queue *Queue[T]) share(class string) float64 {
	if share := queue.options.MinimumShares[class]; share > 0 {
		return share
	}
	return queue.options.DefaultShare
}

// classQueue returns the queue of a class and tier and creates it if needed.
func (queue *Queue[T]) classQueue(number int, class string) *classQueue[T] {
	key := classKey{number, class}
	if found, ok := queue.classQueues[key]; ok {
		return found
	}
	created := newClassQueue[T](key, queue.share(class))
	queue.classQueues[key] = created
	tier := queue.tier(number)
	tier.classQueues = append(tier.classQueues, created)
	return created
}

// count returns the number of queued items of the tier.
func (tier *tier[T]) count() int { return tier.unserved.len() + tier.served.len() }

// dueIndexOf returns the index that an entry belongs to.
func (tier *tier[T]) dueIndexOf(entry *entry[T]) *dueIndex[T] {
	if entry.item.Served > 0 {
		return &tier.served
	}
	return &tier.unserved
}

// add inserts an entry into its due index.
func (tier *tier[T]) add(entry *entry[T]) { tier.dueIndexOf(entry).add(entry) }

// remove deletes an entry from its due index.
func (tier *tier[T]) remove(entry *entry[T]) { tier.dueIndexOf(entry).remove(entry) }

// findUnderserved returns the next eligible entry of the class that has been
// underserved the longest, or nil. At most one dispatch in every
// Options.MinimumShareInterval may go to an underserved class out of order.
func (queue *Queue[T]) findUnderserved(filter *filter[T]) *entry[T] {
	if queue.sinceMinimumShare < queue.options.MinimumShareInterval-1 {
		return nil
	}
	var best *entry[T]
	for _, tier := range queue.tiers {
		for _, classQueue := range tier.classQueues {
			if classQueue.underservedSince == 0 || (best != nil && classQueue.underservedSince >= best.classQueue.underservedSince) {
				continue
			}
			if found := classQueue.nextEligible(filter); found != nil {
				best = found
			}
		}
	}
	return best
}

// updateDeficits updates the deficits for a dispatch. A dispatch in tier order
// reduces a positive deficit but never makes it negative: otherwise a class that
// was served alone for a while would starve once work of a higher tier arrives.
func (queue *Queue[T]) updateDeficits(chosen *entry[T], forMinimumShare bool) {
	queue.dispatchCount++
	queue.sinceMinimumShare++
	cost := chosen.item.Cost
	for _, tier := range queue.tiers {
		for _, classQueue := range tier.classQueues {
			if classQueue != chosen.classQueue {
				classQueue.accrueDeficit(cost, queue.options.DeficitThreshold)
				classQueue.updateUnderserved(queue.dispatchCount, queue.options.DeficitThreshold)
			}
		}
	}
	classQueue := chosen.classQueue
	if forMinimumShare {
		queue.sinceMinimumShare = 0
		classQueue.deficit -= cost
	} else {
		classQueue.deficit = max(classQueue.deficit-cost, min(classQueue.deficit, 0))
	}
	// A class that is still underserved moves behind the other underserved ones.
	classQueue.underservedSince = 0
	classQueue.updateUnderserved(queue.dispatchCount, queue.options.DeficitThreshold)
}

// accrueDeficit adds the class's share of a cost dispatched for another class.
// A class without queued items loses a positive deficit. The deficit is capped
// at twice the threshold.
func (classQueue *classQueue[T]) accrueDeficit(cost, deficitThreshold float64) {
	if classQueue.count == 0 {
		classQueue.deficit = min(classQueue.deficit, 0)
	}
	if classQueue.count > 0 || classQueue.deficit < 0 {
		classQueue.deficit = min(classQueue.deficit+classQueue.share*cost, 2*deficitThreshold)
	}
}

// updateUnderserved records the dispatch at which the class became underserved,
// or clears it if the deficit is below the threshold.
func (classQueue *classQueue[T]) updateUnderserved(dispatch uint64, deficitThreshold float64) {
	switch {
	case classQueue.count == 0 || classQueue.deficit < classQueue.underservedThreshold(deficitThreshold):
		classQueue.underservedSince = 0
	case classQueue.underservedSince == 0:
		classQueue.underservedSince = dispatch
	}
}

// underservedThreshold returns the deficit from which the class is underserved:
// the cost of its next item, or Options.DeficitThreshold if that is less.
func (classQueue *classQueue[T]) underservedThreshold(deficitThreshold float64) float64 {
	threshold := deficitThreshold
	for _, order := range classQueue.order {
		if subqueue, found := order.Min(); found {
			threshold = min(threshold, subqueue.head.item.Cost)
		}
	}
	return threshold
}
