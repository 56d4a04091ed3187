package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// crashesToQuarantine is the number of crashes that put a feature in quarantine if no
	// other feature explains them as well.
	crashesToQuarantine = 3
	// crashesDespiteDoubt is the number that does so in any case.
	crashesDespiteDoubt = 5
	// settleDelay is the time after which all hosts have reported their requests in flight
	// at a server that crashed. Until then, a crash counts only against a request that is
	// sent again unchanged, since its quarantine concerns no other request.
	settleDelay = 400 * time.Millisecond
	// expiryInterval is the time between two checks for expired crashes and quarantines.
	expiryInterval = time.Minute
	// maxTrackedCrashes, maxRequestsPerCrash and maxQuarantines limit what is kept.
	maxTrackedCrashes   = 64
	maxRequestsPerCrash = 32
	maxQuarantines      = 128
)

/*
Attribution infers from crashes which feature of requests causes them. A feature is
what requests can have in common, identified by a hash: a part of the prompt, or the
whole request. Requests that crash servers may have a single feature in common, and
share all others with requests that complete.

Each crash has the requests that were in flight at the server. A request that completes
clears its features of all earlier crashes. What remains suspected is counted by
crashes. The feature with most crashes is quarantined together with its companions: the
features that all suspected requests with it have. Requests that have all of them are
refused. So a feature that never occurs without the cause is not blamed for it; when it
does occur alone and completes, it is cleared and leaves the quarantine.

Servers that go down together may have a common cause outside the requests. So a crash
counts for a feature only if a request with it was sent after the previous crash that
counts. A server that goes silent has crashed between its last sign of life and its end; the
crash counts as early, but servers that end at the same time count once. Crashes that a
quarantine explains do not count for other features. For a feature
of the quarantine itself they count only together with a crash that no quarantine explains:
it may be that the quarantine has features too many, but the same crashes do not show it.
If two features that are not companions have the same number of crashes, there is no decision
before crashesDespiteDoubt.

All operations are commutative and idempotent, so hosts that exchange crashes and cleared
features come to the same result. An Attribution is not safe for concurrent use.
*/
type Attribution struct {
	// crashes is ordered by time.
	crashes []*trackedCrash
	// cleared is when a request with a feature last completed. Only features that were
	// suspected then are recorded.
	cleared map[uint64]time.Time
	// suspectedAt is the time of the latest crash or quarantine of each feature.
	suspectedAt map[uint64]time.Time
	quarantines []Quarantine
}

// trackedCrash is a crash of one process of a server.
type trackedCrash struct {
	id uint64
	at time.Time
	// knownAt is when this host learned of the crash.
	knownAt time.Time
	// endedAt is when the server's end was seen: at, unless that is an estimate because the server
	// went silent.
	endedAt time.Time
	// own is set if this host observed the crash.
	own      bool
	requests []InFlightRequest
}

// InFlightRequest is a request that was in flight at a server that crashed.
type InFlightRequest struct {
	// Features is sorted.
	Features []uint64 `cbor:"1,keyasint"`
	// SentBefore is the time from sending the request to the crash.
	SentBefore time.Duration `cbor:"2,keyasint"`
}

// Quarantine is a set of features. Requests that have all of them are refused.
type Quarantine struct {
	// Features is sorted.
	Features []uint64
	At       time.Time
	// Own is set if the decision followed from an observation of this host. Other hosts
	// may lack it.
	Own bool
}

// NewAttribution returns an attribution without crashes.
func NewAttribution() *Attribution {
	return &Attribution{cleared: make(map[uint64]time.Time), suspectedAt: make(map[uint64]time.Time)}
}

// crashObservation is a crash at a time, as a host reports it.
type crashObservation struct {
	report CrashReport
	at     time.Time
	// own is set if this host observed it.
	own bool
}

