package event

import "github.com/sirupsen/logrus"

// EntryEvents lists the events of an entry host: its life, callers' requests,
// routing and the document in force.
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

// HostStarted reports that the host listens for callers and for other hosts.
func HostStarted() Event {
	return Event{1000, "host_started", logrus.InfoLevel, "daemon", "The host listens for callers and for other hosts."}
}

// HostDraining reports that the host is leaving: it is listed no more and finishes the requests in flight.
func HostDraining() Event {
	return Event{1001, "host_draining", logrus.InfoLevel, "daemon", "The host is leaving: it is listed no more and finishes the requests in flight."}
}

// HostStopped reports that the host has left.
func HostStopped() Event {
	return Event{1002, "host_stopped", logrus.InfoLevel, "daemon", "The host has left."}
}

// HostReloaded reports that keys and the log level were read again.
func HostReloaded() Event {
	return Event{1003, "host_reloaded", logrus.InfoLevel, "daemon", "Keys and the log level were read again."}
}

// ReloadFailed reports that keys or settings could not be read; the ones in use stay.
func ReloadFailed() Event {
	return Event{1004, "reload_failed", logrus.ErrorLevel, "daemon", "Keys or settings could not be read; the ones in use stay."}
}

// HostAborted reports that a second signal ended the host with requests in flight.
func HostAborted() Event {
	return Event{1005, "host_aborted", logrus.WarnLevel, "daemon", "A second signal ended the host with requests in flight."}
}

// HostIsolated reports that the host reaches neither peers nor the key-value service and takes no new work.
func HostIsolated() Event {
	return Event{1006, "host_isolated", logrus.ErrorLevel, "daemon", "The host reaches neither peers nor the key-value service and takes no new work."}
}

// HostReconnected reports that the host reaches a peer or the key-value service
// again and takes work.
func HostReconnected() Event {
	return Event{1007, "host_reconnected", logrus.InfoLevel, "daemon", "The host reaches a peer or the key-value service again and takes work."}
}

// RequestReceived reports that a caller's request passed its checks.
func RequestReceived() Event {
	return Event{1100, "request_received", logrus.DebugLevel, "entry", "A caller's request passed its checks."}
}

// RequestDone reports that a caller's request ended.
func RequestDone() Event {
	return Event{1101, "request_done", logrus.InfoLevel, "entry", "A caller's request ended."}
}

// RequestRefused reports that a caller's request was refused before it was routed.
func RequestRefused() Event {
	return Event{1102, "request_refused", logrus.InfoLevel, "entry", "A caller's request was refused before it was routed."}
}

// CallerGone reports that the caller went away or read too slowly; what it held was freed.
func CallerGone() Event {
	return Event{1103, "caller_gone", logrus.InfoLevel, "entry", "The caller went away or read too slowly; what it held was freed."}
}

// RouteChosen reports that a cell was chosen for a request.
func RouteChosen() Event {
	return Event{1200, "route_chosen", logrus.InfoLevel, "route", "A cell was chosen for a request."}
}

// RouteFailed reports that a cell's owner was lost; the request goes to another cell or owner.
func RouteFailed() Event {
	return Event{1201, "route_failed", logrus.WarnLevel, "route", "A cell's owner was lost; the request goes to another cell or owner."}
}

// RouteNone reports that no cell could take the request.
func RouteNone() Event {
	return Event{1202, "route_none", logrus.WarnLevel, "route", "No cell could take the request."}
}

// ForwardReceived reports that a request came from another host.
func ForwardReceived() Event {
	return Event{1203, "forward_received", logrus.DebugLevel, "link", "A request came from another host."}
}

// ServiceChosen reports that an address of a plain service was chosen for a call.
func ServiceChosen() Event {
	return Event{1204, "service_chosen", logrus.InfoLevel, "route", "An address of a plain service was chosen for a call."}
}

// LinkRefused reports that a message from a peer was refused.
func LinkRefused() Event {
	return Event{1300, "link_refused", logrus.WarnLevel, "link", "A message from a peer was refused."}
}

// DocumentApplied reports that a generation of the document is in force on this host.
func DocumentApplied() Event {
	return Event{1400, "document_applied", logrus.InfoLevel, "document", "A generation of the document is in force on this host."}
}

// DocumentRejected reports that a generation's document did not pass the checks and was not applied.
func DocumentRejected() Event {
	return Event{1401, "document_rejected", logrus.ErrorLevel, "document", "A generation's document did not pass the checks and was not applied."}
}

// OperatorRefused reports that an operator's call had no valid key.
func OperatorRefused() Event {
	return Event{1500, "operator_refused", logrus.WarnLevel, "admin", "An operator's call had no valid key."}
}

// PlacementChosen reports that an order for an engine was planned.
func PlacementChosen() Event {
	return Event{1600, "placement_chosen", logrus.InfoLevel, "placement", "An order for an engine was planned."}
}
