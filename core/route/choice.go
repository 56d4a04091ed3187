package route

import (
	"math/rand/v2"
	"time"
)

// The rules of a choice in the order in which they apply.
const (
	ruleLocal = iota
	ruleSpill
	ruleLateLocal
	ruleLateSpill
	ruleOverload
	rules
)

// reasonOf returns the reason that stands for a rule in log lines.
func reasonOf(rule int) Reason {
	return [rules]Reason{Local, Spill, LateLocal, LateSpill, Overload}[rule]
}

// estimate is a usable candidate with its estimated wait.
type estimate struct {
	index int
	wait  time.Duration
	// credit is the time that a prefix match is believed to save.
	credit time.Duration
	local  bool
}

// choice collects the estimates that the first fulfilled rule allows, in one
// pass and without memory for the others.
type choice struct {
	target   time.Duration
	deadline time.Duration
	// rule is the first rule that some estimate fulfils.
	rule int
	// drawn holds up to two estimates of that rule, drawn at random from the
	// seen ones (reservoir sampling); matched is the one of greatest credit.
	drawn   [choices + 1]estimate
	matched estimate
	seen    int
	// least holds the estimate of least wait of each rule.
	least [rules]estimate
	found [rules]bool
}

// ruleOf returns the first rule that an estimate fulfils.
func (choice *choice) ruleOf(added estimate) int {
	switch {
	case added.wait <= choice.target && added.local:
		return ruleLocal
	case added.wait <= choice.target:
		return ruleSpill
	case added.wait <= choice.deadline && added.local:
		return ruleLateLocal
	case added.wait <= choice.deadline:
		return ruleLateSpill
	default:
		return ruleOverload
	}
}

// add takes in an estimate.
func (choice *choice) add(added estimate, random *rand.Rand) {
	rule := choice.ruleOf(added)
	if !choice.found[rule] || added.wait < choice.least[rule].wait {
		choice.least[rule], choice.found[rule] = added, true
	}
	if rule > choice.rule {
		return
	}
	if rule < choice.rule {
		choice.rule, choice.seen = rule, 0
	}
	if choice.seen == 0 || added.credit > choice.matched.credit {
		choice.matched = added
	}
	choice.seen++
	if choice.seen <= choices {
		choice.drawn[choice.seen-1] = added
	} else if slot := random.IntN(choice.seen); slot < choices {
		choice.drawn[slot] = added
	}
}

// compared returns the drawn estimates and the one with the longest match.
func (choice *choice) compared() []estimate {
	count := min(choice.seen, choices)
	if choice.matched.credit == 0 {
		return choice.drawn[:count]
	}
	for _, other := range choice.drawn[:count] {
		if other == choice.matched {
			return choice.drawn[:count]
		}
	}
	choice.drawn[count] = choice.matched
	return choice.drawn[:count+1]
}

// best returns the compared estimate of the least wait, with or without credit.
func (choice *choice) best(credited bool) estimate {
	cost := func(one estimate) time.Duration {
		if credited {
			return one.wait - one.credit
		}
		return one.wait
	}
	compared := choice.compared()
	best := compared[0]
	for _, other := range compared[1:] {
		if cost(other) < cost(best) {
			best = other
		}
	}
	return best
}

// passed returns the estimate of least wait of the next rule that has any.
func (choice *choice) passed() (estimate, bool) {
	for rule := choice.rule + 1; rule < rules; rule++ {
		if choice.found[rule] {
			return choice.least[rule], true
		}
	}
	return estimate{}, false
}