// addCrash adds a crash with the requests that were in flight, or adds further requests to
// a known crash. It reports whether it added a request.
func (attribution *Attribution) addCrash(observation crashObservation, now time.Time) bool {
	crash := attribution.crash(observation, now)
	crash.own = crash.own || observation.own
	crash.adjustTime(observation)
	changed := false
	for _, request := range observation.report.Requests {
		known := slices.ContainsFunc(crash.requests, func(other InFlightRequest) bool { return slices.Equal(other.Features, request.Features) })
		if known || len(crash.requests) >= maxRequestsPerCrash {
			continue
		}
		request.SentBefore += crash.at.Sub(observation.at)
		crash.requests = append(crash.requests, request)
		attribution.markSuspected(request.Features, crash.at)
		changed = true
	}
	slices.SortStableFunc(attribution.crashes, func(a, b *trackedCrash) int { return a.at.Compare(b.at) })
	if len(attribution.crashes) > maxTrackedCrashes {
		attribution.crashes = slices.Delete(attribution.crashes, 0, len(attribution.crashes)-maxTrackedCrashes)
	}
	return changed
}

// crash returns a known crash or adds a new one.
func (attribution *Attribution) crash(observation crashObservation, now time.Time) *trackedCrash {
	for _, crash := range attribution.crashes {
		if crash.id == observation.report.ID {
			return crash
		}
	}
	crash := &trackedCrash{id: observation.report.ID, at: observation.at, knownAt: now, endedAt: observation.endedAt()}
	attribution.crashes = append(attribution.crashes, crash)
	return crash
}

// endedAt returns when the server's end was seen.
func (observation crashObservation) endedAt() time.Time {
	return observation.at.Add(max(0, observation.report.SilentFor))
}

// adjustTime sets the times of a crash to the earliest observations.
func (crash *trackedCrash) adjustTime(observation crashObservation) {
	if observation.endedAt().Before(crash.endedAt) {
		crash.endedAt = observation.endedAt()
	}
	if !observation.at.Before(crash.at) {
		return
	}
	for index := range crash.requests {
		crash.requests[index].SentBefore += observation.at.Sub(crash.at)
	}
	crash.at = observation.at
}

// settlesAt is when all hosts have reported their requests in flight.
func (crash *trackedCrash) settlesAt() time.Time {
	if crash.knownAt.After(crash.at) {
		return crash.knownAt.Add(settleDelay)
	}
	return crash.at.Add(settleDelay)
}

func (attribution *Attribution) markSuspected(features []uint64, at time.Time) {
	for _, feature := range features {
		if at.After(attribution.suspectedAt[feature]) {
			attribution.suspectedAt[feature] = at
		}
	}
}

// Clear records that a request with the features completed, and returns those that were
// under suspicion.
func (attribution *Attribution) Clear(features []uint64, at time.Time) []uint64 {
	var changed []uint64
	for _, feature := range features {
		suspectedAt, suspected := attribution.suspectedAt[feature]
		if suspected && at.After(suspectedAt) && !attribution.cleared[feature].After(suspectedAt) {
			attribution.cleared[feature] = at
			changed = append(changed, feature)
		}
	}
	return changed
}

// AddQuarantine adds a quarantine that another host decided, unless a known one covers
// it. It reports whether it was added.
func (attribution *Attribution) AddQuarantine(quarantine Quarantine) bool {
	if len(quarantine.Features) == 0 || attribution.Refuses(quarantine.Features) {
		return false
	}
	attribution.quarantines = append(attribution.quarantines, quarantine)
	attribution.quarantines = attribution.quarantines[max(0, len(attribution.quarantines)-maxQuarantines):]
	attribution.markSuspected(quarantine.Features, quarantine.At)
	return true
}

// Refuses reports whether requests with the sorted features are refused.
func (attribution *Attribution) Refuses(features []uint64) bool {
	return slices.ContainsFunc(attribution.quarantines, func(quarantine Quarantine) bool { return containsAll(features, quarantine.Features) })
}

// HasSuspects reports whether any feature is suspected or in quarantine.
func (attribution *Attribution) HasSuspects() bool { return len(attribution.suspectedAt) > 0 }

// QuarantineChange lists what Update changed.
type QuarantineChange struct {
	Added []Quarantine
	// Ended holds quarantines that expired, or features of which were cleared. If any of
	// its features are left, a quarantine is replaced by one with these.
	Ended []Quarantine
}

// join returns both changes together.
func (change QuarantineChange) join(other QuarantineChange) QuarantineChange {
	return QuarantineChange{Added: slices.Concat(change.Added, other.Added), Ended: slices.Concat(change.Ended, other.Ended)}
}

