package route

import (
	"math/rand/v2"
	"time"
)

// The rules of a selection, in order of preference.
const (
	ruleLocal = iota
	ruleSpill
	ruleLateLocal
	ruleLateSpill
	ruleOverload
	ruleCount
)

// reasonOf returns the reason that is logged for a rule.
func reasonOf(rule int) Reason {
	return [ruleCount]Reason{Local, Spill, LateLocal, LateSpill, Overload}[rule]
}

// estimate is the estimated wait of a usable candidate.
type estimate struct {
	// index is the candidate's index in the list passed to Choose.
	index int
	wait  time.Duration
	// credit is the estimated time saved by cached prefix tokens.
	credit time.Duration
	local  bool
}

// selection samples the estimates that meet the first applicable rule, in a single
// pass and in constant space.
type selection struct {
	target   time.Duration
	deadline time.Duration
	// rule is the first rule that any estimate so far meets.
	rule int
	// sample holds up to sampleSize estimates of that rule, chosen at random by
	// reservoir sampling, and has space for longestMatch. longestMatch is the
	// estimate of the rule with the greatest credit; seen is the rule's number of
	// estimates.
	sample       [sampleSize + 1]estimate
	longestMatch estimate
	seen         int
	// leastWait holds the estimate with the least wait for each rule.
	leastWait [ruleCount]estimate
	found     [ruleCount]bool
}

// ruleOf returns the first rule that an estimate meets.
func (selection *selection) ruleOf(added estimate) int {
	switch {
	case added.wait <= selection.target && added.local:
		return ruleLocal
	case added.wait <= selection.target:
		return ruleSpill
	case added.wait <= selection.deadline && added.local:
		return ruleLateLocal
	case added.wait <= selection.deadline:
		return ruleLateSpill
	default:
		return ruleOverload
	}
}

// add adds an estimate to the selection.
func (selection *selection) add(added estimate, random *rand.Rand) {
	rule := selection.ruleOf(added)
	if !selection.found[rule] || added.wait < selection.leastWait[rule].wait {
		selection.leastWait[rule], selection.found[rule] = added, true
	}
	if rule > selection.rule {
		return
	}
	if rule < selection.rule {
		selection.rule, selection.seen = rule, 0
	}
	if selection.seen == 0 || added.credit > selection.longestMatch.credit {
		selection.longestMatch = added
	}
	selection.seen++
	if selection.seen <= sampleSize {
		selection.sample[selection.seen-1] = added
	} else if position := random.IntN(selection.seen); position < sampleSize {
		selection.sample[position] = added
	}
}

// comparisonSet returns the sampled estimates and the one with the longest prefix
// match, if any.
func (selection *selection) comparisonSet() []estimate {
	count := min(selection.seen, sampleSize)
	if selection.longestMatch.credit == 0 {
		return selection.sample[:count]
	}
	for _, other := range selection.sample[:count] {
		if other == selection.longestMatch {
			return selection.sample[:count]
		}
	}
	selection.sample[count] = selection.longestMatch
	return selection.sample[:count+1]
}

// best returns the estimate of the comparison set with the least wait, less the
// prefix credit if withCredit is set.
func (selection *selection) best(withCredit bool) estimate {
	cost := func(one estimate) time.Duration {
		if withCredit {
			return one.wait - one.credit
		}
		return one.wait
	}
	comparisonSet := selection.comparisonSet()
	best := comparisonSet[0]
	for _, other := range comparisonSet[1:] {
		if cost(other) < cost(best) {
			best = other
		}
	}
	return best
}

// nextRuleBest returns the estimate with the least wait under the next rule that
// any estimate meets.
func (selection *selection) nextRuleBest() (estimate, bool) {
	for rule := selection.rule + 1; rule < ruleCount; rule++ {
		if selection.found[rule] {
			return selection.leastWait[rule], true
		}
	}
	return estimate{}, false
}
