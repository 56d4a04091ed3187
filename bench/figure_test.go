package bench_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
)

// figure is one measured value.
type figure struct {
	measure string
	policy  string
	profile string
	seed    uint64
	value   float64
	unit    string
	bound   bound
	// class is set when the measure is taken for each class.
	class string
}

// bound is what a figure of the router has to meet.
type bound struct {
	// relation is ">=", "<=", ">" or empty for none.
	relation string
	limit    float64
}

// holds reports whether a value is within the bound.
func (bound bound) holds(value float64) bool {
	switch bound.relation {
	case ">=":
		return value >= bound.limit
	case "<=":
		return value <= bound.limit
	case ">":
		return value > bound.limit
	}
	return true
}

// String returns the bound as printed.
func (bound bound) String() string {
	if bound.relation == "" {
		return "none"
	}
	return fmt.Sprintf("%s%.4g", bound.relation, bound.limit)
}

// String returns the line of a figure.
func (figure figure) String() string {
	line := fmt.Sprintf("measure=%s policy=%s seed=%d value=%.4g unit=%s bound=%s profile=%s",
		figure.measure, figure.policy, figure.seed, figure.value, figure.unit, figure.bound, figure.profile)
	if figure.class != "" {
		line += " class=" + figure.class
	}
	return line
}

// The bounds of docs/design.md, section 7, fixed before the first figure.
const (
	targetShare = 0.95
	wastedShare = 0.05
	lostEngines = 2
	crestWidth  = 5 * time.Second
)

// atLeast, atMost and above return bounds.
func atLeast(limit float64) bound { return bound{">=", limit} }
func atMost(limit float64) bound  { return bound{"<=", limit} }
func above(limit float64) bound   { return bound{">", limit} }

// figures returns the values of one run.
func figures(result result) []figure {
	var figures []figure
	add := func(measure string, value float64, unit string, bound bound) {
		figures = append(figures, figure{
			measure: measure, policy: result.policy, profile: result.profile.name, seed: result.seed,
			value: value, unit: unit, bound: bound,
		})
	}
	switch result.scenario.name {
	case "swing":
		add("attainment", result.attainment(isTop), "share", atLeast(targetShare))
		add("crest", result.crest(), "share", atLeast(targetShare))
		add("top_tier_shed", float64(result.shed(isTop)), "calls", atMost(0))
		if result.audit != nil {
			add("top_tier_preempted", float64(result.audit.top), "calls", atMost(0))
			add("preempted", float64(result.audit.all), "calls", bound{})
		}
		add("least_served_class", result.leastServed(), "calls", atLeast(1))
		add("middle_attainment", result.attainment(func(record *record) bool { return record.class.role == middle }), "share", bound{})
		add("goodput", result.goodput(), "tokens/s", bound{})
		for _, class := range result.profile.classes {
			name := class.name
			add("class_attainment", result.attainment(func(record *record) bool { return record.class.name == name }), "share", bound{})
			figures[len(figures)-1].class = name
		}
	case "head_of_line":
		short := func(record *record) bool { return slices.Contains(result.profile.short, record.class.name) }
		add("head_of_line", result.attainment(short), "share", atLeast(targetShare))
	case "slow_tail":
		add("slow_tail", result.attainment(isTop), "share", atLeast(targetShare))
		add("slow_tail_p99", result.quantile(isTop, 0.99).Seconds()*1000, "ms", bound{})
	case "wasted_work":
		add("wasted_work", result.wasted(), "share", atMost(wastedShare))
		add("crash_attainment", result.attainment(isTop), "share", bound{})
	case "starvation":
		limit := starvationBound(result.profile).Seconds()
		add("starvation", result.longestWait().Seconds(), "s", atMost(limit))
	case "poison":
		add("poison", float64(result.totals.Crashes), "engines", atMost(lostEngines))
	}
	add("wrong_answers_"+result.scenario.name, float64(result.wrong()), "calls", atMost(0))
	return figures
}

// isTop selects the calls of the top tier.
func isTop(record *record) bool { return record.class.role == top }

// counted returns the selected calls that arrived in the measured window.
func (result *result) counted(selected func(*record) bool) []*record {
	return slices.DeleteFunc(slices.Clone(result.records), func(record *record) bool {
		inWindow := record.at >= result.scenario.from && record.at < result.scenario.until
		return !inWindow || !selected(record)
	})
}

// share returns the part of the decided calls that met their target, and the
// number of decided calls.
func share(records []*record) (float64, int) {
	hits, decided := 0, 0
	for _, record := range records {
		switch record.verdict() {
		case met:
			hits++
			decided++
		case missed:
			decided++
		}
	}
	return float64(hits) / float64(max(decided, 1)), decided
}

// attainment returns the share of calls in target.
func (result *result) attainment(selected func(*record) bool) float64 {
	value, _ := share(result.counted(selected))
	return value
}

// crest returns the attainment of the top tier in its worst 5 s.
func (result *result) crest() float64 {
	const step, fewest = 500 * time.Millisecond, 10
	worst := 1.0
	for from := time.Duration(0); from+crestWidth <= result.scenario.until; from += step {
		value, decided := share(result.counted(func(record *record) bool {
			return isTop(record) && record.at >= from && record.at < from+crestWidth
		}))
		if decided >= fewest {
			worst = min(worst, value)
		}
	}
	return worst
}

// shed counts the calls that were refused for load.
func (result *result) shed(selected func(*record) bool) int {
	count := 0
	for _, record := range result.counted(selected) {
		if fault.Is(record.err, cell.Shed) {
			count++
		}
	}
	return count
}

// leastServed returns the number of calls with an answer, of the class with the
// fewest.
func (result *result) leastServed() float64 {
	counts := map[string]int{}
	for _, record := range result.records {
		if record.tokens > 0 {
			counts[record.class.name]++
		}
	}
	least := len(result.records)
	for _, class := range result.profile.classes {
		least = min(least, counts[class.name])
	}
	return float64(least)
}

// useful counts tokens of whole answers, and of answers that were under way
// when the run ended.
func (result *result) useful() int {
	tokens := 0
	for _, record := range result.records {
		if record.whole || record.open {
			tokens += record.tokens
		}
	}
	return tokens
}

// goodput returns the useful tokens per second of the run.
func (result *result) goodput() float64 {
	return float64(result.useful()) / result.scenario.horizon.Seconds()
}

// wasted returns the share of the generated tokens that were not delivered in a
// whole answer.
func (result *result) wasted() float64 {
	generated := result.totals.Generated
	return float64(max(0, generated-result.useful())) / float64(max(generated, 1))
}

// longestWait returns the longest time to the first token in the lowest class.
// A call without a token has waited until it or the run ended.
func (result *result) longestWait() time.Duration {
	var longest time.Duration
	for _, record := range result.records {
		if record.class.name != result.profile.lowest {
			continue
		}
		wait := cmp.Or(record.first, result.scenario.horizon-record.at)
		longest = max(longest, wait)
	}
	return longest
}

// quantile returns a quantile of the time to the first token; a call without
// one counts with its deadline.
func (result *result) quantile(selected func(*record) bool, part float64) time.Duration {
	var waits []time.Duration
	for _, record := range result.counted(selected) {
		waits = append(waits, cmp.Or(record.first, record.class.deadline))
	}
	if len(waits) == 0 {
		return 0
	}
	slices.Sort(waits)
	return waits[min(len(waits)-1, int(part*float64(len(waits))))]
}

// wrong counts answers that are not the caller's own.
func (result *result) wrong() int {
	count := 0
	for _, record := range result.records {
		if record.wrong {
			count++
		}
	}
	return count
}
