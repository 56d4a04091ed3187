package fleet

// DoubtProcess records that a connection to a server ended unexpectedly. Another process, which
// may be of another software version, may have taken its place under the same ID and address.
func (fleet *Fleet) DoubtProcess(id string) {
	fleet.update(id, func(member *Member) { member.InDoubt = true })
}

// ConfirmProcess records that the registered process of a server still runs.
func (fleet *Fleet) ConfirmProcess(server Server) {
	fleet.update(server.ID, func(member *Member) {
		if member.Started.Equal(server.Started) {
			member.InDoubt = false
		}
	})
}

// RecordReplaced records that another process than the registered one answers at the address of
// a server. The server gets no requests until it has registered again. It reports whether this
// was not known.
func (fleet *Fleet) RecordReplaced(server Server) bool {
	isNew := false
	fleet.update(server.ID, func(member *Member) {
		if member.Started.Equal(server.Started) {
			isNew = !member.Replaced
			member.Replaced = true
		}
	})
	return isNew
}

// RecordMute records that a server does not say which process it is. It is not asked again until
// another process registers.
func (fleet *Fleet) RecordMute(id string) {
	fleet.update(id, func(member *Member) { member.Mute = true })
}

// Mute reports whether a server does not say which process it is.
func (fleet *Fleet) Mute(id string) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	member := fleet.members[id]
	return member != nil && member.Mute
}

// InDoubt reports whether the registered process of a server may have been replaced.
func (fleet *Fleet) InDoubt(id string) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	member := fleet.members[id]
	return member != nil && member.InDoubt
}
