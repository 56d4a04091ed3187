// Package health assesses the backend servers of a cell against each other from
// what the cell itself observes. Load reports are a hint only: they arrive late.
package health

import (
	"math"
	"slices"
	"time"
)

// Defaults and limits of the assessment.
const (
	// DefaultSlowStart is the time in which a server's weight rises from 0 to 1.
	DefaultSlowStart = 10 * time.Second
	// DefaultProbeInterval is the time between two probes of a server.
	DefaultProbeInterval = time.Second
	// DefaultStallFloor is the shortest silence between tokens that counts as a
	// stall.
	DefaultStallFloor = 2 * time.Second
	// DefaultFirstTokenFloor is the shortest wait for a first token that counts
	// as a stall.
	DefaultFirstTokenFloor = 4 * time.Second

	// stallGaps is the silence that counts as a stall, in usual gaps.
	stallGaps = 20
	// stallFirstTokens is the wait for a first token that counts as a stall, in
	// usual waits. A prompt may be far longer than the usual one, so the limit
	// doubles each time that it ends an attempt of the same call.
	stallFirstTokens = 10
	// slowFirstToken and slowGap are the ratios to the peers from which a server
	// is weighted down. Waits for a first token vary with the prompt's length,
	// so their limit is higher.
	slowFirstToken = 2.0
	slowGap        = 1.5
	// slowOwnGap is the ratio to the server's own best gap from which it is
	// weighted down. A full batch is about twice as slow as a single call, so
	// the limit is higher than that for peers, which carry a similar load.
	slowOwnGap = 2.5
	// bestLife is the time in which a server's best gap has moved 63% of the way
	// to its present one, so that a lasting change becomes the usual gap.
	bestLife = 5 * time.Minute
	// leastObservations is the number of observations from which an average
	// counts.
	leastObservations = 3
	firstTokenDecay   = 0.3
	gapDecay          = 0.1
	// hintLife is the age at which a load report has lost 63% of its effect.
	hintLife = 3 * time.Second
	// crowdedCache is the share of the KV cache from which an engine has to
	// evict what it needs.
	crowdedCache = 0.95
	// probeBelow is the weight from which a server that gets no work is probed.
	probeBelow = 0.5
	// returnWeight is the weight of a server that has just come back.
	returnWeight = 0.1
	// joinWeight is the weight of a server that joins a running cell: its
	// prefix cache is empty.
	joinWeight = 0.25

	// compareInterval and compareChanges bound the cost of comparing servers:
	// it is done after 20 ms or 48 observations.
	compareInterval = 20 * time.Millisecond
	compareChanges  = 48

	failurePenalty = time.Second
	refusalPenalty = 100 * time.Millisecond
	longestPenalty = 30 * time.Second
	// longestRefusal is shorter: a refusal costs no work, and an engine that
	// restarts or is full for a moment takes calls again soon.
	longestRefusal = 2 * time.Second
)

// Options configures the assessment; a zero takes the default.
type Options struct {
	SlowStart       time.Duration
	ProbeInterval   time.Duration
	StallFloor      time.Duration
	FirstTokenFloor time.Duration
}

// Load is what a backend server reports about itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// CacheUsed is the used share of the KV cache, 0 to 1.
	CacheUsed float64
	// Age is the age of the report when it arrived.
	Age     time.Duration
	Leaving bool
}

// Health is the assessment of all servers of one cell. It is not safe for
// concurrent use.
type Health struct {
	options     Options
	servers     map[string]*server
	firstTokens *window
	started     bool
	// changes counts observations since the servers were compared at compared.
	changes  int
	compared time.Time
	// gap is the usual time between tokens at the last comparison.
	gap time.Duration
}

// server is what is known about one backend server.
type server struct {
	firstToken average
	gap        average
	// bestGap is the lowest average gap, forgotten slowly: the reference for a
	// server without healthy peers.
	bestGap   float64
	bestGapAt time.Time
	observed  time.Time

	failures int
	// blocked is the instant until which the server gets nothing after a failure.
	blocked time.Time
	// probation: the server has to answer a probe before it gets work again.
	probation bool
	probed    time.Time

	load     Load
	reported time.Time

	// speed is the result of the last comparison with the peers.
	speed float64
	// weight is the weight at the instant weighed.
	weight  float64
	weighed time.Time
}

