package ending

import (
	"slices"
	"time"
)

// seenCut is the newest cut at a place.
type seenCut struct {
	at time.Time
	// since is when cuts at the place began to count.
	since time.Time
	// id names the cut, and recent holds the IDs of the latest ones that are known.
	id     uint32
	recent []uint32
	// whole is the number of framed responses known to have ended whole since, needed how many clear the cut.
	whole, needed int
	// cleared: so many have.
	cleared bool
	// untold is how many of them the collecting host has not been told of, and isNewer that it has not
	// been told of the cut. whole is the number that this host has seen, unless it collects.
	untold  int
	isNewer bool
	// own: this host tells the others of the cut, or of its clearing.
	own bool
	// told is how often it was told, the last time at toldAt.
	told   int
	toldAt time.Time
	// announced is the cut that all hosts are told of, from announcedAt on.
	announced   uint32
	announcedAt time.Time
}

// counts reports whether the cut speaks against responses.
func (seen seenCut) counts(now time.Time) bool { return !seen.cleared && now.Sub(seen.at) < CutMemory }

// isRemembered reports whether the cut or its clearing matters.
func (seen seenCut) isRemembered(now time.Time) bool { return now.Sub(seen.at) < CutMemory }

// renewed returns what is known of a place after another cut there. If the last one was cleared, the
// cuts come again, more rarely than could be told.
func (seen seenCut) renewed(id uint32, at, now time.Time) seenCut {
	if !seen.isRemembered(now) {
		seen = seenCut{}
	}
	if seen.cleared {
		seen.needed *= 2
	}
	if seen.cleared || seen.since.IsZero() {
		seen.since = at
	}
	seen.needed = min(max(seen.needed, ClearingResponses), maxClearingResponses)
	seen.id, seen.at, seen.whole, seen.untold, seen.cleared = id, at, 0, 0, false
	seen.remember(id)
	return seen
}

// remember adds the ID of a cut.
func (seen *seenCut) remember(id uint32) {
	if slices.Contains(seen.recent, id) {
		return
	}
	kept := seen.recent[max(0, len(seen.recent)+1-maxRecentCuts):]
	seen.recent = append(slices.Clone(kept), id)
}

// announce makes all hosts be told of the newest cut.
func (seen *seenCut) announce(now time.Time) {
	seen.own, seen.told, seen.announced, seen.announcedAt = true, 0, seen.id, now
}

// merged returns what is known of a place after a report. What is older than the newest cut says nothing.
func (seen seenCut) merged(report CutReport, now time.Time) seenCut {
	seenAt := now.Add(-time.Duration(max(0, report.AgeMs)) * time.Millisecond)
	if !seen.isRemembered(now) {
		seen = seenCut{}
	}
	isNewer, isOlder := seen.isNewerCut(report, seenAt), seen.isOlderCut(report, seenAt)
	if isNewer && !report.Cleared {
		seen = seen.renewedByReport(report, seenAt, now)
		seen.whole = report.whole()
		return seen
	}
	seen.remember(report.ID)
	switch {
	case seen.cleared && report.Whole > 0:
		// The sender has missed that the cut was cleared.
		seen.told = min(seen.told, cutRepeats)
	case isOlder || seen.cleared || seen.at.IsZero():
	case report.Cleared:
		// Older cuts are cleared, too.
		seen.cleared, seen.own, seen.id = true, false, report.ID
	default:
		seen = seen.unitedWith(report, seenAt)
	}
	return seen
}

// unitedWith returns what is known of a place after a report of the same cut, or of another one at the same time.
// Hosts that know of two choose the same one.
func (seen seenCut) unitedWith(report CutReport, seenAt time.Time) seenCut {
	if report.ID == 0 && seenAt.After(seen.at) {
		seen.at = seenAt
	}
	seen.id = max(seen.id, report.ID)
	seen.whole += report.whole()
	return seen
}

// isOlderCut reports whether a report is of a cut that came before the newest known one, however late it arrives.
func (seen seenCut) isOlderCut(report CutReport, seenAt time.Time) bool {
	isKnown := report.ID != 0 && report.ID != seen.id && slices.Contains(seen.recent, report.ID)
	return isKnown || seenAt.Before(seen.at.Add(-cutSlack))
}

// isNewerCut reports whether a report is of a cut that came after the newest known one.
func (seen seenCut) isNewerCut(report CutReport, seenAt time.Time) bool {
	switch {
	case seen.at.IsZero():
		return true
	case report.ID == 0:
		return seenAt.After(seen.at.Add(unnamedSlack))
	}
	return !slices.Contains(seen.recent, report.ID) && seenAt.After(seen.at.Add(cutSlack))
}

// renewedByReport is renewed for a cut that another host has seen. If only the hosts that collect are told, and
// the others take the last cut for cleared, this host tells them.
func (seen seenCut) renewedByReport(report CutReport, seenAt, now time.Time) seenCut {
	wasCleared := seen.cleared
	// Of two hosts that see the same cut, the one that saw it first goes on telling it.
	isOwn := seen.own && !seen.cleared && seenAt.Sub(seen.at) < cutRefresh
	seen = seen.renewed(report.ID, seenAt, now)
	seen.own, seen.isNewer = isOwn, false
	switch {
	case wasCleared && report.ToCollector:
		seen.announce(now)
	case !report.ToCollector:
		seen.announced, seen.announcedAt = report.ID, seenAt
	}
	return seen
}

func (at Place) report(seen seenCut, now time.Time) CutReport {
	return CutReport{Service: at.Service, FailureDomain: at.FailureDomain, Plain: at.Plain, AgeMs: now.Sub(seen.at).Milliseconds(), Cleared: seen.cleared, ID: seen.id}
}
