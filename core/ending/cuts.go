package ending

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// CutMemory is how long a cut counts after it was seen, unless it is cleared before.
	CutMemory = 10 * time.Minute
	// ClearingResponses is the number of responses with a length or chunks that must end whole after a cut
	// before it no longer counts. A device that cuts one in 50 responses shows another cut before that more often
	// than not. One that cuts fewer is found out as the number doubles with each cut that comes again.
	ClearingResponses = 50
	// maxClearingResponses limits the number after cuts that have come again.
	maxClearingResponses = ClearingResponses << 10
	// cutRefresh is the age from which on another cut at the same place is told to all hosts.
	cutRefresh = 30 * time.Second
	// cutRepeat is the time after which a cut is told again, for hosts that have missed it.
	cutRepeat = 5 * time.Second
	// quietTime is the age of the newest cut at which a host that collects tells all hosts of it, if they only
	// know of earlier ones.
	quietTime = time.Second
	// cutRepeats is how often a cut, or its clearing, is told again at the next rounds, as single datagrams are lost.
	cutRepeats = 2
	// cutSlack is the time between two cuts up to which the second one says no more than the first. Older builds
	// do not name cuts, and tell two of a place at least cutRefresh apart: what they tell within unnamedSlack is
	// the same cut, delayed.
	cutSlack     = 50 * time.Millisecond
	unnamedSlack = 5 * time.Second
	// maxRecentCuts is the number of cuts at a place of which a late report is recognized.
	maxRecentCuts = 16
	// maxSuspectTime limits how long a cut is suspected without a conclusion, and maxSuspects the number of
	// processes for which one is.
	maxSuspectTime = 5 * time.Second
	maxSuspects    = 1024
	// maxCuts limits the number of places that are remembered. The oldest one is forgotten first.
	maxCuts = 256
	// maxTold limits the number of cuts in one message.
	maxTold = 16
	// maxToldWhole limits the number of whole responses that one report tells.
	maxToldWhole = 10_000
	// maxNameBytes limits the names in a cut that another host tells.
	maxNameBytes = 256
)

// Place is where cuts are seen: in the streams, or in the other responses, of a service's servers in a failure
// domain. What cuts long streams need not show in short responses.
type Place struct {
	Service, FailureDomain string
	// Plain: the cut response was no stream.
	Plain bool
}

/*
Cuts remembers where connections were closed in order within responses, as seen by all hosts. A
process that ends cuts its responses, too, which says nothing of others: a cut counts once its
process is known to run.

A cut alone does not say how often responses are cut. Responses with a length or chunks that end whole after
it do: a device or server that goes on cutting would have cut one of them. Each host tells those that it has
seen, and further cuts, to hosts that collect them, until there are enough at the hosts together. Each time
that a cut comes again after that, twice as many are needed. Cuts is safe for concurrent use.
*/
type Cuts struct {
	mutex  sync.Mutex
	places map[Place]seenCut
	// collects: this host decides when a cut is cleared.
	collects bool
	// suspects holds, by process, the cuts of which it is not known yet whether the process has ended.
	suspects map[string]suspectedCut
}

// suspectedCut is a cut whose process may have ended.
type suspectedCut struct {
	place Place
	at    time.Time
}

// NewCuts returns Cuts without any, of a host that collects.
func NewCuts() *Cuts {
	return &Cuts{places: map[Place]seenCut{}, collects: true, suspects: map[string]suspectedCut{}}
}

// SetCollects sets whether this host decides when a cut is cleared. One that begins to has not heard what
// the others have seen so far.
func (cuts *Cuts) SetCollects(collects bool) {
	cuts.mutex.Lock()
	defer cuts.mutex.Unlock()
	if collects && !cuts.collects {
		for at, seen := range cuts.places {
			seen.whole = 0
			cuts.places[at] = seen
		}
	}
	cuts.collects = collects
}

// Suspect records a cut by a process, named by a key of the caller's, that may have ended. It reports
// whether that is to be found out: it may be under way already.
func (cuts *Cuts) Suspect(at Place, process string, now time.Time) bool {
	cuts.mutex.Lock()
	defer cuts.mutex.Unlock()
	suspect, isSuspected := cuts.suspects[process]
	switch {
	case isSuspected && now.Sub(suspect.at) < maxSuspectTime:
		return false
	case !isSuspected && len(cuts.suspects) >= maxSuspects:
		return false
	}
	cuts.suspects[process] = suspectedCut{at, now}
	return true
}

