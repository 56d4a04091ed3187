package poison

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// unansweredWindow is the time after its end for which a request without a response is
	// kept as a possible cause of the end of its server. A server that goes dark is down for
	// up to 6 s, and its registration arrives some time later.
	unansweredWindow = 15 * time.Second
	// maxProcesses limits the processes of servers that are kept.
	maxProcesses = 4096
)

// processLife is what a host has seen of a server's process. A server that goes dark neither
// resets nor refuses connections: only the registration of its next process, or the removal of
// its own, shows that it has ended.
type processLife struct {
	// aliveAt is when the process last sent something, or 0.
	aliveAt time.Time
	// unanswered holds the requests that ended without a complete response since.
	unanswered []brokenResponse
	// endedAt is when the end of the process became known, or 0.
	endedAt time.Time
	// crashAt is the time of the crash that was reported, or 0.
	crashAt time.Time
	// seen is set if the crash itself was seen, so that later failures have other causes.
	seen bool
}

// ObserveAlive records that a process of a server sent something. Requests that had ended before
// are no longer kept.
func (detector *CrashDetector) ObserveAlive(process string, at time.Time) {
	detector.ObserveAnswer(process, time.Time{}, at)
}

// ObserveAnswer records that the process at the other end of a connection to a server sent something. It
// shows nothing of requests that were sent before the connection was opened: another process may have
// taken the server's address after them, unnoticed.
func (detector *CrashDetector) ObserveAnswer(process string, openedAt, at time.Time) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	life := detector.life(process, at)
	isOlder := func(response brokenResponse) bool { return response.sentAt.Before(openedAt) }
	if at.After(life.aliveAt) && !slices.ContainsFunc(life.unanswered, isOlder) {
		life.aliveAt = at
	}
	life.unanswered = slices.DeleteFunc(life.unanswered, func(response brokenResponse) bool {
		return !isOlder(response) && !response.at.After(at)
	})
}

// ObserveUnanswered records a request that ended without a complete response from a process, for
// whatever reason: its deadline passed, its caller left or the response was cut off.
func (detector *CrashDetector) ObserveUnanswered(process string, features []uint64, sentAt, now time.Time) {
	detector.mutex.Lock()
	change := detector.addUnanswered(process, brokenResponse{features: features, sentAt: sentAt, at: now}, now)
	detector.mutex.Unlock()
	detector.notify(change)
}

// addUnanswered implements ObserveUnanswered. The caller must hold the mutex.
func (detector *CrashDetector) addUnanswered(process string, response brokenResponse, now time.Time) QuarantineChange {
	life := detector.life(process, now)
	life.unanswered = append(life.dropOldUnanswered(now), response)
	life.unanswered = life.unanswered[max(0, len(life.unanswered)-maxRequestsPerCrash):]
	if life.endedAt.IsZero() || life.seen || now.Sub(life.endedAt) > unansweredWindow {
		return QuarantineChange{}
	}
	return detector.reportSilentCrash(process, life, now)
}

// ObserveProcessEnd records that a process of a server has ended without having been seen to
// leave: another one has registered in its place, or its registration has lapsed. The requests
// that it has not answered since it last sent something become suspects. It returns their number.
func (detector *CrashDetector) ObserveProcessEnd(process string, now time.Time) int {
	detector.mutex.Lock()
	suspects, change := detector.endProcess(process, now)
	detector.mutex.Unlock()
	detector.notify(change)
	return suspects
}

// endProcess implements ObserveProcessEnd. The caller must hold the mutex.
func (detector *CrashDetector) endProcess(process string, now time.Time) (int, QuarantineChange) {
	life := detector.life(process, now)
	if !life.endedAt.IsZero() {
		return 0, QuarantineChange{}
	}
	life.endedAt = now
	life.unanswered = life.dropOldUnanswered(now)
	if len(life.unanswered) == 0 {
		return 0, QuarantineChange{}
	}
	return len(life.unanswered), detector.reportSilentCrash(process, life, now)
}

// silentSince estimates when a process crashed that has sent nothing since: sameCrashWindow after
// the last sign of life and the first unanswered request. An estimate that is too early lets more
// requests count as sent after the crash, one that is too late hides crashes.
func (life *processLife) silentSince() time.Time {
	first := life.unanswered[0].sentAt
	for _, response := range life.unanswered {
		if response.sentAt.Before(first) {
			first = response.sentAt
		}
	}
	if life.aliveAt.After(first) {
		first = life.aliveAt
	}
	return first.Add(sameCrashWindow)
}

// reportSilentCrash adds the crash of a process that went silent, with its unanswered requests.
// The caller must hold the mutex.
func (detector *CrashDetector) reportSilentCrash(process string, life *processLife, now time.Time) QuarantineChange {
	if life.crashAt.IsZero() {
		life.crashAt = life.silentSince()
	}
	if life.crashAt.After(life.endedAt) {
		life.crashAt = life.endedAt
	}
	report := CrashReport{ID: xxhash.Sum64String(process), SilentFor: life.endedAt.Sub(life.crashAt)}
	features := 0
	for _, response := range life.unanswered {
		if features += len(response.features); features <= maxReportedFeatures {
			report.Requests = append(report.Requests, InFlightRequest{Features: response.features, SentBefore: life.crashAt.Sub(response.sentAt)})
		}
	}
	detector.crashes.add(report, life.crashAt, now)
	detector.attribution.addCrash(crashObservation{report: report, at: life.crashAt, own: true}, now)
	return detector.update(true, now)
}

// life returns what is known of a process. The caller must hold the mutex.
func (detector *CrashDetector) life(process string, now time.Time) *processLife {
	life := detector.lives[process]
	if life == nil {
		if len(detector.lives) >= maxProcesses {
			detector.forgetLives(now)
		}
		life = &processLife{}
		detector.lives[process] = life
	}
	return life
}

// forgetLives forgets the processes of which nothing was seen lately, or all of them if there
// are none. The caller must hold the mutex.
func (detector *CrashDetector) forgetLives(now time.Time) {
	for process, life := range detector.lives {
		life.unanswered = life.dropOldUnanswered(now)
		if len(life.unanswered) == 0 && now.Sub(life.aliveAt) > unansweredWindow {
			delete(detector.lives, process)
		}
	}
	if len(detector.lives) >= maxProcesses {
		clear(detector.lives)
	}
}

// dropOldUnanswered returns the unanswered requests that are not too old.
func (life *processLife) dropOldUnanswered(now time.Time) []brokenResponse {
	kept := life.unanswered[:0]
	for _, response := range life.unanswered {
		if now.Sub(response.at) <= unansweredWindow {
			kept = append(kept, response)
		}
	}
	return kept
}
