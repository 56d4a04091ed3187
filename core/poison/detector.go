package poison

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
)

const (
	// crashConfirmWindow is the time after a broken response within which a failed
	// connection attempt confirms that the server has crashed.
	crashConfirmWindow = 3 * time.Second
	// sameCrashWindow is the maximum time between broken responses that are
	// attributed to the same crash.
	sameCrashWindow = 500 * time.Millisecond
	// maxBrokenResponses limits the broken responses kept for each server, and
	// maxBrokenServers the servers for which any are kept.
	maxBrokenResponses = 128
	maxBrokenServers   = 1024
	// maxFeatures limits the features of a request, and maxReportedFeatures those of all
	// requests of a crash.
	maxFeatures         = 64
	maxReportedFeatures = 512
)

/*
CrashDetector detects crashes of servers from what a host observes: a response that
is cut off, followed shortly by a failed connection attempt to the same server.
Neither is sufficient alone, because servers also lose single responses, and also
crash for reasons other than a request.

A crash cuts off all of a server's responses at once. Attribution infers which feature
of these requests is the cause, from the crashes that all hosts observe. A CrashDetector
is safe for concurrent use.
*/
type CrashDetector struct {
	options     DetectorOptions
	mutex       sync.Mutex
	attribution *Attribution
	broken      map[string][]brokenResponse
	lives       map[string]*processLife
	crashes     outbox[CrashReport]
	cleared     outbox[ClearedFeature]
	quarantines outbox[QuarantineReport]
	records     quarantineRecords
	// updateAt is when conclusions may change without a new observation.
	updateAt time.Time
}

// DetectorOptions configures a CrashDetector.
type DetectorOptions struct {
	// Recorded is set if the caller writes and removes the records of quarantines.
	Recorded bool
	// Random chooses the times at which records are written; nil: the default source. It
	// must not be shared with others.
	Random *rand.Rand
	// Logger logs the changes of the quarantines; nil: they are not logged.
	Logger *event.Logger
	// OnQuarantine is called for each change of the quarantines, without the lock of the
	// detector held. It may be nil.
	OnQuarantine func(change QuarantineChange)
}

// brokenResponse is a response that a server cut off.
type brokenResponse struct {
	features []uint64
	sentAt   time.Time
	at       time.Time
	// ambiguous is set if the response may have been complete.
	ambiguous bool
}

// NewCrashDetector returns a detector that knows of no crashes.
func NewCrashDetector(options DetectorOptions) *CrashDetector {
	if options.OnQuarantine == nil {
		options.OnQuarantine = func(QuarantineChange) {}
	}
	if options.Logger == nil {
		options.Logger = event.Discard()
	}
	return &CrashDetector{
		options: options, attribution: NewAttribution(), broken: make(map[string][]brokenResponse),
		lives:   make(map[string]*processLife),
		records: newQuarantineRecords(options),
	}
}

// Fingerprint returns a hash of a request's method, target, caller and body, by
// which a repeated request is recognized. It is never 0.
func Fingerprint(method, target, caller string, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{method, target, caller} {
		// Writes to the digest never fail.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return max(1, digest.Sum64())
}

// Features returns the sorted features of a request: its fingerprint, unless that is 0, and
// the parts of its prompt.
func Features(fingerprint uint64, parts []uint64) []uint64 {
	features := slices.Clone(parts[:min(len(parts), maxFeatures-1)])
	if fingerprint != 0 {
		features = append(features, fingerprint)
	}
	slices.Sort(features)
	return slices.Compact(features)
}

// ObserveBrokenResponse records that a process of a server cut off the response to a
// request with the given features that was sent at sentAt. It reports whether this is the
// first broken response of a possible crash. If so, the caller should try to connect to the
// server, to find out whether it crashed.
func (detector *CrashDetector) ObserveBrokenResponse(process string, features []uint64, sentAt, now time.Time) bool {
	var change QuarantineChange
	defer func() { detector.notify(change) }()
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	earlier := slices.ContainsFunc(detector.broken[process], func(response brokenResponse) bool {
		return !response.ambiguous && now.Sub(response.at) <= sameCrashWindow
	})
	response := brokenResponse{features: features, sentAt: sentAt, at: now}
	detector.addBroken(process, response, now)
	change = detector.addUnanswered(process, response, now)
	return !earlier
}

// ObserveAmbiguousEnd records a response that ended with its connection, as complete responses
// without a length do, and those of a server that crashes.
func (detector *CrashDetector) ObserveAmbiguousEnd(process string, features []uint64, sentAt, now time.Time) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	detector.addBroken(process, brokenResponse{features: features, sentAt: sentAt, at: now, ambiguous: true}, now)
}

