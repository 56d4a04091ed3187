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

/*
findOrigin finds where a stream began that the caller takes up, so that it goes on at the same
version of the servers' software only. It refuses the request if that is not known.

Other hosts are asked only if it makes a difference: if servers of several versions were in the
service since the stream may have begun, or if this host has not run for so long.
*/
func (call *call) findOrigin() *refusal {
	if call.events.lastID == "" {
		return nil
	}
	options, now := call.handler.options, time.Now()
	found, known := options.Origins.LookUp(call.info.Resumes, now)
	source := "known"
	oldest := now.Add(-cmp.Or(call.work.Route.Timeout, defaultTimeout))
	versions := options.Fleet.Versions(call.work.Service, oldest)
	isOnly := len(versions) == 1
	if !known && call.info.Resumes != "" && (!isOnly || call.handler.startedAt.After(oldest)) {
		found, known = options.Origins.Ask(call.ctx, call.info.Resumes, options.AskOrigin)
		source = "asked"
	}
	if !known && isOnly {
		found, known, source = origin.Origin{Service: call.work.Service, Version: versions[0]}, true, "only_version"
		call.tellOrigin(call.info.Resumes, found)
	}
	if !known {
		return &refusal{status: http.StatusServiceUnavailable, reason: "unknown_origin", retryAfter: unknownOriginRetryAfter}
	}
	call.origin, call.work.TakenUp = &found, true
	call.work.Service = call.pickService(call.work.Route)
	call.log(event.StreamTakenUp(), logrus.Fields{
		"resumes": call.info.Resumes, "from_event": call.events.lastID, "service": found.Service, "server_version": found.Version, "source": source,
	})
	return nil
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
