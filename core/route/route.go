// Package route chooses the cell that serves a request, divides pools into
// cells, and keeps what is believed about cached prompt prefixes.
package route

import (
	"math/rand/v2"
	"time"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
	"primrosegw/core/host"
)

// Kind is the sort of a route error.
type Kind string

// The kinds of errors of this package.
const (
	// NoCell: no cell can serve the model now.
	NoCell Kind = "no_cell"
	// Exhausted: every usable cell was tried for this request.
	Exhausted Kind = "exhausted"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Candidate is a cell that could serve a request, as this host knows it.
type Candidate struct {
	Cell          string
	FailureDomain string
	Owner         host.Host
	Summary       cell.Summary
	// Known says that Summary was received; Age is the time since then.
	Known bool
	Age   time.Duration
	// Delay is the round trip to the owner; 0: not known.
	Delay time.Duration
	// PrefixMatch is the number of prompt tokens believed to be cached.
	PrefixMatch int
	// Failed cells were tried for this request and are not chosen again.
	Failed bool
}

// Reason says by which rule a cell was chosen, for log lines.
type Reason string

// The reasons of a decision.
const (
	// Local: a cell of the own failure domain meets the target.
	Local Reason = "local"
	// Prefix: as Local, and the prefix match made the difference.
	Prefix Reason = "prefix"
	// Spill: only cells of other failure domains meet the target.
	Spill Reason = "spill"
	// SpillPrefix: as Spill, and the prefix match made the difference.
	SpillPrefix Reason = "spill_prefix"
	// LateLocal and LateSpill: no cell meets the target; one of the own or of
	// another failure domain starts before the caller gives up.
	LateLocal Reason = "late_local"
	LateSpill Reason = "late_spill"
	// Overload: no cell starts before the caller gives up; the least loaded.
	Overload Reason = "overload"
)

// Compared is a cell that took part in a choice with its estimated wait.
type Compared struct {
	Cell string
	Wait time.Duration
}

// Decision is the outcome of a choice.
type Decision struct {
	Chosen Candidate
	// Wait is the estimated time until the request is dispatched.
	Wait time.Duration
	// Over lists the cells that Chosen was compared with, and for a cell of
	// another failure domain the best one that was passed over.
	Over   []Compared
	Reason Reason
	// Probe says that Chosen is in another failure domain and what is known of
	// it is too old: the caller asks for a summary and chooses again.
	Probe bool
}

// Options configures a router. A zero field takes its default.
type Options struct {
	// UnknownWait is assumed of a cell without a summary.
	UnknownWait time.Duration
	// Growth is the wait added for each unit of a summary's age.
	Growth float64
	// SuspectWait is added when the cell's owner is suspected to have failed.
	SuspectWait time.Duration
	// PrefixTime is the prefill time that one cached token saves.
	PrefixTime time.Duration
	// PrefixLimit bounds the credit for a prefix match.
	PrefixLimit time.Duration
	// ProbeAge is the age above which a remote summary is asked for again.
	ProbeAge time.Duration
}

const (
	// DefaultUnknownWait is above the wait of a cell with free slots and below
	// the target of a first token, so that unknown cells are tried at need.
	DefaultUnknownWait = 200 * time.Millisecond
	// DefaultGrowth adds 50 ms for each second of age.
	DefaultGrowth = 0.05
	// DefaultSuspectWait lets a suspect owner lose against any healthy one.
	DefaultSuspectWait = 300 * time.Millisecond
	// DefaultPrefixTime is a prefill of 10,000 tokens per second.
	DefaultPrefixTime = 100 * time.Microsecond
	// DefaultPrefixLimit is a fraction of the target of a first token.
	DefaultPrefixLimit = 120 * time.Millisecond
	// DefaultProbeAge is two gossip intervals.
	DefaultProbeAge = time.Second
	// oldestAge bounds the age in estimates: past it nothing is known.
	oldestAge = 10 * time.Second
	// busyTime separates cells of equal wait: it is the penalty of a full cell.
	busyTime = 20 * time.Millisecond
	// choices is the number of cells picked at random. Two are enough to avoid
	// the longest queues without all hosts running to the same cell
	// (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing").
	choices = 2
	// MaximumHops is the number of times that a request is forwarded.
	MaximumHops = 2
)

// Router chooses cells. It holds no state and is safe for concurrent use, but
// the random source of a call is not.
type Router struct{ options Options }

// New returns a router.
func New(options Options) *Router {
	setDefault(&options.UnknownWait, DefaultUnknownWait)
	setDefault(&options.Growth, DefaultGrowth)
	setDefault(&options.SuspectWait, DefaultSuspectWait)
	setDefault(&options.PrefixTime, DefaultPrefixTime)
	setDefault(&options.PrefixLimit, DefaultPrefixLimit)
	setDefault(&options.ProbeAge, DefaultProbeAge)
	return &Router{options: options}
}

// setDefault replaces a value that is not positive.
func setDefault[N ~int64 | ~float64](value *N, otherwise N) {
	if *value <= 0 {
		*value = otherwise
	}
}

// Serves reports whether the host that received a request serves it itself: if
// it owns the cell, and after the last hop whoever owns it. Two hosts that each
// take the other for the owner would otherwise forward a request forever.
func Serves(hops int, self string, owner host.Host) bool {
	return owner.Name == self || hops >= MaximumHops
}

// Choose picks the cell for a request that entered in failure domain local.
//
// The rules, in order: a cell of the own failure domain that meets the target of
// the first token; one of another failure domain that does; the same two with
// the caller's deadline for a target; the cell with the least estimated wait of
// two. Among the cells that a rule allows, it compares two random ones and the
// one with the longest prefix match by wait less the credit for the match.
// Whether a cell meets a target is decided without that credit, because cached
// prefixes are reported late and may be gone.
//
// The errors are of kinds NoCell and Exhausted.
func (router *Router) Choose(request cell.Request, local string, candidates []Candidate, random *rand.Rand) (Decision, error) {
	now := time.Now()
	choice := choice{target: budget(request.FirstToken, now), deadline: budget(request.Deadline, now), rule: rules}
	failed := false
	for index := range candidates {
		candidate := &candidates[index]
		if !usable(candidate) {
			continue
		}
		if candidate.Failed {
			failed = true
			continue
		}
		choice.add(estimate{
			index:  index,
			wait:   router.wait(candidate, request.Tier),
			credit: router.credit(candidate, request.PromptTokens),
			local:  candidate.FailureDomain == local,
		}, random)
	}
	switch {
	case choice.seen > 0:
		return router.decide(&choice, candidates), nil
	case failed:
		return Decision{}, fault.New("route.choose", Exhausted, "all cells were tried for this request")
	default:
		return Decision{}, fault.New("route.choose", NoCell, "no cell can serve the model")
	}
}

// unlimited is the budget of a request without a target.
const unlimited = time.Duration(1<<63 - 1)

// budget returns the time until an instant; the zero time is no limit.
func budget(instant, now time.Time) time.Duration {
	if instant.IsZero() {
		return unlimited
	}
	return instant.Sub(now)
}

// usable reports whether a cell has an owner and, as far as known, servers.
func usable(candidate *Candidate) bool {
	state := candidate.Owner.State
	if candidate.Owner.Name == "" || state == host.Dead || state == host.Leaving {
		return false
	}
	return !candidate.Known || candidate.Summary.Slots > 0
}

// wait estimates the time until a call of a tier would be dispatched. A summary
// says less the older it is: the wait that it states grows in proportion to its
// age, so that a cell that looked idle long ago does not attract every caller.
func (router *Router) wait(candidate *Candidate, tier int) time.Duration {
	wait := router.options.UnknownWait
	if candidate.Known {
		index := min(max(tier, 1), len(candidate.Summary.WaitMs)) - 1
		stated := time.Duration(candidate.Summary.WaitMs[index]) * time.Millisecond
		age := min(max(candidate.Age, 0), oldestAge)
		grown := time.Duration(stated.Seconds() * float64(age))
		wait = stated + grown + time.Duration(router.options.Growth*float64(age))
		wait += busy(candidate.Summary)
	}
	if candidate.Owner.State == host.Suspect {
		wait += router.options.SuspectWait
	}
	return wait + candidate.Delay
}

// busy returns the penalty of occupied slots.
func busy(summary cell.Summary) time.Duration {
	free := min(max(summary.Free, 0), summary.Slots)
	return busyTime - busyTime*time.Duration(free)/time.Duration(summary.Slots)
}

// credit returns the time that a prefix match is believed to save.
func (router *Router) credit(candidate *Candidate, promptTokens int) time.Duration {
	matched := min(max(candidate.PrefixMatch, 0), max(promptTokens, 0))
	return min(time.Duration(matched)*router.options.PrefixTime, router.options.PrefixLimit)
}

// decide compares the drawn estimates and builds the decision.
func (router *Router) decide(choice *choice, candidates []Candidate) Decision {
	reason := reasonOf(choice.rule)
	plain := choice.best(false)
	chosen := plain
	if reason == Local || reason == Spill {
		chosen = choice.best(true)
	}
	if chosen != plain {
		reason = withPrefix(reason)
	}
	candidate := candidates[chosen.index]
	decision := Decision{Chosen: candidate, Wait: chosen.wait, Reason: reason}
	for _, other := range choice.compared() {
		if other != chosen {
			decision.Over = append(decision.Over, Compared{Cell: candidates[other.index].Cell, Wait: other.wait})
		}
	}
	if other, found := choice.passed(); found && (!chosen.local || len(decision.Over) == 0) {
		decision.Over = append(decision.Over, Compared{Cell: candidates[other.index].Cell, Wait: other.wait})
	}
	if !chosen.local {
		decision.Probe = !candidate.Known || candidate.Age > router.options.ProbeAge
	}
	return decision
}

// withPrefix returns the reason for a choice that a prefix match has decided.
func withPrefix(reason Reason) Reason {
	if reason == Spill {
		return SpillPrefix
	}
	return Prefix
}
