package queue

import (
	"math"

	"github.com/google/btree"
)

const (
	// scanLimit is the number of ineligible items of a class, short or long,
	// after which Pop gives up on that group.
	scanLimit = 64
	// scanFlowLimit is the same within one workspace, so that the ineligible
	// items of one workspace do not hide the others.
	scanFlowLimit = 8
	// idleFlows is the number of idle workspaces that a lane remembers before
	// it forgets those whose counters no longer matter.
	idleFlows = 1024
	// lateSpacing is the number of consecutive dispatches of a class of which at
	// least one goes to the first item in order, late or not, so that late items
	// are served under a lasting overload too.
	lateSpacing = 8
	// topTier is the tier whose items are always served in order.
	topTier = 1
)

// laneKey names a lane. A class has one tier, but while a document that moves a
// class spreads, items of both tiers may be queued.
type laneKey struct {
	tier  int
	class string
}

// lane holds the queued items of one class and tier.
type lane[T any] struct {
	key   laneKey
	share float64
	// deficit is the cost in tokens that the class is behind its share.
	deficit float64
	// owedSince is the dispatch at which the class became owed; 0: not owed.
	owedSince uint64
	count     int
	// onTime counts the dispatches in a row of items that were not late.
	onTime int
	flows  map[string]*flow[T]
	// order holds the workspaces with queued items, short and long apart.
	order [2]*btree.BTreeG[*side[T]]
	// floor is the counter below which no workspace starts again.
	floor float64
}

// flow is what one workspace has queued in a lane, and its service so far.
type flow[T any] struct {
	weight float64
	// virtual is the tokens served divided by the weight.
	virtual float64
	// provision is the cost of dispatched items that is not yet charged.
	provision float64
	sides     [2]side[T]
}

// side is the short or the long part of a flow with its place in the lane.
type side[T any] struct {
	flow   *flow[T]
	items  *btree.BTreeG[*entry[T]]
	listed bool
	step   float64
	head   *entry[T]
}

// newLane returns an empty lane.
func newLane[T any](key laneKey, share float64) *lane[T] {
	lane := &lane[T]{key: key, share: share, flows: make(map[string]*flow[T])}
	for index := range lane.order {
		lane.order[index] = btree.NewG(treeDegree, earlierSide[T])
	}
	return lane
}

// earlierSide orders workspaces by service in steps, then by due instant.
func earlierSide[T any](a, b *side[T]) bool {
	if a.step != b.step {
		return a.step < b.step
	}
	return sooner(a.head, b.head)
}

// sideOf returns the index of the group that an entry belongs to.
func sideOf[T any](entry *entry[T]) int {
	if entry.item.Long {
		return 1
	}
	return 0
}

// flow returns the workspace's flow and makes it if needed.
func (lane *lane[T]) flow(workspace string) *flow[T] {
	if found, ok := lane.flows[workspace]; ok {
		return found
	}
	if len(lane.flows) > idleFlows+2*lane.backlogged() {
		lane.forget()
	}
	made := &flow[T]{weight: 1, virtual: lane.floor}
	for index := range made.sides {
		made.sides[index] = side[T]{flow: made, items: btree.NewG(treeDegree, sooner[T])}
	}
	lane.flows[workspace] = made
	return made
}

// backlogged returns the number of workspaces with queued items, or more.
func (lane *lane[T]) backlogged() int { return lane.order[0].Len() + lane.order[1].Len() }

// forget drops idle workspaces that would start at the floor anyway.
func (lane *lane[T]) forget() {
	for workspace, flow := range lane.flows {
		if flow.idle() && flow.counter() <= lane.floor {
			delete(lane.flows, workspace)
		}
	}
}

// add queues an entry.
func (lane *lane[T]) add(entry *entry[T]) {
	flow := lane.flow(entry.item.Workspace)
	entry.lane, entry.flow = lane, flow
	flow.weight = entry.item.Weight
	if flow.idle() {
		// A workspace that was idle starts at the current minimum, so that it
		// saves up no credit.
		flow.virtual = max(flow.virtual, lane.floor)
	}
	flow.sides[sideOf(entry)].items.ReplaceOrInsert(entry)
	lane.count++
}

// remove takes an entry out.
func (lane *lane[T]) remove(entry *entry[T]) {
	entry.flow.sides[sideOf(entry)].items.Delete(entry)
	lane.count--
}

