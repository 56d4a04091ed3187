package cell

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosegw/core/event"
	"primrosegw/core/health"
	"primrosegw/core/poison"
	"primrosegw/core/retry"
)

// Defaults of Options.
const (
	// DefaultCapacity is the maximum number of queued calls.
	DefaultCapacity = 4096
	// DefaultLongShare is the share of the slots that long calls may occupy
	// while short calls arrive.
	DefaultLongShare = 0.75
	// DefaultAdmitSlack is the highest estimated time to the first token at
	// which a call is admitted, as a multiple of its target. Under sustained
	// overload the queue settles at this limit: with 1.5, only 7% of the
	// admitted calls met their target in TestOverloadShedsTheLowestTier.
	DefaultAdmitSlack = 0.8
)

// Options configures a cell. Zero values select defaults.
type Options struct {
	// Name identifies the cell in summaries and logs.
	Name string
	// Servers are the initial backend servers.
	Servers []Server
	// Logger receives the events of the cell; nil disables logging.
	Logger *event.Logger
	// Capacity is the maximum number of queued calls.
	Capacity int
	// MinimumShares maps a class to the minimum fraction of the dispatched
	// tokens that it gets while it has calls queued.
	MinimumShares map[string]float64
	// RetryShare limits retries as a share of the completed calls, HedgeShare
	// limits hedges as a share of the dispatched calls.
	RetryShare float64
	HedgeShare float64
	// LongShare is the share of the slots that long calls may occupy.
	LongShare float64
	// AdmitSlack is the highest estimated time to the first token at which a
	// call is admitted, as a multiple of its target.
	AdmitSlack float64
	Health     health.Options
	// Suspects records the requests that may crash servers. Cells of one host
	// share it; nil creates one for this cell.
	Suspects *poison.Registry
	// Crashes finds what requests that crash servers have in common. Cells of one host
	// share it; nil creates one for this cell.
	Crashes *poison.CrashDetector
	// Claims grants the exclusive right to run a suspect; nil uses Suspects.
	Claims poison.Claims
	// Announce sends new crash records to the other hosts; nil discards them.
	Announce func([]poison.Record)
	// Random is the source of retry jitter; nil uses one seeded with the name.
	Random   *rand.Rand
	Switches Switches
}

// Switches disable single mechanisms, so that the effect of each can be
// measured.
type Switches struct {
	// DisableAdmission admits calls regardless of their estimated wait.
	DisableAdmission bool
	// DisableAffinity ignores the prefix caches of the servers.
	DisableAffinity bool
	// DisableHealth gives all servers the same weight and sends no probes.
	DisableHealth bool
	// DisableHedge starts no hedged attempts.
	DisableHedge bool
	// DisableLongCap lets long calls occupy all slots.
	DisableLongCap bool
	// DisableMinimumShare serves tiers in strict order.
	DisableMinimumShare bool
	// DisablePoison treats requests that crashed a server like any other.
	DisablePoison bool
	// DisablePreempt never preempts running calls.
	DisablePreempt bool
	// DisableResume ends a call when its attempt breaks.
	DisableResume bool
	// DisableStall waits for unresponsive servers indefinitely.
	DisableStall bool
}

