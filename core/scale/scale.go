// Package scale decides how many servers of each kind are ordered in each failure domain for a service
// whose number of servers is up to the hosts. It has no clock and no network.
package scale

import (
	"time"

	"primrosegw/core/table"
)

const (
	// utilization is the share of their sustained prefill rate up to which engines are planned to be
	// used: requests do not arrive evenly.
	utilization = 0.8
	// slotUse is the share of the slots that may be in use. Near all of them, requests wait.
	slotUse = 0.6
	// sustainedShare is the share of the observed prefill rate that engines keep up under mixed load:
	// 39 prompt tokens per ms were observed at best, and about half of that beside running requests.
	sustainedShare = 0.5
	// defaultTokensPerMs is the assumed rate at best while none has been observed.
	defaultTokensPerMs = 30.0
	// defaultSlots is the assumed number of requests that an engine holds if the configuration names none.
	defaultSlots = 16
	// startFactor is the number of engines that are kept until the demand has been seen for holdPeak,
	// relative to those that were there at first: without the spot engines of any failure domain, nearly
	// as many are left.
	startFactor = 1.6
	// startBaseShare and maxBaseShare bound the on-demand engines that are kept in any case, relative to
	// the engines at first and to the planned ones.
	startBaseShare, maxBaseShare = 0.125, 0.08
	// baseDomains is the number of failure domains that share the base, so that the loss of one leaves a half.
	baseDomains = 2
	// refusedShare is the share of refused requests from which on more engines are ordered than the
	// estimate of their capacity says, by refusedFactor relative to those that serve.
	refusedShare, refusedFactor = 0.01, 1.25
	// wantedStep is what the wanted number is rounded up to a multiple of, so that noise leads to few orders.
	wantedStep = 6
	// minPrice is the least price that servers are divided by.
	minPrice = 0.01
	// shortFor is how long engines that were refused are not counted on. The order is repeated meanwhile.
	shortFor = 10 * time.Second
	// bootMargin is how much longer than the boot time ordered engines are counted on.
	bootMargin = 3 * time.Second
	// fallInterval is the time between two reductions of spot engines, each by one: they are cheap, and
	// new ones take the boot time.
	fallInterval = 4 * time.Second
	// onDemandStep is the largest reduction of on-demand engines at once while the engines are in use, which
	// is from 1/idleFactor of them on: requests that run there go on elsewhere, and cached prompts are lost.
	onDemandStep, idleFactor = 6, 4
)

// Group is the servers of one kind in one failure domain.
type Group struct {
	// Ready servers are registered and not leaving.
	Ready   int
	Leaving int
	// Ordered is the number that was ordered last, if HasOrder is set.
	Ordered  int
	HasOrder bool
	// RefusedAt is when the platform last had no servers of the kind; zero: never.
	RefusedAt time.Time
	// MissingSince is since when fewer servers than ordered have been ready; zero: they are.
	MissingSince time.Time
}

// held returns the number of servers that there are to be.
func (group Group) held() int {
	if group.HasOrder {
		return group.Ordered
	}
	return group.Ready
}

// supply returns the number of servers that serve and are not to leave.
func (group Group) supply() int { return min(group.Ready, group.held()) }

// Domain is a failure domain in which servers may be ordered.
type Domain struct {
	Name string
	// Price is the price of a second of an on-demand server.
	Price    float64
	OnDemand Group
	Spot     Group
}

// State is what a plan is made from.
type State struct {
	Now    time.Time
	Limits table.Autoscale
	// Slots is the number of requests that an engine holds, 0 if not known.
	Slots int
	// TokensPerMs is the prefill rate of an engine as observed at best, 0 if not known.
	TokensPerMs float64
	// Start is the number of on-demand servers that there were before the first order of some.
	Start   int
	Domains []Domain
	Demand  Demand
	// LastFall is when the number of spot servers was last reduced.
	LastFall time.Time
}

// Order sets the number of servers of one kind in one failure domain.
type Order struct {
	Domain  string `json:"domain"`
	Spot    bool   `json:"spot,omitempty"`
	Servers int    `json:"servers"`
}

// Result is the wanted numbers, and what they follow from.
type Result struct {
	// Orders holds the number for each kind and domain that has an order, or needs one.
	Orders []Order
	// Needed is the number of engines that the demand of the last seconds needs, Held that of the highest
	// one that is held, Peak the same with the forecast growth, and Burst with a burst of long prompts.
	Needed, Held, Peak, Burst int
	// Wanted is the number to aim at, Base the on-demand ones among them that are kept in any case.
	Wanted, Base int
	// Ready is the number of engines that serve and are not to leave.
	Ready int
	// SpotFalls is set if the number of spot engines falls.
	SpotFalls bool
}
