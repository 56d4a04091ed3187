package event

import "github.com/sirupsen/logrus"

// EntryEvents returns the events of an entry host: its lifecycle, client requests,
// routing and the applied document.
func EntryEvents() []Event {
	return []Event{
		HostStarted(),
		HostDraining(),
		HostStopped(),
		HostReloaded(),
		ReloadFailed(),
		HostAborted(),
		HostIsolated(), HostReconnected(),
		RequestReceived(),
		RequestDone(),
		RequestRefused(),
		CallerGone(),
		RouteChosen(),
		RouteFailed(),
		RouteNone(),
		ForwardReceived(),
		ServiceChosen(),
		LinkRefused(),
		DocumentApplied(),
		DocumentRejected(),
		OperatorRefused(),
		PlacementChosen(),
	}
}

// HostStarted reports that the host is listening for clients and for other
// hosts.
func HostStarted() Event {
	return Event{1000, "host_started", logrus.InfoLevel, "daemon", "The host is listening for clients and for other hosts."}
}

// HostDraining reports that the host is shutting down: it is no longer listed
// and completes the requests in flight.
func HostDraining() Event {
	return Event{1001, "host_draining", logrus.InfoLevel, "daemon", "The host is shutting down: it is no longer listed and completes the requests in flight."}
}

// HostStopped reports that the host has shut down.
func HostStopped() Event {
	return Event{1002, "host_stopped", logrus.InfoLevel, "daemon", "The host has shut down."}
}

// HostReloaded reports that the keys and the log level were reloaded.
func HostReloaded() Event {
	return Event{1003, "host_reloaded", logrus.InfoLevel, "daemon", "The keys and the log level were reloaded."}
}

// ReloadFailed reports that keys or settings could not be reloaded; the current
// ones remain in use.
func ReloadFailed() Event {
	return Event{1004, "reload_failed", logrus.ErrorLevel, "daemon", "Keys or settings could not be reloaded; the current ones remain in use."}
}

// HostAborted reports that a second signal terminated the host with requests in
// flight.
func HostAborted() Event {
	return Event{1005, "host_aborted", logrus.WarnLevel, "daemon", "A second signal terminated the host with requests in flight."}
}

// HostIsolated reports that the host can reach neither peers nor the key-value
// service, and accepts no new work.
func HostIsolated() Event {
	return Event{1006, "host_isolated", logrus.ErrorLevel, "daemon", "The host can reach neither peers nor the key-value service, and accepts no new work."}
}

// HostReconnected reports that the host can reach a peer or the key-value
// service again, and accepts new work.
func HostReconnected() Event {
	return Event{1007, "host_reconnected", logrus.InfoLevel, "daemon", "The host can reach a peer or the key-value service again, and accepts new work."}
}

// RequestReceived reports that a client's request passed validation.
func RequestReceived() Event {
	return Event{1100, "request_received", logrus.DebugLevel, "entry", "A client's request passed validation."}
}

// RequestDone reports that a client's request ended.
func RequestDone() Event {
	return Event{1101, "request_done", logrus.InfoLevel, "entry", "A client's request ended."}
}

// RequestRefused reports that a client's request was refused before it was
// routed.
func RequestRefused() Event {
	return Event{1102, "request_refused", logrus.InfoLevel, "entry", "A client's request was refused before it was routed."}
}

// CallerGone reports that the client disconnected or read too slowly; its
// resources were released.
func CallerGone() Event {
	return Event{1103, "caller_gone", logrus.InfoLevel, "entry", "The client disconnected or read too slowly; its resources were released."}
}

// RouteChosen reports that a cell was selected for a request.
func RouteChosen() Event {
	return Event{1200, "route_chosen", logrus.InfoLevel, "route", "A cell was selected for a request."}
}

// RouteFailed reports that the owner of a cell was lost; the request is sent to
// another cell or owner.
func RouteFailed() Event {
	return Event{1201, "route_failed", logrus.WarnLevel, "route", "The owner of a cell was lost; the request is sent to another cell or owner."}
}

// RouteNone reports that no cell can accept the request.
func RouteNone() Event {
	return Event{1202, "route_none", logrus.WarnLevel, "route", "No cell can accept the request."}
}

// ForwardReceived reports that a request was received from another host.
func ForwardReceived() Event {
	return Event{1203, "forward_received", logrus.DebugLevel, "link", "A request was received from another host."}
}

// ServiceChosen reports that an address of a plain service was selected for a
// call.
func ServiceChosen() Event {
	return Event{1204, "service_chosen", logrus.InfoLevel, "route", "An address of a plain service was selected for a call."}
}

// LinkRefused reports that a message from a peer was rejected.
func LinkRefused() Event {
	return Event{1300, "link_refused", logrus.WarnLevel, "link", "A message from a peer was rejected."}
}

// DocumentApplied reports that a generation of the document was applied on this
// host.
func DocumentApplied() Event {
	return Event{1400, "document_applied", logrus.InfoLevel, "document", "A generation of the document was applied on this host."}
}

// DocumentRejected reports that the document of a generation failed validation
// and was not applied.
func DocumentRejected() Event {
	return Event{1401, "document_rejected", logrus.ErrorLevel, "document", "The document of a generation failed validation and was not applied."}
}

// OperatorRefused reports that an operator's request had no valid key.
func OperatorRefused() Event {
	return Event{1500, "operator_refused", logrus.WarnLevel, "admin", "An operator's request had no valid key."}
}

// PlacementChosen reports that an order for an engine was planned.
func PlacementChosen() Event {
	return Event{1600, "placement_chosen", logrus.InfoLevel, "placement", "An order for an engine was planned."}
}
