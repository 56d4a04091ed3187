package queue

import "slices"

// tier holds the lanes of one tier and the ranks of its items by due instant.
type tier[T any] struct {
	number int
	lanes  []*lane[T]
	// fresh ranks the items that were never served, served the others. Only
	// fresh items may be shed.
	fresh  ranks[T]
	served ranks[T]
}

// tier returns the tier of a number and makes it if needed.
func (queue *Queue[T]) tier(number int) *tier[T] {
	index, found := slices.BinarySearchFunc(queue.tiers, number, func(tier *tier[T], number int) int {
		return tier.number - number
	})
	if !found {
		queue.tiers = slices.Insert(queue.tiers, index, &tier[T]{number: number})
	}
	return queue.tiers[index]
}

// share returns the minimum share of a class.
func (queue *Queue[T]) share(class string) float64 {
	if share := queue.options.MinimumShares[class]; share > 0 {
		return share
	}
	return queue.options.DefaultShare
}

// lane returns the lane of a class and tier and makes it if needed.
func (queue *Queue[T]) lane(number int, class string) *lane[T] {
	key := laneKey{number, class}
	if found, ok := queue.lanes[key]; ok {
		return found
	}
	made := newLane[T](key, queue.share(class))
	queue.lanes[key] = made
	tier := queue.tier(number)
	tier.lanes = append(tier.lanes, made)
	return made
}

// count returns the number of items of the tier.
func (tier *tier[T]) count() int { return tier.fresh.len() + tier.served.len() }

// ranksOf returns the ranks that an entry belongs to.
func (tier *tier[T]) ranksOf(entry *entry[T]) *ranks[T] {
	if entry.item.Served > 0 {
		return &tier.served
	}
	return &tier.fresh
}

// add ranks an entry.
func (tier *tier[T]) add(entry *entry[T]) { tier.ranksOf(entry).add(entry) }

// remove takes an entry out of its ranks.
func (tier *tier[T]) remove(entry *entry[T]) { tier.ranksOf(entry).remove(entry) }

// popOwed finds the first eligible entry of the class that has been owed for the
// longest, if the spacing allows such a dispatch now.
func (queue *Queue[T]) popOwed(filter *filter[T]) *entry[T] {
	if queue.sinceOwed < queue.options.Spacing-1 {
		return nil
	}
	var best *entry[T]
	for _, tier := range queue.tiers {
		for _, lane := range tier.lanes {
			if lane.owedSince == 0 || (best != nil && lane.owedSince >= best.lane.owedSince) {
				continue
			}
			if found := lane.first(filter); found != nil {
				best = found
			}
		}
	}
	return best
}

// account updates the deficits for a dispatch. Service in the order of tiers
// pays off what a class is owed but makes no debt, or a class that was served
// alone for a while would starve when work of a higher tier comes.
func (queue *Queue[T]) account(chosen *entry[T], owed bool) {
	queue.dispatched++
	queue.sinceOwed++
	cost := chosen.item.Cost
	for _, tier := range queue.tiers {
		for _, lane := range tier.lanes {
			if lane != chosen.lane {
				lane.accrue(cost, queue.options.Burst)
				lane.mark(queue.dispatched, queue.options.Burst)
			}
		}
	}
	lane := chosen.lane
	if owed {
		queue.sinceOwed = 0
		lane.deficit -= cost
	} else {
		lane.deficit = max(lane.deficit-cost, min(lane.deficit, 0))
	}
	// A class that is still owed goes behind the other owed classes.
	lane.owedSince = 0
	lane.mark(queue.dispatched, queue.options.Burst)
}

// accrue adds the lane's share of a cost that went to another class. What a
// class without queued work was owed is dropped.
func (lane *lane[T]) accrue(cost, burst float64) {
	if lane.count == 0 {
		lane.deficit = min(lane.deficit, 0)
	}
	if lane.count > 0 || lane.deficit < 0 {
		lane.deficit = min(lane.deficit+lane.share*cost, 2*burst)
	}
}

// mark notes whether the lane is owed a dispatch.
func (lane *lane[T]) mark(dispatch uint64, burst float64) {
	switch {
	case lane.count == 0 || lane.deficit < lane.price(burst):
		lane.owedSince = 0
	case lane.owedSince == 0:
		lane.owedSince = dispatch
	}
}

// price returns the deficit at which the lane's next item may be dispatched.
func (lane *lane[T]) price(burst float64) float64 {
	price := burst
	for _, order := range lane.order {
		if side, found := order.Min(); found {
			price = min(price, side.head.item.Cost)
		}
	}
	return price
}
