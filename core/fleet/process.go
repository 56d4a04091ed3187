package fleet

import "time"

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
	fleet.updateProcess(server, func(member *Member) { member.Mute = true })
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

// Mute reports whether a server does not say which process it is.
func (fleet *Fleet) Mute(id string) bool { return fleet.find(id).Mute }

// InDoubt reports whether the registered process of a server may have been replaced.
func (fleet *Fleet) InDoubt(id string) bool { return fleet.find(id).InDoubt }

// LiveProcess returns the registered process of a server. It reports false if the server is
// unknown, leaving, or of unknown age.
func (fleet *Fleet) LiveProcess(id string) (Server, bool) {
	member := fleet.find(id)
	return member.Server, !member.Started.IsZero() && !member.Leaving && !member.announcement.leaving
}
