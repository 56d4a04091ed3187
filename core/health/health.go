// Package health tracks the health of the backend servers of a cell and compares
// them with each other, based on what the cell itself observes. Load reports are only
// used as a hint, because they arrive late.
package health

import (
	"math"
	"slices"
	"time"
)

// Defaults and limits of health tracking.
const (
	// DefaultSlowStart is the time in which a server's weight ramps up from 0 to 1.
	DefaultSlowStart = 10 * time.Second
	// DefaultProbeInterval is the minimum time between two probes of a server.
	DefaultProbeInterval = time.Second
	// DefaultStallFloor is the minimum time without a token that counts as a stall.
	DefaultStallFloor = 2 * time.Second
	// DefaultFirstTokenFloor is the minimum time to first token that counts as a
	// stall.
	DefaultFirstTokenFloor = 4 * time.Second

	// stallGapFactor is the time without a token that counts as a stall, as a multiple
	// of the typical gap.
	stallGapFactor = 20
	// stallFirstTokenFactor is the time to first token that counts as a stall, as a
	// multiple of the median. A prompt can be much longer than a typical one, so the
	// limit doubles each time it ends an attempt of the same call.
	stallFirstTokenFactor = 10
	// slowFirstTokenRatio and slowGapRatio are the ratios to the peers' median above
	// which a server's weight is reduced. The time to first token varies with the
	// length of the prompt, so its ratio is higher.
	slowFirstTokenRatio = 2.0
	slowGapRatio        = 1.5
	// slowOwnGapRatio is the ratio to the server's own best gap above which its
	// weight is reduced. A full batch is about twice as slow as a single call, so
	// this ratio is higher than that for peers, which have a similar load.
	slowOwnGapRatio = 2.5
	// bestGapTimeConstant is the time constant with which a server's best gap moves
	// towards its current average (63% of the way in this time), so that a lasting
	// change becomes the new reference.
	bestGapTimeConstant = 5 * time.Minute
	// minObservations is the number of observations needed before an average is used.
	minObservations = 3
	// firstTokenSmoothing and gapSmoothing are the weights of a new observation in
	// the moving averages.
	firstTokenSmoothing = 0.3
	gapSmoothing        = 0.1
	// reportTimeConstant is the age at which a load report has lost 63% of its effect.
	reportTimeConstant = 3 * time.Second
	// fullCacheShare is the KV cache usage at which an engine has to evict entries that
	// it still needs.
	fullCacheShare = 0.95
	// probeWeightThreshold is the weight below which an idle server is probed.
	probeWeightThreshold = 0.5
	// recoveryWeight is the initial weight of a server after probation.
	recoveryWeight = 0.1
	// joinWeight is the initial weight of a server that joins a running cell. It is
	// low because the server's prefix cache is empty.
	joinWeight = 0.25

	// compareInterval and compareObservations limit the cost of comparing servers:
	// the comparison is repeated after 20 ms or 48 observations.
	compareInterval     = 20 * time.Millisecond
	compareObservations = 48

	// failurePenalty and refusalPenalty are the times for which a server is blocked
	// after a first failure or refusal.
	failurePenalty    = time.Second
	refusalPenalty    = 100 * time.Millisecond
	maxFailurePenalty = 30 * time.Second
	// maxRefusalPenalty is shorter than maxFailurePenalty: a refusal costs no work, and
	// an engine that restarts or is briefly full soon accepts calls again.
	maxRefusalPenalty = 2 * time.Second
)

// Options configures a Tracker. Zero values are replaced by the defaults.
type Options struct {
	SlowStart       time.Duration
	ProbeInterval   time.Duration
	StallFloor      time.Duration
	FirstTokenFloor time.Duration
}

// Load is a load report of a backend server.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// CacheUsed is the used fraction of the KV cache, 0 to 1.
	CacheUsed float64
	// Age is the age of the report when it arrived.
	Age time.Duration
	// Leaving is set if the server is shutting down and accepts no new work.
	Leaving bool
}

// Tracker tracks the health of all servers of one cell. It is not safe for
// concurrent use.
type Tracker struct {
	options     Options
	servers     map[string]*server
	firstTokens *window
	initialized bool
	// newObservations counts the observations since the comparison at comparedAt.
	// ObserveMissingFirstToken adds compareObservations, to force a comparison.
	newObservations int
	comparedAt      time.Time
	// typicalGap is the median gap of the servers at the last comparison.
	typicalGap time.Duration
}

// server holds the observations and the current weight of one backend server.
type server struct {
	firstToken average
	gap        average
	// bestGap is the lowest average gap, which slowly decays towards the current
	// one. It is the reference for a server without healthy peers.
	bestGap    float64
	bestGapAt  time.Time
	observedAt time.Time

	// failures is the number of consecutive failures.
	failures int
	// blockedUntil is the time until which the server gets no calls after a failure.
	blockedUntil time.Time
	// probation is set if the server has to respond to a probe before it gets other
	// calls again.
	probation bool
	probedAt  time.Time

	load       Load
	reportedAt time.Time

	// relativeSpeed is the result of the last comparison, at most 1.
	relativeSpeed float64
	// weight is the weight at the time weightAt.
	weight   float64
	weightAt time.Time
}