// Update draws the conclusions from what was added since the last call, and from the time
// that has passed. Own is set if this host made the last observation. Crashes and quarantines
// that are older than CrashTTL are dropped.
func (attribution *Attribution) Update(own bool, now time.Time) QuarantineChange {
	var change QuarantineChange
	attribution.refineQuarantines(own, now, &change)
	attribution.dropExpired(now)
	for {
		best := attribution.bestHypothesis(now)
		if best == nil {
			return change
		}
		quarantine := Quarantine{Features: best.companions, At: now, Own: best.own}
		attribution.AddQuarantine(quarantine)
		change.Added = append(change.Added, quarantine)
	}
}

// NextUpdate returns when Update can come to other conclusions without new observations; zero
// if never.
func (attribution *Attribution) NextUpdate(now time.Time) time.Time {
	if !attribution.HasSuspects() {
		return time.Time{}
	}
	next := now.Add(expiryInterval)
	for _, crash := range attribution.crashes {
		if settledAt := crash.settlesAt(); settledAt.After(now) && settledAt.Before(next) {
			next = settledAt
		}
	}
	return next
}

// dropExpired drops old crashes and everything known about features that no crash and no
// quarantine has.
func (attribution *Attribution) dropExpired(now time.Time) {
	expired := func(crash *trackedCrash) bool { return now.Sub(crash.at) >= CrashTTL }
	if len(attribution.crashes) > 0 && !expired(attribution.crashes[0]) && len(attribution.suspectedAt) < maxTrackedCrashes*maxRequestsPerCrash {
		return
	}
	attribution.crashes = slices.DeleteFunc(attribution.crashes, expired)
	clear(attribution.suspectedAt)
	for _, crash := range attribution.crashes {
		for _, request := range crash.requests {
			attribution.markSuspected(request.Features, crash.at)
		}
	}
	for _, quarantine := range attribution.quarantines {
		attribution.markSuspected(quarantine.Features, quarantine.At)
	}
	for feature := range attribution.cleared {
		if _, suspected := attribution.suspectedAt[feature]; !suspected {
			delete(attribution.cleared, feature)
		}
	}
}

// refineQuarantines takes cleared features out of the quarantines, and ends those that
// have none left or are too old.
func (attribution *Attribution) refineQuarantines(own bool, now time.Time, change *QuarantineChange) {
	quarantines := attribution.quarantines
	attribution.quarantines = nil
	for _, quarantine := range quarantines {
		kept := slices.DeleteFunc(slices.Clone(quarantine.Features), func(feature uint64) bool {
			return attribution.cleared[feature].After(quarantine.At)
		})
		switch {
		case len(kept) == 0 || now.Sub(quarantine.At) >= CrashTTL:
			change.Ended = append(change.Ended, quarantine)
		case len(kept) == len(quarantine.Features):
			attribution.quarantines = append(attribution.quarantines, quarantine)
		default:
			change.Ended = append(change.Ended, quarantine)
			refined := Quarantine{Features: kept, At: quarantine.At, Own: own}
			if attribution.AddQuarantine(refined) {
				change.Added = append(change.Added, refined)
			}
		}
	}
}

// hypothesis is a feature that may be the cause of crashes.
type hypothesis struct {
	feature uint64
	// crashes is the number of crashes that count, settled that of those older than
	// settleDelay.
	crashes int
	settled int
	// unexplained is set if no quarantine explains one of the crashes that count,
	// settledUnexplained if that is so for one of the settled ones.
	unexplained, settledUnexplained bool
	// lastCrash is the last crash that counts, own whether this host observed it.
	lastCrash *trackedCrash
	own       bool
	// request holds the features of the first suspected request with the feature. Single is
	// set if all of these requests have the same ones.
	request []uint64
	single  bool
	// companions holds the features, this one included, that all suspected requests with
	// the feature have.
	companions []uint64
}

