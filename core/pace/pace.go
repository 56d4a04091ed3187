// Package pace learns how fast each backend server is, relative to its service's usual, and limits the
// requests in flight at servers that have just started or recovered.
package pace

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"primrosegw/core/fleet"
)

const (
	// snapshotInterval is the time between two computations of a service's speeds.
	snapshotInterval = time.Second
	// forgetAfter is the time after which a server that is no longer registered is forgotten.
	forgetAfter = time.Minute
	// minDiffering and minDifferingShare are the number and the share of a service's servers whose speeds
	// have to differ from its usual before estimates are used. Single servers may look slow because of what
	// they were sent.
	minDiffering      = 3
	minDifferingShare = 0.1
	// largeService is the number of servers from which on speeds are used and servers that recover are limited.
	// In smaller ones each server carries a large share of the requests.
	largeService = 24
	// minHeaderSpread is the ratio of the highest to the lowest usual slowness in the load headers from
	// which on a service's servers differ.
	minHeaderSpread = 1.5
	// maxChanges is the number of changes that are kept until they are taken.
	maxChanges = 1000
	// lateWorkFactor is the ratio to the usual duration from which on a plain answer is late. Few requests
	// take so long by themselves.
	lateWorkFactor = 3.0
)

// Kind is what an outcome tells about a server.
type Kind int

// The kinds of outcomes.
const (
	// Prefill: the time to the first event, relative to the prediction for a server of usual speed.
	Prefill Kind = iota
	// Gap: the time between two events of a stream, relative to the service's usual one.
	Gap
	// Work: the duration of a plain request.
	Work
	kindCount
)

// Outcome is an observation of a server.
type Outcome struct {
	Kind Kind
	// Actual is what was observed, of which Overhead does not depend on the server's speed. Expected is
	// the prediction for a server of usual speed without the overhead, and 0 if there is none.
	Actual, Overhead, Expected time.Duration
	// Slowness is the slowness that the server reported, 0 for its usual one.
	Slowness float64
	// IsAnswer is set for outcomes by which windows grow or shrink, and Latest is the time from which on
	// the answer is late; 0: not known.
	IsAnswer bool
	Latest   time.Duration
}

// Estimate is how long a server takes relative to its service's usual; 1 is usual.
type Estimate struct {
	Prefill, Gap, Work float64
	// Confidence is between 0, nothing is known, and 1.
	Confidence float64
	// Baseline is the usual slowness that the server itself reports, which is part of the factors.
	Baseline float64
	// Rounded is the binary logarithm of Prefill in steps, which seldom changes.
	Rounded float64
}

// usual is the estimate of a server of which nothing is known.
func usual() Estimate { return Estimate{Prefill: 1, Gap: 1, Work: 1, Baseline: 1} }

// Speeds are the estimates of a service's servers, by hash of the server's ID. They are nil as long as the
// servers are not known to differ.
type Speeds map[uint64]Estimate

// Of returns the estimate of a server.
func (speeds Speeds) Of(server uint64) Estimate {
	if estimate, known := speeds[server]; known {
		return estimate
	}
	return usual()
}

// Tracker holds what a host knows about the speed of backend servers. It is safe for concurrent use.
type Tracker struct {
	own      string
	mutex    sync.Mutex
	hosts    []string
	services map[string]*service
	servers  map[uint64]*server
	// limited is the number of servers in slow start.
	limited int
	// nextSpeeds is the time from which on other hosts are told of observations again.
	nextSpeeds time.Time
	changes    []Change
}

// service holds what is known of a service as a whole.
type service struct {
	// seenAt is when its servers were last looked at.
	seenAt time.Time
	speeds Speeds
	// computedAt is when speeds were computed.
	computedAt time.Time
	// offsets are the logarithms of the usual ratios by kind.
	offsets [kindCount]float64
	spread  float64
}

// server is the state of a server.
type server struct {
	id, service string
	// process identifies the server's process.
	process uint64
	seenAt  time.Time
	// baseline is the usual slowness in the load headers.
	baseline   float64
	reports    int
	reportedAt time.Time
	ratios     [kindCount]ratio
	// rounded is the rounded logarithm of the speed, and announced the one that changes were last made of.
	rounded, announced float64
	// isDown is set while the server is suspended, wants no requests or is slow.
	isDown, isSlow bool
	downReason     Reason
	// lifted: the process has left slow start, or ran when this host first saw the service.
	lifted    bool
	slowSince time.Time
	window    *window
	inFlight  int
}

// New returns a tracker of a host.
func New(own string) *Tracker {
	return &Tracker{own: own, hosts: []string{own}, services: make(map[string]*service), servers: make(map[uint64]*server)}
}

// SetHosts sets the hosts among which windows are divided.
func (tracker *Tracker) SetHosts(names []string) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	tracker.hosts = slices.Sorted(slices.Values(names))
}

func (tracker *Tracker) service(name string) *service {
	known := tracker.services[name]
	if known == nil {
		known = &service{}
		tracker.services[name] = known
	}
	return known
}

// Observe records an outcome.
func (tracker *Tracker) Observe(registered fleet.Server, outcome Outcome, now time.Time) {
	if tracker == nil || outcome.Actual <= 0 {
		return
	}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	known := tracker.servers[fleet.ServerHash(registered.ID)]
	if known == nil {
		return
	}
	if outcome.Kind != Prefill || outcome.Expected > 0 {
		expected := cmp.Or(outcome.Expected.Seconds(), 1)
		known.ratios[outcome.Kind].observe((outcome.Actual-outcome.Overhead).Seconds()/(expected*max(minSlowness, cmp.Or(outcome.Slowness, known.usualSlowness()))), outcome.Kind, now)
	}
	if outcome.IsAnswer && known.window != nil && known.process == processOf(registered) {
		known.window.answered(tracker.isLate(known, outcome), now)
	}
}