// New returns a tracker without servers.
func New(options Options) *Tracker {
	options.SlowStart = orDefault(options.SlowStart, DefaultSlowStart)
	options.ProbeInterval = orDefault(options.ProbeInterval, DefaultProbeInterval)
	options.StallFloor = orDefault(options.StallFloor, DefaultStallFloor)
	options.FirstTokenFloor = orDefault(options.FirstTokenFloor, DefaultFirstTokenFloor)
	return &Tracker{options: options, servers: make(map[string]*server), firstTokens: new(window)}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// SetServers sets the names of the cell's servers. Those of the first non-empty list
// start at full weight; servers that are added later ramp up.
func (tracker *Tracker) SetServers(names []string) {
	now := time.Now()
	for name := range tracker.servers {
		if !slices.Contains(names, name) {
			delete(tracker.servers, name)
		}
	}
	weight := 1.0
	if tracker.initialized {
		weight = joinWeight
	}
	for _, name := range names {
		if tracker.servers[name] == nil {
			tracker.servers[name] = &server{weight: weight, relativeSpeed: 1, weightAt: now, observedAt: now}
		}
	}
	tracker.initialized = tracker.initialized || len(names) > 0
}

// ObserveFirstToken records the time from dispatch to the first token.
func (tracker *Tracker) ObserveFirstToken(name string, delay time.Duration) {
	server := tracker.servers[name]
	if server == nil {
		return
	}
	server.firstToken.add(delay.Seconds(), firstTokenSmoothing)
	tracker.firstTokens.add(delay)
	tracker.newObservations++
	server.recordSuccess(time.Now())
}

// ObserveMissingFirstToken records that the first token has not arrived after the
// elapsed time. It has no effect unless that is longer than the server's average, as
// the actual time is unknown.
func (tracker *Tracker) ObserveMissingFirstToken(name string, elapsed time.Duration) {
	server := tracker.servers[name]
	if server == nil || elapsed.Seconds() <= server.firstToken.value {
		return
	}
	server.firstToken.add(elapsed.Seconds(), firstTokenSmoothing)
	tracker.newObservations += compareObservations
	server.observedAt = time.Now()
}

// ObserveGap records the time that it took to generate a chunk of a response. The
// average is kept per token (inter-token latency).
func (tracker *Tracker) ObserveGap(name string, gap time.Duration, tokens int) {
	server := tracker.servers[name]
	if server == nil || tokens <= 0 {
		return
	}
	server.gap.add(gap.Seconds()/float64(tokens), gapSmoothing)
	tracker.newObservations++
	server.observedAt = time.Now()
	server.updateBestGap(server.observedAt)
}

// updateBestGap updates the best gap after an observation.
func (server *server) updateBestGap(now time.Time) {
	if server.gap.count < minObservations {
		return
	}
	age := now.Sub(server.bestGapAt)
	server.bestGapAt = now
	if server.bestGap == 0 || server.gap.value < server.bestGap {
		server.bestGap = server.gap.value
		return
	}
	progress := 1 - math.Exp(-age.Seconds()/bestGapTimeConstant.Seconds())
	server.bestGap += progress * (server.gap.value - server.bestGap)
}

// ObserveFailure records a crash, a lost connection or a stall of the server.
func (tracker *Tracker) ObserveFailure(name string) {
	if server := tracker.servers[name]; server != nil {
		server.recordFailure(time.Now(), failurePenalty, maxFailurePenalty)
	}
}

// ObserveRefusal records that the server refused a call.
func (tracker *Tracker) ObserveRefusal(name string) {
	if server := tracker.servers[name]; server != nil {
		server.recordFailure(time.Now(), refusalPenalty, maxRefusalPenalty)
	}
}

// Report records a load report of a server.
func (tracker *Tracker) Report(name string, load Load) {
	if server := tracker.servers[name]; server != nil {
		server.load = load
		server.reportedAt = time.Now()
	}
}

// Leaving reports whether the server has announced that it is shutting down. It
// must not get new calls.
func (tracker *Tracker) Leaving(name string) bool {
	server := tracker.servers[name]
	return server != nil && server.load.Leaving
}

// recordSuccess resets the failure count and ends a probation. After probation, the
// weight ramps up from recoveryWeight.
func (server *server) recordSuccess(now time.Time) {
	server.observedAt = now
	server.failures = 0
	if server.probation {
		server.probation = false
		server.weight = recoveryWeight
		server.weightAt = now
	}
}

// recordFailure blocks a server for the penalty, which doubles with each consecutive
// failure up to a maximum. Failures of a server that is already blocked don't count:
// all calls of a crashed engine fail together.
func (server *server) recordFailure(now time.Time, penalty, maxPenalty time.Duration) {
	server.observedAt = now
	if now.Before(server.blockedUntil) {
		return
	}
	for step := 0; step < server.failures && penalty < maxPenalty; step++ {
		penalty *= 2
	}
	server.failures++
	server.blockedUntil = now.Add(min(penalty, maxPenalty))
	server.probation = true
	server.weight = 0
	server.weightAt = now
}

// Weight returns the fraction of its slots that a server should get, 0 to 1. It
// drops immediately and ramps up slowly, so that a recovering server is not
// overloaded before it is known to be healthy.
func (tracker *Tracker) Weight(name string) float64 {
	server := tracker.servers[name]
	if server == nil || server.load.Leaving || server.probation {
		return 0
	}
	now := time.Now()
	ramped := server.weight + now.Sub(server.weightAt).Seconds()/tracker.options.SlowStart.Seconds()
	tracker.compareServers(now)
	server.weight = min(server.relativeSpeed, server.reportedWeight(now), ramped)
	server.weightAt = now
	return server.weight
}

// compareServers updates the relative speeds of all servers. It does nothing if there
// are too few new observations: weights are read many times per dispatch.
func (tracker *Tracker) compareServers(now time.Time) {
	recent := now.Sub(tracker.comparedAt) < compareInterval
	if tracker.newObservations == 0 || recent && tracker.newObservations < compareObservations {
		return
	}
	tracker.newObservations = 0
	tracker.comparedAt = now
	for name, server := range tracker.servers {
		server.relativeSpeed = tracker.relativeSpeed(name, server)
	}
	gap := tracker.peerMedian("", func(peer *server) average { return peer.gap })
	tracker.typicalGap = time.Duration(gap * float64(time.Second))
}

// relativeSpeed returns the peers' median divided by the server's average, for first
// tokens or gaps, or the server's own best gap divided by its average gap, whichever
// is lowest. A ratio only counts if the server is clearly slower; without one, the
// result is 1. The server's own best gap reveals a slow server that has no peers, or
// only slow ones.
func (tracker *Tracker) relativeSpeed(name string, target *server) float64 {
	speed := 1.0
	firstToken := tracker.peerMedian(name, func(peer *server) average { return peer.firstToken })
	if ratio := target.firstToken.ratio(firstToken); ratio > slowFirstTokenRatio {
		speed = min(speed, 1/ratio)
	}
	gap := tracker.peerMedian(name, func(peer *server) average { return peer.gap })
	if ratio := target.gap.ratio(gap); ratio > slowGapRatio {
		speed = min(speed, 1/ratio)
	}
	if ratio := target.gap.ratio(target.bestGap); ratio > slowOwnGapRatio {
		speed = min(speed, 1/ratio)
	}
	return speed
}

// peerMedian returns the median of an average over all servers except the named one,
// or 0 if no peer has enough observations.
func (tracker *Tracker) peerMedian(name string, metric func(*server) average) float64 {
	values := make([]float64, 0, len(tracker.servers))
	for peer, server := range tracker.servers {
		if average := metric(server); peer != name && average.count >= minObservations {
			values = append(values, average.value)
		}
	}
	return median(values)
}

// reportedWeight returns the weight according to the load report, whose effect decays
// with its age. Requests that wait inside the engine come from another owner of the
// cell.
func (server *server) reportedWeight(now time.Time) float64 {
	if server.reportedAt.IsZero() {
		return 1
	}
	weight := 1.0
	if server.load.Waiting > 0 {
		weight = float64(max(1, server.load.Slots)) / float64(max(1, server.load.Slots)+server.load.Waiting)
	}
	if server.load.CacheUsed >= fullCacheShare {
		weight = min(weight, probeWeightThreshold)
	}
	age := server.load.Age + now.Sub(server.reportedAt)
	return 1 - (1-weight)*math.Exp(-age.Seconds()/reportTimeConstant.Seconds())
}

// ProbeDue reports whether a server on probation or with a reduced weight should get
// one call now, to find out whether it has recovered.
func (tracker *Tracker) ProbeDue(name string) bool {
	server := tracker.servers[name]
	now := time.Now()
	if server == nil || server.load.Leaving || now.Before(server.blockedUntil) {
		return false
	}
	if now.Sub(server.probedAt) < tracker.options.ProbeInterval {
		return false
	}
	if server.probation {
		return true
	}
	return now.Sub(server.observedAt) >= tracker.options.ProbeInterval && tracker.Weight(name) < probeWeightThreshold
}

// MarkProbed records that a probe was sent to a server.
func (tracker *Tracker) MarkProbed(name string) {
	if server := tracker.servers[name]; server != nil {
		server.probedAt = time.Now()
	}
}
