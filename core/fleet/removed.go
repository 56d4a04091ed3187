package fleet

import (
	"slices"
	"time"
)

// removedRetention is how long a removed server is remembered. It is longer than a copy
// from which the service is restored may be old, and than a stream lasts.
const removedRetention = 5 * time.Minute

// versionRetention is how long a version is remembered that no server has any more. It is longer than it
// is remembered where a stream began.
const versionRetention = 15 * time.Minute

// removedServer is the last registration of a server that was removed.
type removedServer struct {
	Server
	removedAt time.Time
}

// serviceVersion is a software version of a service's servers.
type serviceVersion struct{ service, version string }

// delete deletes a server and remembers its last registration. The mutex is held.
func (fleet *Fleet) delete(id string) {
	member, now := fleet.members[id], time.Now()
	delete(fleet.members, id)
	for other, removed := range fleet.removed {
		if now.Sub(removed.removedAt) > removedRetention {
			delete(fleet.removed, other)
		}
	}
	fleet.removed[id] = removedServer{Server: member.Server, removedAt: now}
	fleet.rememberVersion(member.Server, now)
}

// rememberVersion remembers that a server had its version until now. The mutex is held.
func (fleet *Fleet) rememberVersion(server Server, now time.Time) {
	for other, lastUsed := range fleet.pastVersions {
		if now.Sub(lastUsed) > versionRetention {
			delete(fleet.pastVersions, other)
		}
	}
	fleet.pastVersions[serviceVersion{server.Service, server.Version}] = now
}

// Versions returns the software versions of a service's servers, in order. It includes those
// of servers that were removed or replaced after since.
func (fleet *Fleet) Versions(service string, since time.Time) []string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	var versions []string
	for _, member := range fleet.byService[service] {
		versions = append(versions, member.Version)
	}
	for past, lastUsed := range fleet.pastVersions {
		if past.service == service && lastUsed.After(since) {
			versions = append(versions, past.version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// ServiceVersions returns the software versions of all servers by service.
func (fleet *Fleet) ServiceVersions() map[string][]string {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	versions := make(map[string][]string, len(fleet.byService))
	for service, members := range fleet.byService {
		for _, member := range members {
			if !slices.Contains(versions[service], member.Version) {
				versions[service] = append(versions[service], member.Version)
			}
		}
	}
	return versions
}

// Version returns the software version of a server, empty if it is unknown.
func (fleet *Fleet) Version(id string) string {
	return fleet.find(id).Version
}
