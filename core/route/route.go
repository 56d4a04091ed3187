// Package route selects the cell that serves a request, divides pools into cells,
// and tracks which prompt prefixes are likely to be cached where.
package route

import (
	"math/rand/v2"
	"strings"
	"time"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
	"primrosegw/core/host"
)

// Kind classifies the errors of this package.
type Kind string

// Error kinds.
const (
	// NoCell means that no cell can currently serve the model.
	NoCell Kind = "no_cell"
	// Exhausted means that every usable cell was already tried for the request.
	Exhausted Kind = "exhausted"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Candidate is a cell that could serve a request, with the state known to this host.
type Candidate struct {
	Cell          string
	FailureDomain string
	Owner         host.Host
	Summary       cell.Summary
	// Known is set if Summary was received; Age is the time since then.
	Known bool
	Age   time.Duration
	// Delay is the round-trip time to the owner; 0 if unknown.
	Delay time.Duration
	// PrefixMatch is the estimated number of cached prompt tokens.
	PrefixMatch int
	// Failed marks a cell that was already tried for this request; it is not
	// chosen again.
	Failed bool
}

// Reason is the rule by which a cell was chosen. It is logged.
type Reason string

// Reasons for a decision.
const (
	// Local means that a cell in the local failure domain meets the target.
	Local Reason = "local"
	// Prefix is Local with a choice that the prefix credit changed.
	Prefix Reason = "prefix"
	// Spill means that only cells in other failure domains meet the target.
	Spill Reason = "spill"
	// SpillPrefix is Spill with a choice that the prefix credit changed.
	SpillPrefix Reason = "spill_prefix"
	// LateLocal and LateSpill mean that no cell meets the target, but one in the
	// local or another failure domain meets the deadline.
	LateLocal Reason = "late_local"
	LateSpill Reason = "late_spill"
	// Overload means that no cell meets the deadline; the sampled cell with the
	// least wait was chosen.
	Overload Reason = "overload"
)

// Alternative is a cell that was considered but not chosen, with its estimated wait.
type Alternative struct {
	Cell string
	Wait time.Duration
}

// Decision is the result of Choose.
type Decision struct {
	Chosen Candidate
	// Wait is the estimated time until the request is dispatched.
	Wait time.Duration
	// Alternatives lists the cells that Chosen was compared with. If Chosen is in
	// another failure domain, or there are none, it also has the cell with the
	// least wait under the next rule that any cell meets.
	Alternatives []Alternative
	Reason       Reason
	// Probe is set if Chosen is in another failure domain and its summary is
	// missing or older than Options.ProbeAge. The caller then requests a current
	// summary and chooses again.
	Probe bool
}

// Options configures a router. A field that is not positive takes its default.
type Options struct {
	// UnknownWait is the wait assumed for a cell without a summary.
	UnknownWait time.Duration
	// StalenessPenalty is the wait added per unit of a summary's age.
	StalenessPenalty float64
	// SuspectPenalty is the wait added if the cell's owner is suspected to have
	// failed.
	SuspectPenalty time.Duration
	// PrefillTimePerToken is the prefill time that one cached token saves.
	PrefillTimePerToken time.Duration
	// MaximumPrefixCredit limits the credit for a prefix match.
	MaximumPrefixCredit time.Duration
	// ProbeAge is the age above which a remote summary is requested again.
	ProbeAge time.Duration
}

const (
	// DefaultUnknownWait is longer than the wait of a cell with free slots and
	// shorter than the target of a first token, so that a cell without a summary is
	// used only if known cells are busy.
	DefaultUnknownWait = 200 * time.Millisecond
	// DefaultStalenessPenalty adds 50 ms for each second of age.
	DefaultStalenessPenalty = 0.05
	// DefaultSuspectPenalty ranks a suspect owner below any healthy one.
	DefaultSuspectPenalty = 300 * time.Millisecond
	// DefaultPrefillTimePerToken corresponds to 10,000 prefill tokens per second.
	DefaultPrefillTimePerToken = 100 * time.Microsecond
	// DefaultMaximumPrefixCredit is a fraction of the target of a first token.
	DefaultMaximumPrefixCredit = 120 * time.Millisecond
	// DefaultProbeAge is two gossip intervals.
	DefaultProbeAge = time.Second
	// maximumSummaryAge caps the age in estimates: an older summary says nothing
	// about the current load.
	maximumSummaryAge = 10 * time.Second
	// maximumBusyPenalty is the penalty of a cell without free slots. It ranks
	// cells of equal wait by their free slots.
	maximumBusyPenalty = 20 * time.Millisecond
	// sampleSize is the number of cells sampled at random. Two are enough to avoid
	// the longest queues without a herd of hosts on the least loaded cell
	// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing").
	sampleSize = 2
	// MaximumHops is the maximum number of times that a request is forwarded.
	MaximumHops = 2
)

// Router selects cells. It has no mutable state and is safe for concurrent use,
// but the random source passed to Choose is not.
type Router struct{ options Options }

// New returns a router.
func New(options Options) *Router {
	setDefault(&options.UnknownWait, DefaultUnknownWait)
	setDefault(&options.StalenessPenalty, DefaultStalenessPenalty)
	setDefault(&options.SuspectPenalty, DefaultSuspectPenalty)
	setDefault(&options.PrefillTimePerToken, DefaultPrefillTimePerToken)
	setDefault(&options.MaximumPrefixCredit, DefaultMaximumPrefixCredit)
	setDefault(&options.ProbeAge, DefaultProbeAge)
	return &Router{options: options}
}

// setDefault replaces a value that is not positive.
func setDefault[N ~int64 | ~float64](value *N, defaultValue N) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// Serves reports whether the host that received a request serves it itself: if it
// owns the cell, or if the request reached MaximumHops. Without that limit, two
// hosts that each consider the other the owner would forward a request forever.
func Serves(hops int, self string, owner host.Host) bool {
	return owner.Name == self || hops >= MaximumHops
}

// Choose selects the cell for a request that entered in the failure domain local.
//
// The rules, in order of preference:
//
//  1. a cell in the local failure domain meets the target of the first token
//  2. a cell in another failure domain meets the target
//  3. a cell in the local failure domain meets the caller's deadline
//  4. a cell in another failure domain meets the deadline
//  5. no cell meets the deadline
//
// Of the cells that meet the first applicable rule, it compares two random ones
// and the one with the longest prefix match, by estimated wait; under rules 1 and
// 2, the prefix credit is deducted from the wait. The credit does not count when
// checking a target, because cache reports are delayed and a reported prefix may
// have been evicted.
//
// Its errors have the kinds NoCell and Exhausted.
func (router *Router) Choose(request cell.Request, local string, candidates []Candidate, random *rand.Rand) (Decision, error) {
	now := time.Now()
	selection := selection{target: timeUntil(request.FirstToken, now), deadline: timeUntil(request.Deadline, now), rule: ruleCount}
	failed := false
	var refusals []string
	for index := range candidates {
		candidate := &candidates[index]
		if reason := unusable(candidate); reason != "" {
			refusals = append(refusals, candidate.Cell+" at "+candidate.Owner.Name+": "+reason)
			continue
		}
		if candidate.Failed {
			failed = true
			continue
		}
		selection.add(estimate{
			index:  index,
			wait:   router.estimateWait(candidate, request.Tier),
			credit: router.credit(candidate, request.PromptTokens),
			local:  candidate.FailureDomain == local,
		}, random)
	}
	switch {
	case selection.seen > 0:
		return router.decide(&selection, candidates), nil
	case failed:
		return Decision{}, fault.New("route.choose", Exhausted, "all cells were tried for this request")
	default:
		return Decision{}, fault.New("route.choose", NoCell, "no cell can serve the model ("+strings.Join(refusals, "; ")+")")
	}
}

// unlimited is the remaining time of a request without a target or deadline.
const unlimited = time.Duration(1<<63 - 1)

// timeUntil returns the time remaining until an instant, or unlimited for the zero
// time.
func timeUntil(instant, now time.Time) time.Duration {
	if instant.IsZero() {
		return unlimited
	}
	return instant.Sub(now)
}

// unusable returns why a cell can't take a request: it needs a live owner and, if its summary is
// known, slots, or servers on probation. It returns an empty string if the cell can.
func unusable(candidate *Candidate) string {
	switch {
	case candidate.Owner.Name == "":
		return "no owner"
	case candidate.Owner.State == host.Dead || candidate.Owner.State == host.Leaving:
		return "the owner is " + string(candidate.Owner.State)
	case candidate.Known && candidate.Summary.Slots <= 0 && !candidate.Summary.OnProbation:
		return "no slots"
	}
	return ""
}

// estimateWait estimates the time until a call of a tier would be dispatched. The
// estimate grows with the age of the summary, because an old summary is less
// reliable: otherwise a cell that was idle long ago would attract all callers.
func (router *Router) estimateWait(candidate *Candidate, tier int) time.Duration {
	wait := router.options.UnknownWait
	if candidate.Known {
		index := min(max(tier, 1), len(candidate.Summary.WaitMs)) - 1
		stated := time.Duration(candidate.Summary.WaitMs[index]) * time.Millisecond
		age := min(max(candidate.Age, 0), maximumSummaryAge)
		staleness := time.Duration(stated.Seconds() * float64(age))
		wait = stated + staleness + time.Duration(router.options.StalenessPenalty*float64(age))
		wait += busyPenalty(candidate.Summary)
	}
	if candidate.Owner.State == host.Suspect {
		wait += router.options.SuspectPenalty
	}
	return wait + candidate.Delay
}

// busyPenalty returns the penalty for occupied slots.
func busyPenalty(summary cell.Summary) time.Duration {
	if summary.Slots <= 0 {
		return maximumBusyPenalty
	}
	free := min(max(summary.Free, 0), summary.Slots)
	return maximumBusyPenalty - maximumBusyPenalty*time.Duration(free)/time.Duration(summary.Slots)
}

// credit returns the estimated prefill time saved by a prefix match.
func (router *Router) credit(candidate *Candidate, promptTokens int) time.Duration {
	cachedTokens := min(max(candidate.PrefixMatch, 0), max(promptTokens, 0))
	return min(time.Duration(cachedTokens)*router.options.PrefillTimePerToken, router.options.MaximumPrefixCredit)
}

// decide chooses from the comparison set and builds the decision.
func (router *Router) decide(selection *selection, candidates []Candidate) Decision {
	reason := reasonOf(selection.rule)
	withoutCredit := selection.best(false)
	chosen := withoutCredit
	if reason == Local || reason == Spill {
		chosen = selection.best(true)
	}
	if chosen != withoutCredit {
		reason = prefixReason(reason)
	}
	candidate := candidates[chosen.index]
	decision := Decision{Chosen: candidate, Wait: chosen.wait, Reason: reason}
	for _, other := range selection.comparisonSet() {
		if other != chosen {
			decision.Alternatives = append(decision.Alternatives, Alternative{Cell: candidates[other.index].Cell, Wait: other.wait})
		}
	}
	if other, found := selection.nextRuleBest(); found && (!chosen.local || len(decision.Alternatives) == 0) {
		decision.Alternatives = append(decision.Alternatives, Alternative{Cell: candidates[other.index].Cell, Wait: other.wait})
	}
	if !chosen.local {
		decision.Probe = !candidate.Known || candidate.Age > router.options.ProbeAge
	}
	return decision
}

// prefixReason returns the reason for a choice that the prefix credit changed.
func prefixReason(reason Reason) Reason {
	if reason == Spill {
		return SpillPrefix
	}
	return Prefix
}