// addBroken adds a response that a process cut off. The caller must hold the mutex.
func (detector *CrashDetector) addBroken(process string, response brokenResponse, now time.Time) {
	if len(detector.broken) >= maxBrokenServers {
		detector.forgetBroken(now)
	}
	responses := append(dropStale(detector.broken[process], now), response)
	detector.broken[process] = responses[max(0, len(responses)-maxBrokenResponses):]
}

// forgetBroken forgets the servers that cut off nothing lately. The caller must hold the
// mutex.
func (detector *CrashDetector) forgetBroken(now time.Time) {
	for process, responses := range detector.broken {
		if now.Sub(responses[len(responses)-1].at) > crashConfirmWindow {
			delete(detector.broken, process)
		}
	}
}

// ObserveConnectionFailure records that a process of a server accepts no connections. The
// requests whose responses it cut off last become suspects. It returns their number.
func (detector *CrashDetector) ObserveConnectionFailure(process string, now time.Time) int {
	suspects, change := detector.addOwnCrash(process, now)
	detector.notify(change)
	return suspects
}

// addOwnCrash adds the crash of a process that cut off responses lately. It returns the
// number of suspects.
func (detector *CrashDetector) addOwnCrash(process string, now time.Time) (int, QuarantineChange) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	responses := dropStale(detector.broken[process], now)
	delete(detector.broken, process)
	if len(responses) == 0 {
		return 0, QuarantineChange{}
	}
	crashTime := responses[len(responses)-1].at
	life := detector.life(process, now)
	life.unanswered = life.dropOldUnanswered(now)
	if life.endedAt.IsZero() && len(life.unanswered) > 0 && life.silentSince().Before(crashTime) {
		for _, response := range responses {
			if response.ambiguous {
				life.unanswered = append(life.unanswered, response)
			}
		}
		life.endedAt = crashTime
		return len(life.unanswered), detector.reportSilentCrash(process, life, now)
	}
	var requests []InFlightRequest
	features := 0
	for _, response := range responses {
		features += len(response.features)
		if crashTime.Sub(response.at) <= sameCrashWindow && features <= maxReportedFeatures {
			requests = append(requests, InFlightRequest{Features: response.features, SentBefore: crashTime.Sub(response.sentAt)})
		}
	}
	// All hosts give the crash of a process the same ID.
	report := CrashReport{ID: xxhash.Sum64String(process), Requests: requests[:min(len(requests), maxRequestsPerCrash)]}
	detector.crashes.add(report, crashTime, now)
	detector.attribution.addCrash(crashObservation{report: report, at: crashTime, own: true}, now)
	if life.endedAt.IsZero() {
		life.endedAt, life.seen = now, true
	}
	return len(requests), detector.update(true, now)
}

// ObserveCrash records the crash of a server that is known by other means, with a request that
// was in flight there. All requests have the same ID of the crash.
func (detector *CrashDetector) ObserveCrash(id uint64, features []uint64, sentAt, now time.Time) {
	detector.mutex.Lock()
	requests := []InFlightRequest{{Features: features, SentBefore: now.Sub(sentAt)}}
	report := CrashReport{ID: id, Requests: requests}
	detector.crashes.add(report, now, now)
	detector.attribution.addCrash(crashObservation{report: report, at: now, own: true}, now)
	change := detector.update(true, now)
	detector.mutex.Unlock()
	detector.notify(change)
}

// ObserveCompletion records that a request ran to completion, so that no feature of it
// caused the crashes recorded so far.
func (detector *CrashDetector) ObserveCompletion(features []uint64, now time.Time) {
	detector.notify(detector.clear(features, now))
}

// clear clears the features of a request that this host completed.
func (detector *CrashDetector) clear(features []uint64, now time.Time) QuarantineChange {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	return detector.addCleared(features, now, now)
}

// addCleared clears the features of a request that ended at a time and did not crash its server. The
// caller must hold the mutex.
func (detector *CrashDetector) addCleared(features []uint64, at, now time.Time) QuarantineChange {
	cleared := detector.attribution.Clear(features, at)
	if len(cleared) == 0 {
		return QuarantineChange{}
	}
	for _, feature := range cleared {
		detector.cleared.add(ClearedFeature{Feature: feature}, at, now)
	}
	return detector.update(true, now)
}

// HasSuspects reports whether there are any suspects. If there are none, callers
// don't need to compute fingerprints.
func (detector *CrashDetector) HasSuspects() bool {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	return detector.attribution.HasSuspects()
}

// Refuses reports whether a request with the given features must not run.
func (detector *CrashDetector) Refuses(features []uint64, now time.Time) bool {
	detector.mutex.Lock()
	change := detector.updateIfDue(now)
	refused := detector.attribution.Refuses(features)
	detector.mutex.Unlock()
	detector.notify(change)
	return refused
}