// place puts a flow at its rank after its items or its service changed.
func (lane *lane[T]) place(flow *flow[T], quantum float64) {
	step := math.Floor(flow.counter() / quantum)
	for index := range flow.sides {
		side := &flow.sides[index]
		head, found := side.items.Min()
		if side.listed && found && side.step == step && side.head == head {
			continue
		}
		if side.listed {
			lane.order[index].Delete(side)
		}
		side.step, side.head, side.listed = step, head, found
		if found {
			lane.order[index].ReplaceOrInsert(side)
		}
	}
	lane.raiseFloor(quantum)
}

// raiseFloor moves the floor up to the step of the least served workspace that
// has items queued. It lags that workspace by less than a quantum.
func (lane *lane[T]) raiseFloor(quantum float64) {
	least := math.Inf(1)
	for _, order := range lane.order {
		if side, found := order.Min(); found {
			least = min(least, side.step*quantum)
		}
	}
	if !math.IsInf(least, 1) {
		lane.floor = max(lane.floor, least)
	}
}

// first returns the lane's next eligible entry, or nil. Below the top tier,
// items that can still meet their target go before those that cannot.
func (lane *lane[T]) first(filter *filter[T]) *entry[T] {
	if lane.count == 0 {
		return nil
	}
	if lane.key.tier > topTier && lane.onTime < lateSpacing-1 {
		punctual := *filter
		punctual.from = filter.now
		if found := lane.inOrder(&punctual); found != nil {
			return found
		}
	}
	return lane.inOrder(filter)
}

// dispatched counts a dispatch of an entry.
func (lane *lane[T]) dispatched(entry *entry[T], now int64) {
	if entry.due < now {
		lane.onTime = 0
		return
	}
	lane.onTime++
}

// inOrder returns the first entry that the filter allows, or nil.
func (lane *lane[T]) inOrder(filter *filter[T]) *entry[T] {
	short := firstOf(lane.order[0], filter)
	long := firstOf(lane.order[1], filter)
	if short == nil || long == nil {
		if short == nil {
			return long
		}
		return short
	}
	shortSide, longSide := &short.flow.sides[0], &long.flow.sides[1]
	if shortSide.step != longSide.step {
		if longSide.step < shortSide.step {
			return long
		}
		return short
	}
	if sooner(long, short) {
		return long
	}
	return short
}

// firstOf returns the first eligible entry among the workspaces of one group.
func firstOf[T any](order *btree.BTreeG[*side[T]], filter *filter[T]) *entry[T] {
	var chosen *entry[T]
	scanned := 0
	order.Ascend(func(side *side[T]) bool {
		chosen = side.first(filter, &scanned)
		return chosen == nil && scanned < scanLimit
	})
	return chosen
}

// first returns the side's first eligible entry, or nil. Expired entries do not
// count as scanned: they stay only until the next call of Expired.
func (side *side[T]) first(filter *filter[T], scanned *int) *entry[T] {
	late := side.head.due < filter.from && side.head.item.Served == 0
	if !late && !filter.expired(side.head) && filter.allows(side.head) {
		return side.head
	}
	var chosen *entry[T]
	seen := 0
	side.items.AscendGreaterOrEqual(&entry[T]{due: filter.from}, func(entry *entry[T]) bool {
		if filter.expired(entry) {
			return true
		}
		if filter.allows(entry) {
			chosen = entry
			return false
		}
		seen++
		return seen < scanFlowLimit
	})
	*scanned += seen
	return chosen
}

// idle reports whether the workspace has nothing queued.
func (flow *flow[T]) idle() bool {
	return flow.sides[0].items.Len() == 0 && flow.sides[1].items.Len() == 0
}

// counter returns the workspace's service per weight, with what is provided.
func (flow *flow[T]) counter() float64 { return flow.virtual + flow.provision/flow.weight }

// provide counts a dispatched cost in advance.
func (flow *flow[T]) provide(cost float64, options Options) {
	flow.provision = min(flow.provision+cost, max(flow.provision, options.Provision))
}

// charge counts served tokens.
func (flow *flow[T]) charge(tokens float64) {
	flow.virtual += tokens / flow.weight
	flow.provision = max(0, flow.provision-tokens)
}

// settle takes back an advance.
func (flow *flow[T]) settle(unused float64) {
	flow.provision = max(0, flow.provision-max(0, unused))
}