// New returns an assessment without servers.
func New(options Options) *Health {
	options.SlowStart = orDefault(options.SlowStart, DefaultSlowStart)
	options.ProbeInterval = orDefault(options.ProbeInterval, DefaultProbeInterval)
	options.StallFloor = orDefault(options.StallFloor, DefaultStallFloor)
	options.FirstTokenFloor = orDefault(options.FirstTokenFloor, DefaultFirstTokenFloor)
	return &Health{options: options, servers: make(map[string]*server), firstTokens: new(window)}
}

func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// Update sets the names of the cell's servers. Those of the first update start
// at full weight, later ones are slow-started.
func (health *Health) Update(names []string) {
	now := time.Now()
	for name := range health.servers {
		if !slices.Contains(names, name) {
			delete(health.servers, name)
		}
	}
	weight := 1.0
	if health.started {
		weight = joinWeight
	}
	for _, name := range names {
		if health.servers[name] == nil {
			health.servers[name] = &server{weight: weight, speed: 1, weighed: now, observed: now}
		}
	}
	health.started = health.started || len(names) > 0
}

// ObserveFirstToken records the time from dispatch to the first token.
func (health *Health) ObserveFirstToken(name string, delay time.Duration) {
	server := health.servers[name]
	if server == nil {
		return
	}
	server.firstToken.add(delay.Seconds(), firstTokenDecay)
	health.firstTokens.add(delay)
	health.changes++
	server.succeed(time.Now())
}

// ObserveSilence records that a first token did not come within a time. It
// counts only against servers that were thought to be faster.
func (health *Health) ObserveSilence(name string, delay time.Duration) {
	server := health.servers[name]
	if server == nil || delay.Seconds() <= server.firstToken.value {
		return
	}
	server.firstToken.add(delay.Seconds(), firstTokenDecay)
	health.changes += compareChanges
	server.observed = time.Now()
}

// ObserveGap records the time that a piece of an answer took.
func (health *Health) ObserveGap(name string, gap time.Duration, tokens int) {
	server := health.servers[name]
	if server == nil || tokens <= 0 {
		return
	}
	server.gap.add(gap.Seconds()/float64(tokens), gapDecay)
	health.changes++
	server.observed = time.Now()
	server.keepBest(server.observed)
}

// keepBest updates the best gap after an observation.
func (server *server) keepBest(now time.Time) {
	if server.gap.count < leastObservations {
		return
	}
	age := now.Sub(server.bestGapAt)
	server.bestGapAt = now
	if server.bestGap == 0 || server.gap.value < server.bestGap {
		server.bestGap = server.gap.value
		return
	}
	forgotten := 1 - math.Exp(-age.Seconds()/bestLife.Seconds())
	server.bestGap += forgotten * (server.gap.value - server.bestGap)
}

// ObserveFailure records a crash, a lost connection or a stall.
func (health *Health) ObserveFailure(name string) {
	if server := health.servers[name]; server != nil {
		server.fail(time.Now(), failurePenalty, longestPenalty)
	}
}

// ObserveRefusal records that the server did not take a call.
func (health *Health) ObserveRefusal(name string) {
	if server := health.servers[name]; server != nil {
		server.fail(time.Now(), refusalPenalty, longestRefusal)
	}
}

// Report records what a server reports about itself.
func (health *Health) Report(name string, load Load) {
	if server := health.servers[name]; server != nil {
		server.load = load
		server.reported = time.Now()
	}
}

// Leaving reports whether the server has said that it is leaving. It gets
// nothing new.
func (health *Health) Leaving(name string) bool {
	server := health.servers[name]
	return server != nil && server.load.Leaving
}

// succeed ends a probation. The weight rises from there.
func (server *server) succeed(now time.Time) {
	server.observed = now
	server.failures = 0
	if server.probation {
		server.probation = false
		server.weight = returnWeight
		server.weighed = now
	}
}