// Any reports whether any cut counts.
func (cuts *Cuts) Any(now time.Time) bool {
	cuts.mutex.Lock()
	defer cuts.mutex.Unlock()
	for _, seen := range cuts.places {
		if seen.counts(now) {
			return true
		}
	}
	return false
}

// CountsAt reports whether a cut at a place counts.
func (cuts *Cuts) CountsAt(at Place, now time.Time) bool {
	cuts.mutex.Lock()
	defer cuts.mutex.Unlock()
	return cuts.places[at].counts(now)
}

// Clear ends the suspicion of a cut whose process has ended.
func (cuts *Cuts) Clear(process string) {
	cuts.mutex.Lock()
	defer cuts.mutex.Unlock()
	delete(cuts.suspects, process)
}

// Confirm is Record for a suspected cut whose process runs.
func (cuts *Cuts) Confirm(at Place, process string, now time.Time) (isNews bool) {
	cuts.Clear(process)
	return cuts.Record(at, now)
}

// Record records a cut that this host has seen. It reports whether the other hosts are to be told at
// once.
func (cuts *Cuts) Record(at Place, now time.Time) (isNews bool) {
	cuts.mutex.Lock()
	defer cuts.mutex.Unlock()
	known := cuts.places[at]
	isNews = !known.counts(now) || now.Sub(known.announcedAt) >= cutRefresh
	seen := known.renewed(1+rand.Uint32N(math.MaxUint32), now, now)
	seen.isNewer = true
	if isNews {
		seen.announce(now)
	}
	cuts.put(at, seen, now)
	return isNews
}

// RecordWhole records that a framed response of a service has ended whole at this host. It reports whether a
// cut is cleared by that.
func (cuts *Cuts) RecordWhole(service string, isStream bool, now time.Time) (isCleared bool) {
	cuts.mutex.Lock()
	defer cuts.mutex.Unlock()
	for at, seen := range cuts.places {
		if at.Service != service || !at.Plain && !isStream || !seen.counts(now) {
			continue
		}
		seen.untold++
		seen.whole++
		seen = cuts.cleared(seen)
		isCleared = isCleared || seen.cleared
		cuts.places[at] = seen
	}
	return isCleared
}

// cleared returns what is known of a place, cleared if this host decides so.
func (cuts *Cuts) cleared(seen seenCut) seenCut {
	if cuts.collects && !seen.cleared && seen.whole >= seen.needed {
		seen.cleared, seen.own, seen.told = true, true, 0
	}
	return seen
}

// TakeCounts returns what the host that collects is to be told: newer cuts, and how many framed responses have
// ended whole.
func (cuts *Cuts) TakeCounts(now time.Time) [][]CutReport {
	cuts.mutex.Lock()
	defer cuts.mutex.Unlock()
	var counts []CutReport
	for at, seen := range cuts.places {
		if !seen.counts(now) || seen.untold == 0 && !seen.isNewer {
			continue
		}
		report := at.report(seen, now)
		report.Whole, report.ToCollector = min(seen.untold, maxToldWhole), true
		seen.untold, seen.isNewer = 0, false
		cuts.places[at] = seen
		counts = append(counts, report)
	}
	return slices.Collect(slices.Chunk(counts, maxTold))
}

// MayClear reports whether the cuts that count for responses (Status) may be cleared soon: they have not
// counted for long and not come again, and framed responses have ended whole since.
func (cuts *Cuts) MayClear(service, failureDomain string, isFramed bool, now time.Time) bool {
	cuts.mutex.Lock()
	defer cuts.mutex.Unlock()
	for at, seen := range cuts.places {
		if !at.countsFor(service, failureDomain, isFramed) || !seen.counts(now) {
			continue
		}
		if now.Sub(seen.since) >= maxClearingTime || seen.at.Sub(seen.since) >= sameFaultTime || seen.whole == 0 {
			return false
		}
	}
	return true
}

const (
	// maxClearingTime is how long after cuts began to count they are expected to be cleared soon.
	maxClearingTime = 10 * time.Second
	// sameFaultTime is the time from the first cut in which others may have the same cause: a device that
	// restarts cuts all of its connections at once.
	sameFaultTime = 500 * time.Millisecond
)

// countsFor reports whether cuts at the place count for responses of a service's servers in a failure domain.
func (at Place) countsFor(service, failureDomain string, isFramed bool) bool {
	return at.Service == service || !isFramed && at.FailureDomain == failureDomain
}