const (
	// classPresenceWindow is how long a class counts as present after its last
	// call. Slots are kept free of long calls only for present classes.
	classPresenceWindow = 10 * time.Second
	// longLengthFactor is the expected length from which a call is long, as a
	// multiple of the median length of the shortest class present.
	longLengthFactor = 4
	// minWeight is the health weight below which a server gets only probes.
	minWeight = 0.1
	// slowServerWeight is the health weight below which a server gets no call
	// whose target it would miss while a healthier server could still meet it.
	slowServerWeight = 0.5
	// recheckInterval is the delay before dispatch runs again when queued work
	// may become eligible without any other event.
	recheckInterval = 100 * time.Millisecond
	// slotRetryInterval is the interval at which a call whose first token is at
	// risk tries again to get a slot, by preemption or for a hedge.
	slotRetryInterval = 50 * time.Millisecond
	// idleSlotRetryInterval is used instead after no attempt could be preempted.
	// It is longer because hundreds of calls search when a single tier has a
	// long backlog.
	idleSlotRetryInterval = 200 * time.Millisecond
	// preemptMargin is the safety margin between the expected first token and
	// its target when a slot is preempted.
	preemptMargin = 50 * time.Millisecond
	// minPreemptibleTime is the expected remaining time up to which an attempt
	// is not worth preempting.
	minPreemptibleTime = 100 * time.Millisecond
	// minHedgeDelay is the shortest delay before a hedge.
	minHedgeDelay = 30 * time.Millisecond
	// hedgeReserve is the number of hedges that may be started in a burst.
	hedgeReserve = 4
	// finishGrace is how long an engine may take to end its stream after the
	// last chunk of the answer.
	finishGrace = time.Second
	// maxRetries limits the retries of one call. With the backoff between them
	// they span about 20 s without any server that accepts the call.
	maxRetries = 16
	// claimRetryInterval is the interval between claim attempts on a suspect
	// that is claimed elsewhere.
	claimRetryInterval = 100 * time.Millisecond
	// defaultClaimTime limits the claim on a suspect without a deadline.
	defaultClaimTime = 10 * time.Minute
	// claimReleaseTimeout limits the release of a claim at the host that owns
	// it.
	claimReleaseTimeout = 2 * time.Second
	// suspectPriorityDelay is how long a suspect yields to queued calls of
	// higher tiers before it may reserve a server regardless of them.
	suspectPriorityDelay = 5 * time.Second
	// maxUnprovenCopies is the number of concurrent attempts at a request that
	// has never completed. Each of them might crash an engine.
	maxUnprovenCopies = 2
	// completedCapacity is the number of completed requests that are remembered.
	completedCapacity = 4096
	// cachedPrefixCapacity is the number of prompt prefixes remembered per
	// server.
	cachedPrefixCapacity = 4096
	// affinityWeight is how much a fully cached prompt reduces the placement
	// cost, in units of relative load.
	affinityWeight = 0.5
	// defaultGap and defaultFirstToken are the estimates of a cell without
	// observations.
	defaultGap        = 30 * time.Millisecond
	defaultFirstToken = 200 * time.Millisecond
	// minRetryAfter is the shortest retry delay returned to a caller.
	minRetryAfter = 250 * time.Millisecond
	// unavailableWait is the wait that a cell without usable servers reports, so
	// that no work is routed to it while another cell can take it.
	unavailableWait = time.Minute
	// topTier is the tier that is never shed for missing its target.
	topTier = 1
)

// withDefaults replaces zero fields by their defaults.
func withDefaults(options Options) Options {
	if options.Logger == nil {
		options.Logger = event.Discard()
	}
	if options.Capacity <= 0 {
		options.Capacity = DefaultCapacity
	}
	options.RetryShare = orDefault(options.RetryShare, retry.DefaultRetryShare)
	options.HedgeShare = orDefault(options.HedgeShare, retry.DefaultHedgeShare)
	options.LongShare = orDefault(options.LongShare, DefaultLongShare)
	options.AdmitSlack = orDefault(options.AdmitSlack, DefaultAdmitSlack)
	if options.Suspects == nil {
		options.Suspects = poison.New(poison.Options{})
	}
	if options.Crashes == nil {
		options.Crashes = poison.NewCrashDetector(poison.DetectorOptions{Logger: options.Logger})
	}
	if options.Claims == nil {
		options.Claims = options.Suspects
	}
	if options.Announce == nil {
		options.Announce = func([]poison.Record) {}
	}
	if options.Random == nil {
		options.Random = rand.New(rand.NewPCG(xxhash.Sum64String(options.Name), 0))
	}
	return options
}

func orDefault(value, fallback float64) float64 {
	if value > 0 {
		return value
	}
	return fallback
}
