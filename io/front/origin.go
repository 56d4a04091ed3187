package front

import (
	"cmp"
	"maps"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fleet"
	"primrosegw/core/origin"
)

// unknownOriginRetryAfter is the Retry-After for a stream that cannot go on here, because it is
// not known where it began.
const unknownOriginRetryAfter = 300 * time.Millisecond

// originSource is how a host found out where a stream began.
type originSource string

const (
	// knownOrigin: this host began the stream, or another one had told it.
	knownOrigin originSource = "known"
	// askedOrigin: another host answered.
	askedOrigin originSource = "asked"
	// onlyVersion: no other version can have begun the stream.
	onlyVersion originSource = "only_version"
)

// findOrigin finds where a stream began that the caller takes up, so that it goes on at the same
// version of the servers' software only. It refuses the request if that is not known.
func (call *call) findOrigin() *refusal {
	if call.events.lastID == "" {
		return nil
	}
	found, source := call.lookUpOrigin(time.Now())
	if source == "" {
		return &refusal{status: http.StatusServiceUnavailable, reason: "unknown_origin", retryAfter: unknownOriginRetryAfter}
	}
	call.origin, call.work.TakenUp = &found, true
	call.work.Service = call.pickService(call.work.Route)
	call.log(event.StreamTakenUp(), logrus.Fields{
		"resumes": call.info.Resumes, "from_event": call.events.lastID, "service": found.Service, "server_version": found.Version, "source": source,
	})
	return nil
}

/*
lookUpOrigin returns where the stream began that the caller takes up. The source is empty if
that is not known.

Other hosts are asked only if it makes a difference: if servers of several versions were in the
service since the stream may have begun, or if this host has not run for so long.
*/
func (call *call) lookUpOrigin(now time.Time) (origin.Origin, originSource) {
	options, began := call.handler.options, call.info.Resumes
	if found, known := options.Origins.LookUp(began, now); known && began != "" {
		return found, knownOrigin
	}
	oldest := now.Add(-cmp.Or(call.work.Route.Timeout, defaultTimeout))
	versions := options.Fleet.Versions(call.work.Service, oldest)
	isOnly := len(versions) == 1
	if began != "" && (!isOnly || call.handler.startedAt.After(oldest)) {
		if found, known := options.Origins.Ask(call.ctx, began, options.AskOrigin); known {
			return found, askedOrigin
		}
	}
	if !isOnly {
		return origin.Origin{}, ""
	}
	found := origin.Origin{Service: call.work.Service, Version: versions[0]}
	if began != "" {
		call.tellOrigin(began, found)
	}
	return found, onlyVersion
}

// recordOrigin records where the stream began that the server sends, and tells the other hosts.
func (call *call) recordOrigin(server fleet.Server) {
	if call.origin != nil || !call.work.Route.Resumable {
		return
	}
	call.origin = &origin.Origin{Service: server.Service, Version: server.Version}
	call.tellOrigin(call.work.ID, *call.origin)
}

// tellOrigin records where the stream began whose first event the request with the given ID
// brought, for as long as the caller waits.
func (call *call) tellOrigin(requestID string, began origin.Origin) {
	waits := call.work.Received.Add(max(call.info.Timeout, call.work.Deadline.Sub(call.work.Received)))
	call.handler.options.Origins.Record(requestID, began, waits, time.Now())
}

// mayServe reports whether a server of a service and version may send events of the stream.
func (call *call) mayServe(service, version string) bool {
	return call.origin == nil || *call.origin == origin.Origin{Service: service, Version: version}
}

// keepsVersion reports whether a server that may serve the stream still has its version.
func (call *call) keepsVersion(serverID string) bool {
	return call.origin == nil || call.handler.options.Fleet.Version(serverID) == call.origin.Version
}

// excluded returns the IDs of the members that may not get the request: those that were tried,
// and those that may not send events of the stream.
func (call *call) excluded(members []fleet.Member) map[string]bool {
	if call.origin == nil {
		return call.tried
	}
	excluded := maps.Clone(call.tried)
	for index := range members {
		if !call.mayServe(members[index].Service, members[index].Version) {
			excluded[members[index].ID] = true
		}
	}
	return excluded
}