// Status says what is known of cuts that count for a response.
type Status int

// The statuses.
const (
	// Unseen: no cuts are known.
	Unseen Status = iota
	// Suspected: a response was cut, and it is not known yet whether its process has ended.
	Suspected
	// Seen: cuts are known.
	Seen
)

// Status says what is known of cuts that count for responses of a service's servers in a failure
// domain: those of that service anywhere or, if the service does not show cuts as it does not frame,
// those of any service in the failure domain.
func (cuts *Cuts) Status(service, failureDomain string, isFramed bool, now time.Time) Status {
	cuts.mutex.Lock()
	defer cuts.mutex.Unlock()
	for at, seen := range cuts.places {
		if at.countsFor(service, failureDomain, isFramed) && seen.counts(now) {
			return Seen
		}
	}
	for _, suspect := range cuts.suspects {
		if suspect.place.countsFor(service, failureDomain, isFramed) && now.Sub(suspect.at) < maxSuspectTime {
			return Suspected
		}
	}
	return Unseen
}

// Known reports whether cuts are known that count for such responses.
func (cuts *Cuts) Known(service, failureDomain string, isFramed bool, now time.Time) bool {
	return cuts.Status(service, failureDomain, isFramed, now) == Seen
}

// TakeDue returns what the other hosts are to be told now, in messages.
func (cuts *Cuts) TakeDue(now time.Time) [][]CutReport {
	cuts.mutex.Lock()
	defer cuts.mutex.Unlock()
	var due []CutReport
	for at, seen := range cuts.places {
		if cuts.collects && seen.counts(now) && seen.announced != seen.id && now.Sub(seen.at) >= quietTime {
			// What hosts count that do not know of a cut says nothing.
			seen.announce(now)
		}
		isRepeated := seen.told > cutRepeats && (seen.cleared || now.Sub(seen.toldAt) < cutRepeat)
		if !seen.own || !seen.isRemembered(now) || isRepeated {
			continue
		}
		seen.told, seen.toldAt = seen.told+1, now
		cuts.places[at] = seen
		due = append(due, at.report(seen, now))
	}
	return slices.Collect(slices.Chunk(due, maxTold))
}

// Newest returns the newest cuts that count, for a host that starts, at most as many as a message holds.
func (cuts *Cuts) Newest(now time.Time) []CutReport {
	cuts.mutex.Lock()
	defer cuts.mutex.Unlock()
	var newest []CutReport
	for at, seen := range cuts.places {
		if seen.counts(now) {
			newest = append(newest, at.report(seen, now))
		}
	}
	slices.SortFunc(newest, func(a, b CutReport) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	return newest[:min(len(newest), maxTold)]
}

// CutChange is the number of places at which a cut counts that did not before, and that of those at which one
// was cleared.
type CutChange struct{ Added, Cleared int }

// Apply takes what another host tells.
func (cuts *Cuts) Apply(told []CutReport, now time.Time) (change CutChange) {
	cuts.mutex.Lock()
	defer cuts.mutex.Unlock()
	for _, report := range told {
		if report.AgeMs >= CutMemory.Milliseconds() || len(report.Service) > maxNameBytes || len(report.FailureDomain) > maxNameBytes {
			continue
		}
		before := cuts.places[report.place()]
		after := cuts.cleared(before.merged(report, now))
		switch {
		case after.counts(now) && !before.counts(now):
			change.Added++
		case !after.counts(now) && before.counts(now):
			change.Cleared++
		}
		if !after.at.IsZero() {
			cuts.put(report.place(), after, now)
		}
	}
	return change
}

// put remembers a cut. The mutex is held.
func (cuts *Cuts) put(at Place, seen seenCut, now time.Time) {
	if _, found := cuts.places[at]; !found && len(cuts.places) >= maxCuts {
		cuts.forget(now)
	}
	cuts.places[at] = seen
}

// forget removes the cuts that do not matter any more, and else the oldest one. The mutex is held.
func (cuts *Cuts) forget(now time.Time) {
	var oldest Place
	oldestAt := now
	for at, seen := range cuts.places {
		if !seen.isRemembered(now) {
			delete(cuts.places, at)
		} else if !seen.at.After(oldestAt) {
			oldest, oldestAt = at, seen.at
		}
	}
	if len(cuts.places) >= maxCuts {
		delete(cuts.places, oldest)
	}
}
