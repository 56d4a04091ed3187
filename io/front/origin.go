package front

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fleet"
	"primrosegw/core/origin"
)

const (
	// unknownOriginRetryAfter is the Retry-After for a stream that cannot go on here, because it
	// is not known where it began.
	unknownOriginRetryAfter = 300 * time.Millisecond
	// maxStreamAge is how long ago a stream that a caller takes up may have begun, unless the
	// timeout of its route is longer: a caller may have waited for several attempts.
	maxStreamAge = time.Minute
	// versionMemory is for how long a version that no server has any more counts as one at which a stream may
	// have begun: a host that is cut off from the store begins streams at servers that were removed.
	versionMemory = 15 * time.Minute
)

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
	now := time.Now()
	switch {
	case call.asksForRest():
		return call.keepOnlyVersion(now)
	case call.events.lastID == "":
		return nil
	}
	found, source := call.lookUpOrigin(now)
	if source == "" {
		if call.isAmbiguous() {
			return ambiguousOrigin()
		}
		versions, _ := call.possibleVersions(now)
		return unknownOrigin(versions)
	}
	call.handler.options.Origins.Extend(call.work.Workspace, call.info.Resumes, call.callerWaits(), now)
	call.origin, call.work.TakenUp = &found, true
	call.work.Service = call.pickService(call.work.Route)
	call.log(event.StreamTakenUp(), logrus.Fields{
		"resumes": call.info.Resumes, "from_event": call.events.lastID, "service": found.Service, "server_version": found.Version, "source": source,
		"copy_age_ms": call.handler.copyAge(time.Now()).Milliseconds(),
	})
	return nil
}

// copyAge returns how old the host's copy of the servers' registrations may be, or -1 ms if that is not known.
func (handler *Handler) copyAge(now time.Time) time.Duration {
	asOf := handler.options.Registrations.CurrentAsOf()
	if asOf.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(asOf)
}

// unknownOrigin returns the refusal of a request that goes on with a stream of one of several versions.
func unknownOrigin(versions []string) *refusal {
	detail := "it may have begun at any of the versions " + strings.Join(versions, ", ")
	return &refusal{status: http.StatusServiceUnavailable, reason: "unknown_origin", detail: detail, retryAfter: unknownOriginRetryAfter}
}

// ambiguousOrigin returns the refusal of a request that goes on with one of several streams with the same ID.
func ambiguousOrigin() *refusal {
	detail := "streams of several versions have the ID of the request that began it"
	return &refusal{status: http.StatusServiceUnavailable, reason: "unknown_origin", detail: detail, retryAfter: unknownOriginRetryAfter}
}

// asksForRest reports whether the caller asks an engine for the rest of a stream on a route without
// resumption. The header is passed on, and the engine may follow it.
func (call *call) asksForRest() bool {
	service, ok := call.table.Service(call.work.Service)
	return call.events.lastID == "" && call.info.LastEventID != "" && !call.work.Route.Resumable && ok && service.Engine != nil
}

// goesOn reports whether the response may be the rest of a stream.
func (call *call) goesOn() bool { return call.events.lastID != "" || call.asksForRest() }

// keepOnlyVersion keeps a request for the rest of a stream at the only version at which that can have
// begun. If there are several, it refuses the request: hosts don't know where streams began that may not
// be resumed.
func (call *call) keepOnlyVersion(now time.Time) *refusal {
	version, isOnly := call.onlyVersion()
	if !isOnly || !call.isOnlyService() {
		versions, _ := call.possibleVersions(now)
		return unknownOrigin(versions)
	}
	call.origin = &origin.Origin{Service: call.work.Service, Version: version}
	return nil
}

/*
lookUpOrigin returns where the stream began that the caller takes up. The source is empty if
that is not known.

What this host knows of the servers' versions is as old as its copy of the registrations. So the other
hosts are asked first: the one that began the stream knows better. Only if none knows does it
count that the stream can have begun at one version only.
*/
func (call *call) lookUpOrigin(now time.Time) (origin.Origin, originSource) {
	options, workspace, began := call.handler.options, call.work.Workspace, call.info.Resumes
	if began != "" {
		if found, known := options.Origins.LookUp(workspace, began, now); known {
			return found, knownOrigin
		}
		if found, known := call.askOrigin(now); known {
			return found, askedOrigin
		}
		if call.isAmbiguous() {
			return origin.Origin{}, ""
		}
	}
	version, isOnly := call.onlyVersion()
	if !isOnly || !call.isOnlyService() {
		return origin.Origin{}, ""
	}
	found := origin.Origin{Service: call.work.Service, Version: version}
	if began == "" {
		return found, onlyVersion
	}
	if told, known := options.Origins.Conclude(workspace, began, found, call.callerWaits(), time.Now()); known {
		return told, askedOrigin
	}
	if call.isAmbiguous() {
		return origin.Origin{}, ""
	}
	return found, onlyVersion
}