// isLate reports whether an answer is slower than expected. Plain answers are compared to the service's usual
// duration.
func (tracker *Tracker) isLate(known *server, outcome Outcome) bool {
	latest := outcome.Latest
	if outcome.Kind == Work {
		of := tracker.service(known.service)
		if usual := math.Exp(of.offsets[Work]); of.offsets[Work] != 0 {
			longest := time.Duration(lateWorkFactor * usual * float64(time.Second))
			latest = cmp.Or(min(latest, longest), longest)
		}
	}
	return latest > 0 && outcome.Actual > latest
}

// RecordLate records an answer of a server in slow start that counts as late, such as a refusal.
func (tracker *Tracker) RecordLate(registered fleet.Server, now time.Time) {
	if tracker == nil {
		return
	}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if known := tracker.servers[fleet.ServerHash(registered.ID)]; known != nil && known.window != nil && known.process == processOf(registered) {
		known.window.answered(true, now)
	}
}

// Estimate returns how fast a server is.
func (tracker *Tracker) Estimate(registered fleet.Server, now time.Time) Estimate {
	return tracker.Speeds(registered.Service, now).Of(fleet.ServerHash(registered.ID))
}

// Speeds returns the estimates of a service's servers, and nil if they are not known to differ. The map is
// not changed later.
func (tracker *Tracker) Speeds(name string, now time.Time) Speeds {
	if tracker == nil {
		return nil
	}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	known := tracker.service(name)
	if now.Sub(known.computedAt) >= snapshotInterval || now.Before(known.computedAt) {
		known.computedAt = now
		tracker.compute(name, known, now)
	}
	return known.speeds
}

// compute estimates the speeds of a service's servers. A server has one speed, which shows in the ratios of
// each kind with an offset that all servers share.
func (tracker *Tracker) compute(name string, known *service, now time.Time) {
	var members []*server
	for hash, one := range tracker.servers {
		if now.Sub(one.seenAt) > forgetAfter {
			tracker.forget(hash)
		} else if one.service == name {
			members = append(members, one)
		}
	}
	speeds := make([]measured, len(members))
	for range alignmentRounds {
		for kind := range kindCount {
			known.offsets[kind] = offset(members, speeds, kind)
		}
		for index, one := range members {
			speeds[index] = one.combined(known.offsets, now)
		}
	}
	center(speeds)
	differing, lowest, highest := 0, 0.0, 0.0
	estimates := make(Speeds, len(members))
	for index, one := range members {
		estimate, differs := speeds[index].estimate()
		estimate.Prefill, estimate.Gap, estimate.Work = estimate.Prefill*one.usualSlowness(), estimate.Gap*one.usualSlowness(), estimate.Work*one.usualSlowness()
		if differs {
			differing++
		}
		if exact := math.Log2(estimate.Prefill); math.Abs(exact-one.rounded) > speedMargin {
			one.rounded = math.Round(exact/speedStep) * speedStep
		}
		estimate.Rounded, estimate.Baseline = one.rounded, one.usualSlowness()
		estimates[fleet.ServerHash(one.id)] = estimate
		if lowest == 0 || estimate.Prefill < lowest {
			lowest = estimate.Prefill
		}
		highest = max(highest, estimate.Prefill)
	}
	known.speeds, known.spread = nil, 1
	differs := float64(differing) >= max(minDiffering, minDifferingShare*float64(len(members))) || headerSpread(members) >= minHeaderSpread
	if differs && len(members) >= largeService {
		known.speeds, known.spread = estimates, highest/lowest
		tracker.announce(members, estimates)
	}
}

// announce adds the changes of rounded speeds. The mutex is held.
func (tracker *Tracker) announce(members []*server, estimates Speeds) {
	slices.SortFunc(members, func(a, b *server) int { return cmp.Compare(a.id, b.id) })
	for _, one := range members {
		if one.announced != one.rounded && len(tracker.changes) < maxChanges {
			one.announced = one.rounded
			estimate := estimates.Of(fleet.ServerHash(one.id))
			tracker.changes = append(tracker.changes, Change{ID: one.id, Service: one.service, Speed: &estimate})
		}
	}
}

// usualSlowness is the usual slowness that the server itself reports.
func (server *server) usualSlowness() float64 { return cmp.Or(server.baseline, 1) }

// headerSpread returns the ratio of the highest to the lowest usual slowness of the load headers.
func headerSpread(members []*server) float64 {
	lowest, highest := 0.0, 0.0
	for _, one := range members {
		if one.baseline > 0 {
			if lowest == 0 || one.baseline < lowest {
				lowest = one.baseline
			}
			highest = max(highest, one.baseline)
		}
	}
	if lowest == 0 {
		return 1
	}
	return highest / lowest
}

// Spread returns the ratio of the slowest to the fastest server of each service whose servers differ.
func (tracker *Tracker) Spread() float64 {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	spread := 1.0
	for _, known := range tracker.services {
		spread = max(spread, known.spread)
	}
	return spread
}

// forget removes a server. The mutex is held.
func (tracker *Tracker) forget(hash uint64) {
	if tracker.servers[hash].window != nil {
		tracker.limited--
	}
	delete(tracker.servers, hash)
}

func processOf(registered fleet.Server) uint64 { return registered.ProcessHash() }
