package scale

import (
	"cmp"
	"math"
	"slices"
)

// placed is the planned numbers of a failure domain.
type placed struct {
	Domain
	base, spot, extra int
}

func (placed *placed) onDemand() int { return placed.base + placed.extra }

// planner makes one plan.
type planner struct {
	State
	plan    Result
	domains []*placed
}

// Plan returns the wanted numbers for a state. It raises numbers at once and lowers them slowly; on-demand engines
// are given up only once other ones serve in their place.
func Plan(state State) Result {
	planner := &planner{State: state}
	for _, domain := range state.Domains {
		planner.domains = append(planner.domains, &placed{Domain: domain})
		planner.plan.Ready += domain.OnDemand.supply() + domain.Spot.supply()
	}
	slices.SortFunc(planner.domains, func(a, b *placed) int {
		return cmp.Or(cmp.Compare(a.Price, b.Price), cmp.Compare(a.Name, b.Name))
	})
	planner.need()
	planner.placeBase()
	planner.placeLeast()
	planner.placeSpot()
	planner.placeExtra()
	planner.coverLoss()
	planner.order()
	return planner.plan
}

// engines returns the number of engines that a load needs.
func (planner *planner) engines(tokensPerS, inFlight float64) int {
	byTokens := tokensPerS / (planner.sustainedPerS() * utilization)
	byRequests := inFlight / (float64(planner.slots()) * slotUse)
	return int(math.Ceil(max(byTokens, byRequests)))
}

func (planner *planner) sustainedPerS() float64 {
	return cmp.Or(planner.TokensPerMs, defaultTokensPerMs) * sustainedShare * 1000
}

func (planner *planner) slots() int { return cmp.Or(planner.Slots, defaultSlots) }

// need computes how many engines are needed and wanted.
func (planner *planner) need() {
	plan, demand := &planner.plan, planner.Demand
	plan.Needed = planner.engines(demand.Now.Tokens, demand.Now.InFlight)
	plan.Held = max(plan.Needed, planner.engines(demand.Held.Tokens, demand.Held.InFlight))
	plan.Peak = max(plan.Held, planner.engines(demand.Peak.Tokens, demand.Peak.InFlight))
	plan.Burst = max(plan.Peak, planner.engines(demand.Held.Burst, demand.Held.InFlight))
	plan.Wanted = plan.Burst
	if demand.RefusedShare > refusedShare {
		plan.Wanted = max(plan.Wanted, int(math.Ceil(float64(plan.Ready)*refusedFactor)))
	}
	if !demand.Settled {
		plan.Wanted = max(plan.Wanted, planner.wantedAtStart())
	}
	plan.Wanted = max(plan.Wanted, planner.Limits.Min*len(planner.domains))
	plan.Wanted = (plan.Wanted + wantedStep - 1) / wantedStep * wantedStep
	urgent := max(demand.Held.UrgentTokens/(2*planner.sustainedPerS()*utilization), demand.Held.UrgentInFlight/float64(planner.slots()))
	least := int(math.Ceil(float64(planner.Start) * startBaseShare))
	plan.Base = max(least, min(int(math.Ceil(urgent)), int(float64(plan.Wanted)*maxBaseShare)))
}

// wantedAtStart returns the number of engines to aim at while the demand is not known.
func (planner *planner) wantedAtStart() int {
	if planner.Limits.SpotPrice <= 0 {
		return planner.Start
	}
	return int(math.Ceil(float64(planner.Start) * startFactor))
}

// essential is the number of engines below which the serving ones must not be brought by a reduction.
func (planner *planner) essential() int {
	if !planner.Demand.Settled {
		return max(planner.plan.Peak, planner.Start)
	}
	return planner.plan.Peak
}

// isShort reports whether a group does not get the servers that are ordered, or they are being reclaimed.
func (planner *planner) isShort(group Group) bool {
	isRefused := !group.RefusedAt.IsZero() && planner.Now.Sub(group.RefusedAt) < shortFor
	isMissing := !group.MissingSince.IsZero() && planner.Now.Sub(group.MissingSince) > planner.Limits.Boot+bootMargin
	return (isRefused || isMissing || group.Leaving > 0) && group.Ready < group.held()
}

// placeBase divides the on-demand engines that are kept among the cheapest failure domains.
func (planner *planner) placeBase() {
	if planner.Limits.SpotPrice <= 0 {
		return
	}
	shared := planner.domains[:min(baseDomains, len(planner.domains))]
	for remaining := planner.plan.Base; remaining > 0; remaining-- {
		if !grow(shared, func(domain *placed) (*int, float64) {
			return &domain.base, planner.room(domain, domain.OnDemand, domain.base)
		}) {
			return
		}
	}
}

// placeLeast gives each failure domain the least number of servers, spot ones if they are to be had.
func (planner *planner) placeLeast() {
	for _, domain := range planner.domains {
		for domain.onDemand()+domain.spot < planner.Limits.Min {
			switch {
			case planner.spotRoom(domain) > 0:
				domain.spot++
			default:
				domain.extra++
			}
		}
	}
}

// room returns the weight with which a group takes one more server than count; 0: it takes none. Numbers
// follow the inverse of the price's root: the largest part, which may be lost at once, stays small.
func (planner *planner) room(domain *placed, group Group, count int) float64 {
	if domain.onDemand()+domain.spot >= planner.Limits.Max || planner.isShort(group) && count >= group.supply() {
		return 0
	}
	return math.Sqrt(max(domain.Price, minPrice)) * float64(count+1)
}