// askOrigin asks the other hosts where the stream began, unless its name is ambiguous already.
func (call *call) askOrigin(now time.Time) (origin.Origin, bool) {
	if call.isAmbiguous() {
		return origin.Origin{}, false
	}
	options := call.handler.options
	return options.Origins.Ask(call.ctx, call.work.Workspace, call.info.Resumes, call.originPatience(now), options.AskOrigin)
}

// isAmbiguous reports whether streams of different origins have the ID that the caller names. Neither is taken
// up, because the rest of one does not fit to the other.
func (call *call) isAmbiguous() bool {
	return call.handler.options.Origins.IsAmbiguous(call.work.Workspace, call.info.Resumes, time.Now())
}

const (
	// currencyPatience is how long a request waits for a copy of the registrations that is recent enough,
	// and currencyPoll how often it looks.
	currencyPatience = 400 * time.Millisecond
	currencyPoll     = 5 * time.Millisecond
)

/*
onlyVersion returns the version at which the stream must have begun. It reports false if there are
several, or if this host can't know: the stream began before the request came, at a server that had
registered, so the copy of the registrations must be as recent as the request.
*/
func (call *call) onlyVersion() (string, bool) {
	if _, isSingle := call.singleVersion(time.Now()); !isSingle || !call.awaitCurrentCopy() {
		return "", false
	}
	return call.singleVersion(time.Now())
}

// singleVersion returns the one version that this host knows, however old its copy of the registrations is.
func (call *call) singleVersion(now time.Time) (string, bool) {
	versions, complete := call.possibleVersions(now)
	if !complete || len(versions) != 1 {
		return "", false
	}
	return versions[0], true
}

// isOnlyService reports whether the stream can only have begun at the service of the request. A route to
// several services draws one by the ID of the first attempt, which the caller may not have named, and its
// requests may have led elsewhere before.
func (call *call) isOnlyService() bool {
	isOther := func(service string) bool { return service != call.work.Service }
	if call.info.Resumes == "" && slices.ContainsFunc(call.work.Route.Services(), isOther) {
		return false
	}
	past := call.handler.options.Table.PastServices(call.request.Host, call.path(), oldestStream(call.work.Route.Timeout, time.Now()))
	return !slices.ContainsFunc(past, isOther)
}

// oldestStream returns when a stream of a route with the given timeout that still goes on began at the
// earliest.
func oldestStream(timeout time.Duration, now time.Time) time.Time {
	return now.Add(-max(timeout, maxStreamAge))
}

// awaitCurrentCopy waits until the copy of the registrations is complete as of the request's arrival,
// and reports whether it is.
func (call *call) awaitCurrentCopy() bool {
	registrations, giveUpAt := call.handler.options.Registrations, time.Now().Add(currencyPatience)
	for registrations.CurrentAsOf().Before(call.work.Received) {
		if time.Now().After(giveUpAt) || call.ctx.Err() != nil {
			return false
		}
		registrations.Refresh()
		time.Sleep(currencyPoll)
	}
	return true
}

// possibleVersions returns the versions of the servers at which the stream may have begun, and
// whether these are all.
func (call *call) possibleVersions(now time.Time) (versions []string, complete bool) {
	return call.handler.possibleVersions(call.work.Service, call.work.Route.Timeout, now)
}

// possibleVersions returns the versions of the servers of a service at which a stream of a route with
// the given timeout may have begun, and whether these are all. Servers may have left before this host
// started, or while it did not hear of changes, so the recorded versions count, too.
func (handler *Handler) possibleVersions(service string, timeout time.Duration, now time.Time) (versions []string, complete bool) {
	recorded := handler.options.VersionRecords.Versions(service)
	versions = append(handler.options.Fleet.Versions(service, now.Add(-max(timeout, versionMemory))), recorded...)
	slices.Sort(versions)
	return slices.Compact(versions), len(recorded) > 0 || handler.startedAt.Before(oldestStream(timeout, now))
}

// callerWaits returns until when the caller waits for the stream.
func (call *call) callerWaits() time.Time {
	return call.work.Received.Add(max(call.info.Timeout, call.work.Deadline.Sub(call.work.Received)))
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
