package fleet

import "time"

// removedRetention is how long a removed server is remembered. It is longer than a copy
// from which the service is restored may be old.
const removedRetention = 5 * time.Minute

// removedServer is what is remembered of a server that was removed.
type removedServer struct {
	started   time.Time
	sequence  int64
	removedAt time.Time
}

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
	return ok && !server.Started.After(removed.started) && (!server.Started.Equal(removed.started) || server.Sequence <= removed.sequence)
}

// delete deletes a server and remembers its last registration. The mutex is held.
func (fleet *Fleet) delete(id string) {
	member, now := fleet.members[id], time.Now()
	delete(fleet.members, id)
	for other, removed := range fleet.removed {
		if now.Sub(removed.removedAt) > removedRetention {
			delete(fleet.removed, other)
		}
	}
	fleet.removed[id] = removedServer{started: member.Started, sequence: member.Sequence, removedAt: now}
}
