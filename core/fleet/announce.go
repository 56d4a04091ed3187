package fleet

import "time"

// announcementRetention is how long what a server's process has said of itself is kept after it was
// last said. It is longer than a leaving process runs.
const announcementRetention = 5 * time.Minute

const (
	// declineMemory is how long after its last refusal a server is less preferred.
	declineMemory = 2 * time.Second
	// declineRateAlpha is the weight of the newest response in the moving average of refusals.
	declineRateAlpha = 0.3
)

// announcement is what a process of a server has said of itself in its responses. It holds whatever
// the server's registration says, and outlives the registration.
type announcement struct {
	leaving   bool
	awayUntil time.Time
	// isAwayOwn is set if the process has told this host awayUntil, and not another host.
	isAwayOwn bool
	heardAt   time.Time
	// told holds the last statement of each other host that was applied to awayUntil.
	told []toldBy
}

// toldBy is a statement of another host.
type toldBy struct {
	host   string
	number int64
}

// RecordLeaving records that a server says in a response that it is leaving. It gets no requests any
// more, unless it starts again. It reports whether this was not known.
func (fleet *Fleet) RecordLeaving(server Server, now time.Time) bool {
	return fleet.announce(server, now, func(known *announcement) bool {
		isNew := !known.leaving
		known.leaving = true
		return isNew
	})
}

// RecordTurnedAway records that a server wants no requests of this host until a time, unless it
// starts again. It reports whether this is later than was known.
func (fleet *Fleet) RecordTurnedAway(server Server, until, now time.Time) bool {
	return fleet.announce(server, now, func(known *announcement) bool {
		isLater := until.After(known.awayUntil)
		if isLater {
			known.awayUntil, known.isAwayOwn = until, true
		}
		return isLater
	})
}

// announce changes what a server's process has said of itself to this host.
func (fleet *Fleet) announce(server Server, now time.Time, change func(*announcement) bool) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	process := server.ProcessHash()
	known := fleet.announcements[process]
	changed := change(&known)
	member := fleet.members[server.ID]
	if member != nil && member.ProcessHash() != process {
		member = nil
	}
	fleet.storeAnnouncement(process, known, member, now)
	if changed {
		fleet.queueAnnouncement(process, now)
	}
	return changed
}

// storeAnnouncement stores what a process has said of itself, and forgets what was said too long ago.
// Member is the server that is registered as the process, or nil. The mutex is held.
func (fleet *Fleet) storeAnnouncement(process uint64, known announcement, member *Member, now time.Time) {
	known.heardAt = now
	for other, old := range fleet.announcements {
		if now.Sub(old.heardAt) > announcementRetention {
			delete(fleet.announcements, other)
		}
	}
	fleet.announcements[process] = known
	if member != nil {
		member.announcement = known
	}
}

// AwayFor returns how long the server wants no requests of this host; 0: it wants them now.
func (member *Member) AwayFor(now time.Time) time.Duration {
	return max(0, member.announcement.awayUntil.Sub(now))
}

// RecordDeclined records that a server refused a request without running it.
func (fleet *Fleet) RecordDeclined(id string, now time.Time) {
	fleet.update(id, func(member *Member) {
		member.declineRate = member.DeclineRate(now)*(1-declineRateAlpha) + declineRateAlpha
		member.declinedAt = now
	})
}

// DeclineRate returns the share of requests that the server has refused lately. It falls to 0 within
// declineMemory, so that a server without requests is tried again.
func (member *Member) DeclineRate(now time.Time) float64 {
	age := now.Sub(member.declinedAt)
	if member.declinedAt.IsZero() || age >= declineMemory {
		return 0
	}
	return member.declineRate * (1 - float64(age)/float64(declineMemory))
}