// bestHypothesis returns what explains most crashes that no quarantine covers. It returns
// nil if there are too few crashes for a decision, or another feature explains as many.
func (attribution *Attribution) bestHypothesis(now time.Time) *hypothesis {
	var found []*hypothesis
	for _, one := range attribution.hypotheses(now) {
		if !one.single {
			// The hosts' reports of a crash arrive one by one: until it is settled, it counts
			// for the features of those that have arrived.
			one.crashes, one.unexplained = one.settled, one.settledUnexplained
		}
		if one.crashes >= crashesToQuarantine && one.unexplained && !attribution.Refuses(one.companions) {
			found = append(found, one)
		}
	}
	slices.SortFunc(found, func(a, b *hypothesis) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(len(b.companions), len(a.companions)), cmp.Compare(a.feature, b.feature))
	})
	if len(found) == 0 {
		return nil
	}
	best := found[0]
	inDoubt := slices.ContainsFunc(found[1:], func(other *hypothesis) bool {
		return other.crashes == best.crashes && !slices.Contains(best.companions, other.feature)
	})
	if inDoubt && best.crashes < crashesDespiteDoubt {
		return nil
	}
	return best
}

// hypotheses returns a hypothesis for each suspected feature.
func (attribution *Attribution) hypotheses(now time.Time) map[uint64]*hypothesis {
	found := make(map[uint64]*hypothesis)
	for _, crash := range attribution.crashes {
		explanations := attribution.explanations(crash)
		for _, request := range crash.requests {
			suspected := attribution.suspectedFeatures(request.Features, crash.at)
			for _, feature := range suspected {
				if explainedWithout(feature, explanations) {
					continue
				}
				if found[feature] == nil {
					found[feature] = &hypothesis{feature: feature, request: request.Features, single: true, companions: suspected}
				}
				found[feature].count(crash, request, len(explanations) > 0, now)
				found[feature].narrow(request.Features, suspected)
			}
		}
	}
	return found
}

// count counts a crash if the request was sent after the last one that counts. Explained is
// set if a quarantine explains the crash.
func (hypothesis *hypothesis) count(crash *trackedCrash, request InFlightRequest, explained bool, now time.Time) {
	if hypothesis.lastCrash != nil && !crash.follows(hypothesis.lastCrash, request) {
		return
	}
	hypothesis.crashes++
	hypothesis.unexplained = hypothesis.unexplained || !explained
	if !crash.settlesAt().After(now) {
		hypothesis.settled++
		hypothesis.settledUnexplained = hypothesis.settledUnexplained || !explained
	}
	hypothesis.lastCrash, hypothesis.own = crash, crash.own
}

// follows reports whether a request was sent after an earlier crash. If the time of that one is an
// estimate, servers that end within sameCrashWindow are taken to have gone silent together.
func (crash *trackedCrash) follows(earlier *trackedCrash, request InFlightRequest) bool {
	if earlier.endedAt.After(earlier.at) && crash.endedAt.Sub(earlier.endedAt).Abs() <= sameCrashWindow {
		return false
	}
	return crash.at.Add(-request.SentBefore).After(earlier.at)
}

// narrow reduces the companions to the suspected features of another request.
func (hypothesis *hypothesis) narrow(features, suspected []uint64) {
	hypothesis.single = hypothesis.single && slices.Equal(features, hypothesis.request)
	hypothesis.companions = slices.DeleteFunc(slices.Clone(hypothesis.companions), func(companion uint64) bool {
		_, shared := slices.BinarySearch(suspected, companion)
		return !shared
	})
}

// suspectedFeatures returns the features that have not been cleared since a crash.
func (attribution *Attribution) suspectedFeatures(features []uint64, crashAt time.Time) []uint64 {
	return slices.DeleteFunc(slices.Clone(features), func(feature uint64) bool { return attribution.cleared[feature].After(crashAt) })
}

// explanations returns the quarantines that apply to a request of the crash.
func (attribution *Attribution) explanations(crash *trackedCrash) []Quarantine {
	var found []Quarantine
	for _, quarantine := range attribution.quarantines {
		if slices.ContainsFunc(crash.requests, func(request InFlightRequest) bool { return containsAll(request.Features, quarantine.Features) }) {
			found = append(found, quarantine)
		}
	}
	return found
}

// explainedWithout reports whether a quarantine that does not have the feature explains
// the crash.
func explainedWithout(feature uint64, explanations []Quarantine) bool {
	return slices.ContainsFunc(explanations, func(quarantine Quarantine) bool { return !slices.Contains(quarantine.Features, feature) })
}

// containsAll reports whether the sorted features contain all of those wanted.
func containsAll(features, wanted []uint64) bool {
	for _, feature := range wanted {
		if _, found := slices.BinarySearch(features, feature); !found {
			return false
		}
	}
	return true
}