// Advance draws the conclusions that follow from the time that has passed.
func (detector *CrashDetector) Advance(now time.Time) {
	detector.mutex.Lock()
	change := detector.updateIfDue(now)
	detector.mutex.Unlock()
	detector.notify(change)
}

// updateIfDue is update if conclusions may have changed with time. The caller must hold the
// mutex.
func (detector *CrashDetector) updateIfDue(now time.Time) QuarantineChange {
	if detector.updateAt.IsZero() || now.Before(detector.updateAt) {
		return QuarantineChange{}
	}
	return detector.update(false, now)
}

// PendingEvidence returns what is to be sent to other hosts now.
func (detector *CrashDetector) PendingEvidence(now time.Time) Evidence {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	return Evidence{
		Crashes:     detector.crashes.due(now, maxCrashesPerMessage),
		Cleared:     detector.cleared.due(now, maxReportsPerMessage),
		Quarantines: detector.quarantines.due(now, maxReportsPerMessage),
	}
}

// Quarantines returns the quarantines in force, for hosts that have just started.
func (detector *CrashDetector) Quarantines(now time.Time) Evidence {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	var evidence Evidence
	for _, quarantine := range detector.attribution.quarantines {
		evidence.Quarantines = append(evidence.Quarantines, QuarantineReport{quarantine.Features, now.Sub(quarantine.At).Milliseconds()})
	}
	return evidence
}

// ApplyEvidence adds what another host has observed.
func (detector *CrashDetector) ApplyEvidence(evidence Evidence, now time.Time) {
	detector.mutex.Lock()
	observed := detector.addObservations(evidence, now)
	change := detector.addQuarantines(evidence.Quarantines, now)
	if observed || len(change.Added) > 0 {
		change = change.join(detector.update(false, now))
	}
	detector.mutex.Unlock()
	detector.notify(change)
}

// addObservations adds the crashes and cleared features that another host has observed, and
// reports whether any were unknown. The caller must hold the mutex.
func (detector *CrashDetector) addObservations(evidence Evidence, now time.Time) bool {
	changed := false
	for _, report := range evidence.Crashes {
		for _, request := range report.Requests {
			slices.Sort(request.Features)
		}
		changed = detector.attribution.addCrash(crashObservation{report: report, at: timeOfAge(report.AgeMs, now)}, now) || changed
	}
	for _, report := range evidence.Cleared {
		cleared := detector.attribution.Clear([]uint64{report.Feature}, timeOfAge(report.AgeMs, now))
		changed = changed || len(cleared) > 0
	}
	return changed
}

// addQuarantines adds the quarantines that another host has decided. The caller must hold the
// mutex.
func (detector *CrashDetector) addQuarantines(reports []QuarantineReport, now time.Time) QuarantineChange {
	var change QuarantineChange
	for _, report := range reports {
		quarantine := newQuarantine(report.Features, timeOfAge(report.AgeMs, now))
		if detector.attribution.AddQuarantine(quarantine) {
			change.Added = append(change.Added, quarantine)
		}
	}
	detector.records.add(change.Added, now)
	return change
}

// update draws the conclusions from new observations. Own is set for observations of this
// host, from which the other hosts are told the conclusions. The caller must hold the mutex,
// and notify of the change after it has released it.
func (detector *CrashDetector) update(own bool, now time.Time) QuarantineChange {
	change := detector.attribution.Update(own, now)
	for _, quarantine := range change.Added {
		if quarantine.Own {
			detector.quarantines.add(QuarantineReport{Features: quarantine.Features}, quarantine.At, now)
		}
	}
	detector.records.add(change.Added, now)
	detector.records.end(change.Ended)
	detector.updateAt = detector.attribution.NextUpdate(now)
	return change
}

// notify logs and reports a change unless it is empty.
func (detector *CrashDetector) notify(change QuarantineChange) {
	if len(change.Added)+len(change.Ended) == 0 {
		return
	}
	for _, quarantine := range change.Added {
		detector.log(event.QuarantineStarted(), quarantine)
	}
	for _, quarantine := range change.Ended {
		detector.log(event.QuarantineEnded(), quarantine)
	}
	detector.options.OnQuarantine(change)
}

func (detector *CrashDetector) log(event event.Event, quarantine Quarantine) {
	texts := make([]string, len(quarantine.Features))
	for index, feature := range quarantine.Features {
		texts[index] = strconv.FormatUint(feature, 16)
	}
	detector.options.Logger.Log(event, logrus.Fields{
		"features": strings.Join(texts, ","), "age_ms": time.Since(quarantine.At).Milliseconds(),
	})
}

// dropStale removes the broken responses that are too old to be attributed to a
// crash.
func dropStale(responses []brokenResponse, now time.Time) []brokenResponse {
	return slices.DeleteFunc(responses, func(response brokenResponse) bool { return now.Sub(response.at) > crashConfirmWindow })
}