// spotRoom is room for spot servers. The on-demand servers that are still there take room, too.
func (planner *planner) spotRoom(domain *placed) float64 {
	if planner.Limits.SpotPrice <= 0 || domain.spot+max(domain.OnDemand.held(), domain.OnDemand.Ready) >= planner.Limits.Max {
		return 0
	}
	return planner.room(domain, domain.Spot, domain.spot)
}

// grow adds one server to the failure domain with the least positive weight, and reports whether there is
// one.
func grow(domains []*placed, offer func(*placed) (*int, float64)) bool {
	var best *int
	least := math.Inf(1)
	for _, domain := range domains {
		if count, weight := offer(domain); weight > 0 && weight < least {
			best, least = count, weight
		}
	}
	if best == nil {
		return false
	}
	*best++
	return true
}

// placeSpot divides the wanted engines that are not of the base, more of them to cheaper failure domains.
func (planner *planner) placeSpot() {
	for planner.total() < planner.plan.Wanted {
		if !planner.growSpot(nil) {
			return
		}
	}
}

// growSpot adds a spot engine, not in the failure domain that is left out.
func (planner *planner) growSpot(leftOut *placed) bool {
	return grow(planner.domains, func(domain *placed) (*int, float64) {
		if domain == leftOut {
			return nil, 0
		}
		return &domain.spot, planner.spotRoom(domain)
	})
}

// growExtra adds an on-demand engine.
func (planner *planner) growExtra() bool {
	return grow(planner.domains, func(domain *placed) (*int, float64) {
		return &domain.extra, planner.room(domain, domain.OnDemand, domain.onDemand())
	})
}

// placeExtra adds on-demand engines if spot engines are not to be had.
func (planner *planner) placeExtra() {
	least := planner.essential()
	if planner.Limits.SpotPrice <= 0 {
		least = planner.plan.Wanted
	}
	for planner.total() < least {
		if !planner.growExtra() {
			return
		}
	}
}

// coverLoss adds engines until the loss of all spot engines of one failure domain leaves what the demand of
// the last seconds needs. The held one counts, or on-demand engines would come and go with each wave.
func (planner *planner) coverLoss() {
	for {
		largest := planner.largestSpot()
		if largest == nil || planner.total()-largest.spot >= planner.leastAfterLoss() {
			return
		}
		if !planner.growSpot(largest) && !planner.growExtra() {
			return
		}
	}
}

// leastAfterLoss returns the engines that must be left after such a loss: what the demand needs without a
// margin, as new ones come within the boot time.
func (planner *planner) leastAfterLoss() int {
	return int(math.Ceil(float64(planner.plan.Held) * utilization))
}

func (planner *planner) largestSpot() *placed {
	if len(planner.domains) == 0 {
		return nil
	}
	return slices.MaxFunc(planner.domains, func(a, b *placed) int { return cmp.Compare(a.spot, b.spot) })
}

// total returns the number of engines that are placed.
func (planner *planner) total() int {
	total := 0
	for _, domain := range planner.domains {
		total += domain.onDemand() + domain.spot
	}
	return total
}

// order derives the orders from the placed numbers.
func (planner *planner) order() {
	largest := 0
	for _, domain := range planner.domains {
		largest = max(largest, domain.Spot.supply())
	}
	mayFall := planner.plan.Ready - max(planner.essential(), largest+planner.leastAfterLoss())
	if planner.plan.Held*idleFactor >= planner.plan.Ready {
		mayFall = min(mayFall, onDemandStep)
	}
	spotFalls := 0
	if planner.Demand.Settled && planner.Now.Sub(planner.LastFall) >= fallInterval {
		spotFalls = 1
	}
	// The most expensive failure domain comes first in reductions.
	for _, domain := range slices.Backward(planner.domains) {
		onDemand := planner.orderOnDemand(domain, &mayFall)
		spot := planner.orderSpot(domain, &spotFalls)
		planner.add(Order{domain.Name, false, onDemand}, domain.OnDemand)
		planner.add(Order{domain.Name, true, spot}, domain.Spot)
	}
	slices.SortFunc(planner.plan.Orders, func(a, b Order) int {
		return cmp.Or(cmp.Compare(a.Domain, b.Domain), compareBool(a.Spot, b.Spot))
	})
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// orderOnDemand returns the number of on-demand servers to order, which falls by mayFall at most. A number
// that the platform does not fulfill stays, as with a server that restarts.
func (planner *planner) orderOnDemand(domain *placed, mayFall *int) int {
	held, target := domain.OnDemand.held(), domain.onDemand()
	if planner.isShort(domain.OnDemand) {
		return held
	}
	if target >= held {
		return max(held, min(target, planner.Limits.Max-domain.Spot.held()))
	}
	falls := min(held-target, max(0, *mayFall))
	*mayFall -= falls
	return held - falls
}

// orderSpot returns the number of spot servers to order, which falls by mayFall at most. A number that
// the platform does not fulfill stays, so that the order is repeated, unless on-demand servers take the
// room.
func (planner *planner) orderSpot(domain *placed, mayFall *int) int {
	held := domain.Spot.held()
	if planner.isShort(domain.Spot) {
		room := planner.Limits.Max - domain.onDemand()
		return min(held, max(room, domain.Spot.supply()))
	}
	if domain.spot >= held {
		return domain.spot
	}
	falls := min(held-domain.spot, *mayFall)
	*mayFall -= falls
	planner.plan.SpotFalls = planner.plan.SpotFalls || falls > 0
	return held - falls
}

// add adds an order unless the group has that number anyhow.
func (planner *planner) add(order Order, group Group) {
	if group.HasOrder || order.Servers != group.Ready {
		planner.plan.Orders = append(planner.plan.Orders, order)
	}
}
