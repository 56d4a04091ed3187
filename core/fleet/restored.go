package fleet

// PutRestored is Put for a registration that was listed after the service had been restored
// from a copy. A registration that may be older than what is known of the server is
// ignored: a server that is leaving or removed must not come back by it.
func (fleet *Fleet) PutRestored(server Server) PutResult {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.isOutdated(server) {
		return PutResult{}
	}
	return fleet.put(server)
}

// isOutdated reports whether a later registration of the server is known. The mutex is held.
func (fleet *Fleet) isOutdated(server Server) bool {
	if known := fleet.members[server.ID]; known != nil {
		return server.Started.Before(known.Started) || server.Started.Equal(known.Started) && server.Sequence < known.Sequence
	}
	removed, ok := fleet.removed[server.ID]
	return ok && !server.Started.After(removed.Started) && (!server.Started.Equal(removed.Started) || server.Sequence <= removed.Sequence)
}
