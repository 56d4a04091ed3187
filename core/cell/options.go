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
	// DefaultCapacity is the number of calls that a cell queues.
	DefaultCapacity = 4096
	// DefaultLongShare is the share of the slots that long work may hold while
	// short work comes in.
	DefaultLongShare = 0.75
	// DefaultAdmitSlack is the estimated time to the first token up to which a
	// call is admitted, as a multiple of its target. In a lasting overload the
	// queue settles at this bound: at 1.5 only 7 in 100 admitted calls met their
	// target in TestOverloadShedsTheLowestTier.
	DefaultAdmitSlack = 0.8
)

// Options configures a cell; a zero takes the default.
type Options struct {
	// Name identifies the cell in summaries and logs.
	Name string
	// Servers are the cell's backend servers at the start.
	Servers []Server
	// Logger receives one event for each decision; nil: none is written.
	Logger *event.Logger
	// Capacity is the number of calls that may be queued.
	Capacity int
	// MinimumShares is the part of the dispatched tokens that a class gets while
	// it has work queued.
	MinimumShares map[string]float64
	// RetryShare and HedgeShare are the budgets, as shares of the successes and
	// of the calls.
	RetryShare float64
	HedgeShare float64
	// LongShare is the share of the slots that long work may hold.
	LongShare float64
	// AdmitSlack is the estimated time to the first token up to which a call is
	// admitted, as a multiple of its target.
	AdmitSlack float64
	Health     health.Options
	// Suspects are the requests that may crash servers. Cells of one host share
	// them; nil: the cell has its own.
	Suspects *poison.Registry
	// Claims decides who may run a suspect; nil: Suspects does.
	Claims poison.Claims
	// Announce hands new crash records to the other hosts; nil: nobody.
	Announce func([]poison.Record)
	// Random draws the jitter of retries; nil: a source seeded with the name.
	Random   *rand.Rand
	Switches Switches
}

// Switches turn single mechanisms off, so that a measurement can show what each
// of them is worth.
type Switches struct {
	// DisableAdmission admits calls whatever their estimated wait.
	DisableAdmission bool
	// DisableAffinity ignores what servers have in their prefix caches.
	DisableAffinity bool
	// DisableHealth gives all servers the same weight and sends no probes.
	DisableHealth bool
	// DisableHedge starts no second attempts.
	DisableHedge bool
	// DisableLongCap lets long work hold all slots.
	DisableLongCap bool
	// DisableMinimumShare serves tiers in strict order.
	DisableMinimumShare bool
	// DisablePoison treats a request that crashed a server like any other.
	DisablePoison bool
	// DisablePreempt lets running work go on to its end.
	DisablePreempt bool
	// DisableResume ends a call when its attempt breaks.
	DisableResume bool
	// DisableStall waits for silent servers without limit.
	DisableStall bool
}

const (
	// shortWindow is the time for which a class counts as present after its
	// last call. Slots are kept free of long work only for present classes.
	shortWindow = 10 * time.Second
	// longFactor is the expected length from which a call is long, as a multiple
	// of the median length of the shortest class present.
	longFactor = 4
	// leastWeight is the health weight below which a server gets only probes.
	leastWeight = 0.1
	// slowWeight is the health weight below which a server gets no call whose
	// target it would miss and a healthier server could still meet.
	slowWeight = 0.5
	// recheckInterval is the time after which the queue is looked at again when
	// a server's weight is about to change by itself.
	recheckInterval = 100 * time.Millisecond
	// reliefInterval is the time between two looks for a slot for a call whose
	// first token is at risk.
	reliefInterval = 50 * time.Millisecond
	// idleReliefInterval is the same after no such slot was found: under a long
	// backlog of one tier, hundreds of calls look.
	idleReliefInterval = 200 * time.Millisecond
	// reliefMargin is kept between the expected first token and its target when
	// a slot is taken from a lower tier.
	reliefMargin = 50 * time.Millisecond
	// nearlyDone is the expected remaining time of a call below which it is not
	// worth preempting.
	nearlyDone = 100 * time.Millisecond
	// leastHedgeDelay is the shortest wait before a second attempt.
	leastHedgeDelay = 30 * time.Millisecond
	// hedgeReserve is the number of hedges that may come at once.
	hedgeReserve = 4
	// finishGrace is the time that an engine has to end its stream after the
	// last piece of the answer.
	finishGrace = time.Second
	// maximumRetries bounds the attempts of one call. With the delays between
	// them they cover about 20 s without any server that takes the call.
	maximumRetries = 16
	// claimInterval is the time between two claims on a suspect that runs
	// elsewhere.
	claimInterval = 100 * time.Millisecond
	// claimTime bounds the run of a suspect without a deadline.
	claimTime = 10 * time.Minute
	// releaseTimeout bounds the return of a claim to its owner host.
	releaseTimeout = 2 * time.Second
	// firmAfter is the time that a suspect waits for a server of its own before
	// it may take one from queued work of a higher tier.
	firmAfter = 5 * time.Second
	// maximumCopies is the number of attempts that may run the same unproven
	// request at the same time: each of them might cost an engine.
	maximumCopies = 2
	// provenCapacity is the number of requests remembered to have completed.
	provenCapacity = 4096
	// affinityCapacity is the number of prompt prefixes remembered per server.
	affinityCapacity = 4096
	// affinityGain is what a fully cached prompt is worth, in load per slot.
	affinityGain = 0.5
	// defaultGap and defaultFirstToken stand in until a cell has observations.
	defaultGap        = 30 * time.Millisecond
	defaultFirstToken = 200 * time.Millisecond
	// leastRetryAfter is the shortest time after which a caller is asked to come
	// back.
	leastRetryAfter = 250 * time.Millisecond
	// outageWait is the wait that a cell without any usable server tells others,
	// so that no work is sent to it while another cell can take it.
	outageWait = time.Minute
	// topTier is the tier that is never shed for its target.
	topTier = 1
)

// withDefaults fills the zero fields.
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
