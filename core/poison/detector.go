package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// crashConfirmWindow is the time after a broken response within which a failed
	// connection attempt confirms that the server has crashed.
	crashConfirmWindow = 3 * time.Second
	// sameCrashWindow is the maximum time between broken responses that are
	// attributed to the same crash.
	sameCrashWindow = 500 * time.Millisecond
	// maxBrokenResponses limits the broken responses kept for each server.
	maxBrokenResponses = 128
	// updateLifetime is the time for which a changed record is sent to other hosts.
	// It is sent repeatedly, so that a lost message doesn't matter.
	updateLifetime = 2 * time.Second
	// maxRecordsPerMessage limits the records in one message.
	maxRecordsPerMessage = 4
)

/*
CrashDetector detects crashes of servers from what a host observes: a response that
is cut off, followed shortly by a failed connection attempt to the same server.
Neither is sufficient alone, because servers also lose single responses, and also
crash for reasons other than a request.

A crash cuts off all of a server's responses at once. Each of their requests becomes
a suspect; a request that later completes on another server is cleared. A
CrashDetector is safe for concurrent use.
*/
type CrashDetector struct {
	registry *Registry
	mutex    sync.Mutex
	broken   map[string][]brokenResponse
	pending  []pendingUpdate
}

// brokenResponse is a response that a server cut off.
type brokenResponse struct {
	fingerprint uint64
	at          time.Time
}

// pendingUpdate is a changed record that is still sent to other hosts.
type pendingUpdate struct {
	record Record
	until  time.Time
}

// NewCrashDetector returns a detector that records crashes in the given registry.
func NewCrashDetector(registry *Registry) *CrashDetector {
	return &CrashDetector{registry: registry, broken: make(map[string][]brokenResponse)}
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

// ObserveBrokenResponse records that a server cut off the response to a request.
// It reports whether this is the first broken response of a possible crash. If so,
// the caller should try to connect to the server, to find out whether it crashed.
func (detector *CrashDetector) ObserveBrokenResponse(server string, fingerprint uint64, now time.Time) bool {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	responses := dropStale(detector.broken[server], now)
	first := len(responses) == 0 || now.Sub(responses[len(responses)-1].at) > sameCrashWindow
	responses = append(responses, brokenResponse{fingerprint, now})
	detector.broken[server] = responses[max(0, len(responses)-maxBrokenResponses):]
	return first
}

// ObserveConnectionFailure records that a server accepts no connections. The
// requests whose responses it cut off last become suspects. It returns their number.
func (detector *CrashDetector) ObserveConnectionFailure(server string, now time.Time) int {
	detector.mutex.Lock()
	responses := dropStale(detector.broken[server], now)
	delete(detector.broken, server)
	detector.mutex.Unlock()
	if len(responses) == 0 {
		return 0
	}
	crashTime := responses[len(responses)-1].at
	id := xxhash.Sum64String(server + crashTime.UTC().String())
	suspects := 0
	for _, response := range responses {
		if crashTime.Sub(response.at) <= sameCrashWindow {
			suspects++
			detector.queueUpdates(detector.registry.Crash(response.fingerprint, id), now)
		}
	}
	return suspects
}

// ObserveCompletion records that a request ran to completion, which clears it of the
// crashes recorded so far.
func (detector *CrashDetector) ObserveCompletion(fingerprint uint64, now time.Time) {
	if record, changed := detector.registry.Clear(fingerprint); changed {
		detector.queueUpdates([]Record{record}, now)
	}
}

// HasSuspects reports whether there are any suspects. If there are none, callers
// don't need to compute fingerprints.
func (detector *CrashDetector) HasSuspects() bool { return detector.registry.Size() > 0 }

// Verdict returns how a request with the given fingerprint may be run.
func (detector *CrashDetector) Verdict(fingerprint uint64) Verdict {
	return detector.registry.Verdict(fingerprint)
}

// PendingUpdates returns the records to send to other hosts now: the most recently
// changed ones, at most maxRecordsPerMessage.
func (detector *CrashDetector) PendingUpdates(now time.Time) []Record {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	detector.pending = slices.DeleteFunc(detector.pending, func(update pendingUpdate) bool { return now.After(update.until) })
	var records []Record
	for _, update := range detector.pending[max(0, len(detector.pending)-maxRecordsPerMessage):] {
		records = append(records, update.record)
	}
	return records
}

// ApplyUpdates merges records received from another host.
func (detector *CrashDetector) ApplyUpdates(records []Record) { detector.registry.Merge(records) }

// queueUpdates schedules changed records for sending. A newer copy replaces a queued
// one.
func (detector *CrashDetector) queueUpdates(records []Record, now time.Time) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	for _, record := range records {
		detector.pending = slices.DeleteFunc(detector.pending, func(update pendingUpdate) bool {
			return update.record.Fingerprint == record.Fingerprint
		})
		detector.pending = append(detector.pending, pendingUpdate{record, now.Add(updateLifetime)})
	}
}

// dropStale removes the broken responses that are too old to be attributed to a
// crash.
func dropStale(responses []brokenResponse, now time.Time) []brokenResponse {
	return slices.DeleteFunc(responses, func(response brokenResponse) bool { return now.Sub(response.at) > crashConfirmWindow })
}