// fail blocks a server for a time that doubles with each failure in a row, up
// to a longest one. Calls that fail together, as all calls of a crashed engine do, count once.
func (server *server) fail(now time.Time, penalty, longest time.Duration) {
	server.observed = now
	if now.Before(server.blocked) {
		return
	}
	for step := 0; step < server.failures && penalty < longest; step++ {
		penalty *= 2
	}
	server.failures++
	server.blocked = now.Add(min(penalty, longest))
	server.probation = true
	server.weight = 0
	server.weighed = now
}

// Weight returns the part of its slots that a server should get, 0 to 1. It
// falls at once and rises slowly, so that a server that comes back is not
// flooded before it is known to be well.
func (health *Health) Weight(name string) float64 {
	server := health.servers[name]
	if server == nil || server.load.Leaving || server.probation {
		return 0
	}
	now := time.Now()
	risen := server.weight + now.Sub(server.weighed).Seconds()/health.options.SlowStart.Seconds()
	health.compare(now)
	server.weight = min(server.speed, server.hint(now), risen)
	server.weighed = now
	return server.weight
}

// compare compares the servers with each other, if there was enough news since
// the last time: weights are asked for many times per dispatch.
func (health *Health) compare(now time.Time) {
	recent := now.Sub(health.compared) < compareInterval
	if health.changes == 0 || recent && health.changes < compareChanges {
		return
	}
	health.changes = 0
	health.compared = now
	for name, server := range health.servers {
		server.speed = health.speed(name, server)
	}
	gap := health.peers("", func(peer *server) average { return peer.gap })
	health.gap = time.Duration(gap * float64(time.Second))
}

// speed returns the usual time of the peers, or the server's own best gap,
// divided by the server's present time when it is clearly slower, and 1
// otherwise. The own best shows a slow server that has no peers, or only slow
// ones.
func (health *Health) speed(name string, subject *server) float64 {
	speed := 1.0
	firstToken := health.peers(name, func(peer *server) average { return peer.firstToken })
	if ratio := subject.firstToken.ratio(firstToken); ratio > slowFirstToken {
		speed = min(speed, 1/ratio)
	}
	gap := health.peers(name, func(peer *server) average { return peer.gap })
	if ratio := subject.gap.ratio(gap); ratio > slowGap {
		speed = min(speed, 1/ratio)
	}
	if ratio := subject.gap.ratio(subject.bestGap); ratio > slowOwnGap {
		speed = min(speed, 1/ratio)
	}
	return speed
}

// peers returns the median of an average over all servers but one, 0 when no
// peer has been observed.
func (health *Health) peers(name string, of func(*server) average) float64 {
	values := make([]float64, 0, len(health.servers))
	for peer, server := range health.servers {
		if average := of(server); peer != name && average.count >= leastObservations {
			values = append(values, average.value)
		}
	}
	return median(values)
}

// hint returns the weight that a load report suggests, discounted by its age.
// Requests that wait inside the engine come from another owner of the cell.
func (server *server) hint(now time.Time) float64 {
	if server.reported.IsZero() {
		return 1
	}
	share := 1.0
	if server.load.Waiting > 0 {
		share = float64(max(1, server.load.Slots)) / float64(max(1, server.load.Slots)+server.load.Waiting)
	}
	if server.load.CacheUsed >= crowdedCache {
		share = min(share, probeBelow)
	}
	age := server.load.Age + now.Sub(server.reported)
	return 1 - (1-share)*math.Exp(-age.Seconds()/hintLife.Seconds())
}

// ProbeDue reports whether a weighted-down server should get one call now, to
// see whether it is well again.
func (health *Health) ProbeDue(name string) bool {
	server := health.servers[name]
	now := time.Now()
	if server == nil || server.load.Leaving || now.Before(server.blocked) {
		return false
	}
	if now.Sub(server.probed) < health.options.ProbeInterval {
		return false
	}
	if server.probation {
		return true
	}
	return now.Sub(server.observed) >= health.options.ProbeInterval && health.Weight(name) < probeBelow
}

// Probed records that a server got its probe.
func (health *Health) Probed(name string) {
	if server := health.servers[name]; server != nil {
		server.probed = time.Now()
	}
}
