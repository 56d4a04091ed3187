package event

import "github.com/sirupsen/logrus"

// Events of the entry host: its life, callers' requests and routing.
var (
	HostStarted      = Event{1000, "host_started", logrus.InfoLevel, "daemon", "The host listens for callers and for other hosts."}
	HostDraining     = Event{1001, "host_draining", logrus.InfoLevel, "daemon", "The host is leaving: it is listed no more and finishes the requests in flight."}
	HostStopped      = Event{1002, "host_stopped", logrus.InfoLevel, "daemon", "The host has left."}
	HostReloaded     = Event{1003, "host_reloaded", logrus.InfoLevel, "daemon", "Keys and log settings were read again."}
	ReloadFailed     = Event{1004, "reload_failed", logrus.ErrorLevel, "daemon", "Keys or log settings could not be read; the ones in use stay."}
	HostAborted      = Event{1005, "host_aborted", logrus.WarnLevel, "daemon", "A second signal ended the host with requests in flight."}
	HostIsolated     = Event{1006, "host_isolated", logrus.ErrorLevel, "daemon", "The host reaches neither peers nor the key-value service and takes no new work."}
	RequestReceived  = Event{1100, "request_received", logrus.DebugLevel, "entry", "A caller's request passed its checks."}
	RequestDone      = Event{1101, "request_done", logrus.InfoLevel, "entry", "A caller's request ended."}
	RequestRefused   = Event{1102, "request_refused", logrus.InfoLevel, "entry", "A caller's request was refused before it was routed."}
	CallerGone       = Event{1103, "caller_gone", logrus.InfoLevel, "entry", "The caller went away or read too slowly; what it held was freed."}
	RouteChosen      = Event{1200, "route_chosen", logrus.InfoLevel, "route", "A cell was chosen for a request."}
	RouteFailed      = Event{1201, "route_failed", logrus.WarnLevel, "route", "A cell's owner was lost; the request goes to another cell or owner."}
	RouteNone        = Event{1202, "route_none", logrus.WarnLevel, "route", "No cell could take the request."}
	ForwardReceived  = Event{1203, "forward_received", logrus.DebugLevel, "link", "A request came from another host."}
	ServiceChosen    = Event{1204, "service_chosen", logrus.InfoLevel, "route", "An address of a plain service was chosen for a call."}
	LinkRefused      = Event{1300, "link_refused", logrus.WarnLevel, "link", "A message from a peer was refused."}
	DocumentApplied  = Event{1400, "document_applied", logrus.InfoLevel, "document", "A generation of the document is in force on this host."}
	DocumentRejected = Event{1401, "document_rejected", logrus.ErrorLevel, "document", "A generation's document did not pass the checks and was not applied."}
)

// EntryEvents lists the events of the entry host.
func EntryEvents() []Event {
	return []Event{
		HostStarted, HostDraining, HostStopped, HostReloaded, ReloadFailed, HostAborted, HostIsolated,
		RequestReceived, RequestDone, RequestRefused, CallerGone,
		RouteChosen, RouteFailed, RouteNone, ForwardReceived, ServiceChosen, LinkRefused,
		DocumentApplied, DocumentRejected,
	}
}
