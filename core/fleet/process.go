package fleet

import "time"

const (
	// minFailedReports and minFailingTime are how many failures in a row, and over what time, show that
	// a server can't say which process it is. The registration of another process at its address arrives
	// within that time.
	minFailedReports = 5
	minFailingTime   = 2 * time.Second
	// minClosedReports is how many reports in a row must have closed their connections until a server
	// counts as one that does not say which process is at the other end of a connection.
	minClosedReports = 2
	// muteTime is how long a server that could not say which process it is is not asked again.
	muteTime = 30 * time.Second
)

// silence is what is known of how a server fails to say which process it is.
type silence struct {
	// isMute: it does not say so at all.
	isMute bool
	// failed counts its failures in a row, of which the first was at failingSince.
	failed       int
	failingSince time.Time
	// closed counts its reports in a row after which the connection could not be used.
	closed int
	// mutedUntil is until when it is not asked.
	mutedUntil time.Time
}

// DoubtProcess records that a connection to a server ended unexpectedly. Another process, which
// may be of another software version, may have taken its place under the same ID and address.
func (fleet *Fleet) DoubtProcess(id string, now time.Time) {
	fleet.update(id, func(member *Member) {
		member.InDoubt = true
		if now.After(member.doubtedAt) {
			member.doubtedAt = now
		}
	})
}

// ConfirmProcess records that the registered process of a server has answered a question that
// was asked at a time. The answer says nothing of what happened after it was asked.
func (fleet *Fleet) ConfirmProcess(server Server, askedAt time.Time) {
	fleet.updateProcess(server, func(member *Member) {
		if askedAt.After(member.doubtedAt) {
			member.InDoubt = false
		}
		member.silence.failed = 0
	})
}

// RecordReplaced records that another process than the registered one answers at the address of
// a server. The server gets no requests until it has registered again. It reports whether this
// was not known.
func (fleet *Fleet) RecordReplaced(server Server) bool {
	isNew := false
	fleet.updateProcess(server, func(member *Member) {
		isNew = !member.Replaced
		member.Replaced = true
	})
	return isNew
}

// RecordMute records that a server does not say which process it is. It is not asked again until
// another process registers.
func (fleet *Fleet) RecordMute(server Server) {
	fleet.updateProcess(server, func(member *Member) { member.silence.isMute = true })
}

// RecordFailedReport records that a server has answered the question which process it is with a
// failure. One that always does is not asked for muteTime at a time.
func (fleet *Fleet) RecordFailedReport(server Server, now time.Time) {
	fleet.updateProcess(server, func(member *Member) {
		silence := &member.silence
		if silence.failed == 0 {
			silence.failingSince = now
		}
		silence.failed++
		if silence.failed >= minFailedReports && now.Sub(silence.failingSince) >= minFailingTime {
			silence.mutedUntil = now.Add(muteTime)
		}
	})
}

// RecordReport records whether the connection can be used on which a server said which process it is.
// A server that always closes it is not asked for muteTime at a time.
func (fleet *Fleet) RecordReport(server Server, reusable bool, now time.Time) {
	fleet.updateProcess(server, func(member *Member) {
		if reusable {
			member.silence = silence{}
			return
		}
		member.silence.closed++
		if member.silence.closed >= minClosedReports {
			member.silence.mutedUntil = now.Add(muteTime)
		}
	})
}

// updateProcess is update for a server that is still registered as the same process.
func (fleet *Fleet) updateProcess(server Server, change func(*Member)) {
	fleet.update(server.ID, func(member *Member) {
		if member.Started.Equal(server.Started) {
			change(member)
		}
	})
}

// RegisteredSince returns since when this host has known the process of a registration with its
// version. It reports false if that is not the registered one any more.
func (fleet *Fleet) RegisteredSince(server Server) (time.Time, bool) {
	member := fleet.find(server.ID)
	isSame := member.Started.Equal(server.Started) && member.Address == server.Address && member.Version == server.Version
	return member.registeredAt, isSame && member.ID != "" && !member.Replaced
}

// TookOver returns when the process of a registration replaced another one of its ID; zero if this host
// knows of no other one.
func (fleet *Fleet) TookOver(server Server) time.Time { return fleet.find(server.ID).tookOverAt }

// Mute reports whether a server does not say which process it is.
func (fleet *Fleet) Mute(id string, now time.Time) bool {
	silence := fleet.find(id).silence
	return silence.isMute || now.Before(silence.mutedUntil)
}

// InDoubt reports whether the registered process of a server may have been replaced.
func (fleet *Fleet) InDoubt(id string) bool { return fleet.find(id).InDoubt }

// LiveProcess returns the registered process of a server. It reports false if the server is
// unknown, leaving, or of unknown age.
func (fleet *Fleet) LiveProcess(id string) (Server, bool) {
	member := fleet.find(id)
	return member.Server, !member.Started.IsZero() && !member.Leaving && !member.announcement.leaving
}

// UsableProcess returns the registration of a process of a server. It reports false if that is not the
// registered one, or gets no requests of any host.
func (fleet *Fleet) UsableProcess(id string, started, now time.Time) (Server, bool) {
	member := fleet.find(id)
	return member.Server, member.ID != "" && member.Started.Equal(started) && member.usable(now)
}
