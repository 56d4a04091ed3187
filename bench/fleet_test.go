package bench_test

import (
	"fmt"
	"time"

	"primrosegw/standin/engine"
)

// poisonMark in a prompt crashes the engine that runs it.
const poisonMark = "<poison>"

// fleet is the engines of one run.
type fleet struct {
	profile profile
	// pools holds the engines of each pool; engine i is in failure domain
	// i modulo the number of domains.
	pools [][]*engine.Model
}

// newFleet starts the engines of an environment.
func newFleet(profile profile, scenario scenario, seed uint64) *fleet {
	fleet := &fleet{profile: profile}
	for _, pool := range profile.pools {
		models := make([]*engine.Model, pool.engines)
		for i := range models {
			models[i] = engine.New(engine.Options{
				Name: fmt.Sprintf("%s-%02d", pool.model, i), Slots: slots,
				StepBase: stepBase, StepPerCall: stepPerCall, PrefillPerToken: prefillPerToken,
				LoadLag: scenario.lag, CacheLag: scenario.lag, CacheGap: 0.02,
				Poison: poisonMark, Seed: seed*1000 + uint64(i),
			})
		}
		fleet.pools = append(fleet.pools, models)
	}
	return fleet
}

// models returns the engines of all pools.
func (fleet *fleet) models() []*engine.Model {
	var models []*engine.Model
	for _, pool := range fleet.pools {
		models = append(models, pool...)
	}
	return models
}

// domain returns the engines of a pool in one failure domain.
func (fleet *fleet) domain(pool, domain int) []*engine.Model {
	var models []*engine.Model
	for i, model := range fleet.pools[pool] {
		if i%len(fleet.profile.domains) == domain {
			models = append(models, model)
		}
	}
	return models
}

// slow makes every fifth engine, from the given one on, 5 times slower.
func (fleet *fleet) slow(first int, from, until time.Duration) {
	const nth, factor = 5, 5
	for i, model := range fleet.models() {
		if i%nth == first {
			time.AfterFunc(from, func() { model.Slow(factor) })
			time.AfterFunc(until, func() { model.Slow(1) })
		}
	}
}

// totals sums the counts of all engines.
func (fleet *fleet) totals() engine.Stats {
	var total engine.Stats
	for _, model := range fleet.models() {
		stats := model.Stats()
		total.Generated += stats.Generated
		total.Prefilled += stats.Prefilled
		total.Started += stats.Started
		total.Cancelled += stats.Cancelled
		total.Crashes += stats.Crashes
	}
	return total
}
