package event

import "github.com/sirupsen/logrus"

// GatewayEvents returns the events of a host on the operators' platform: its
// lifecycle, the requests it forwards, and the changes it reads from the store.
func GatewayEvents() []Event {
	return []Event{
		GatewayStarted(),
		GatewayDraining(),
		GatewayStopped(),
		GatewayReloaded(),
		GatewayReloadFailed(),
		PanicRecovered(),
		ListenFailed(),
		RequestSent(),
		AttemptEnded(),
		ResponseEndJudged(),
		CutSeen(),
		CutCleared(),
		RequestEnded(),
		RequestTurnedAway(),
		CallerLeft(),
		AnswerBroken(),
		StreamResumed(),
		StreamTakenUp(),
		StepLearned(),
		ForeignAnswer(),
		TableAdopted(),
		TableRejected(),
		ProofLost(),
		ProofRegained(),
		NewestLearned(),
		StoreLost(),
		StoreRegained(),
		WatchDeaf(),
		HistoryGone(),
		StoreRestored(),
		HostRegistered(),
		HostEntryRemoved(),
		RegistrationFailed(),
		ServerAdded(),
		ServerLeaving(),
		ServerRemoved(),
		ServerIgnored(),
		ServerReplaced(),
		ServerTurnedAway(),
		ServerSuspended(),
		ServerCrashed(),
		QuarantineStarted(),
		QuarantineEnded(),
		QuarantineIgnored(),
		SlowStartBegan(), SlowStartEnded(), ServerSpeedLearned(),
		VersionRecorded(),
		VersionIgnored(),
		StreamsIgnored(),
		ServerLimitChanged(),
		ServerBrittle(),
		ServerNotBrittle(),
		HostListed(),
		HostUnlisted(),
		HostOmitted(),
		HostNotOmitted(),
		DutyResigned(),
		UsageReported(),
		UsageReportFailed(),
		ServersPlanned(),
		ServersOrdered(),
		ServerOrderRefused(),
		ServerOrderFailed(),
		HostCutOff(),
		HostRegained(),
		EntriesRead(),
		MemoryRefused(),
		TunnelRefused(),
		RelayListenFailed(),
		LinesDropped(),
		LinesSuppressed(),
		OutcomesSuppressed(),
		RequestCut(),
		HeadCut(),
	}
}

// GatewayStarted reports that the host is listening for clients on the
// operators' platform.
func GatewayStarted() Event {
	return Event{1900, "gateway_started", logrus.InfoLevel, "gateway", "The host is listening for clients on the operators' platform."}
}

// GatewayDraining reports that the host is shutting down and is no longer
// listed to clients.
func GatewayDraining() Event {
	return Event{1901, "gateway_draining", logrus.InfoLevel, "gateway", "The host is shutting down and is no longer listed to clients."}
}

// GatewayStopped reports that the host has shut down.
func GatewayStopped() Event {
	return Event{1902, "gateway_stopped", logrus.InfoLevel, "gateway", "The host has shut down."}
}

// GatewayReloaded reports that the settings file was reloaded.
func GatewayReloaded() Event {
	return Event{1903, "gateway_reloaded", logrus.InfoLevel, "gateway", "The settings file was reloaded."}
}

// GatewayReloadFailed reports that the settings file could not be reloaded; the
// current settings remain in use.
func GatewayReloadFailed() Event {
	return Event{1904, "gateway_reload_failed", logrus.ErrorLevel, "gateway", "The settings file could not be reloaded; the current settings remain in use."}
}

// ListenFailed reports that a listener failed; its address accepts no more
// connections.
func ListenFailed() Event {
	return Event{1905, "listen_failed", logrus.ErrorLevel, "gateway", "A listener failed; its address accepts no more connections."}
}

// PanicRecovered reports that handling one input failed with a panic. The process goes
// on with the next one.
func PanicRecovered() Event {
	return Event{1906, "panic_recovered", logrus.ErrorLevel, "gateway", "Handling a request or message failed with a panic; the process goes on."}
}

// RequestSent reports that a request was sent to a backend server.
func RequestSent() Event {
	return Event{1910, "request_sent", logrus.InfoLevel, "forward", "A request was sent to a backend server."}
}

// AttemptEnded reports that a backend server did not serve a request that was
// sent to it.
func AttemptEnded() Event {
	return Event{1911, "attempt_ended", logrus.InfoLevel, "forward", "A backend server did not serve a request that was sent to it."}
}

// ResponseEndJudged reports whether a response that ended with its connection counts as whole,
// and on what evidence.
func ResponseEndJudged() Event {
	return Event{1919, "response_end_judged", logrus.InfoLevel, "forward", "A response that is framed by nothing but its connection has ended; the verdict says whether it counts as whole."}
}

// CutSeen reports that the connection of a response was closed in order before the response ended.
func CutSeen() Event {
	return Event{1962, "cut_seen", logrus.InfoLevel, "forward", "The connection of a response was closed in order before the response ended, by a server that runs on or a device; responses of the service with neither a length nor chunks do not count as whole until framed ones have ended whole, for 10 minutes at most."}
}

// StepLearned reports by how much the IDs of events increase in the streams of a version.
func StepLearned() Event {
	return Event{1965, "step_learned", logrus.InfoLevel, "forward", "By how much the IDs of events increase in the streams of a service's servers was learned or has changed."}
}

// CutCleared reports that enough responses with a length or chunks have ended whole since a cut.
func CutCleared() Event {
	return Event{1964, "cut_cleared", logrus.InfoLevel, "forward", "So many responses with a length or chunks have ended whole since a cut that it counts no longer."}
}

// RequestEnded reports that a request was answered with the response of a
// backend server.
func RequestEnded() Event {
	return Event{1912, "request_ended", logrus.InfoLevel, "forward", "A request was answered with the response of a backend server."}
}

// RequestTurnedAway reports that a request was answered by the host itself.
func RequestTurnedAway() Event {
	return Event{1913, "request_turned_away", logrus.InfoLevel, "forward", "A request was answered by the host itself."}
}

// CallerLeft reports that a client closed its connection before the response
// was complete; the work at the backend server was cancelled.
func CallerLeft() Event {
	return Event{1914, "caller_left", logrus.InfoLevel, "forward", "A client closed its connection before the response was complete; the work at the backend server was cancelled."}
}

// AnswerBroken reports that a response that had started could not be completed;
// the client's connection was closed.
func AnswerBroken() Event {
	return Event{1915, "answer_broken", logrus.WarnLevel, "forward", "A response that had started could not be completed; the client's connection was closed."}
}

// StreamTakenUp reports that a caller takes up a stream that was broken off.
func StreamTakenUp() Event {
	return Event{1918, "stream_taken_up", logrus.InfoLevel, "forward", "A caller takes up a stream, which goes on at the version of the servers that began it."}
}

// StreamResumed reports that a stream was resumed on another backend server.
func StreamResumed() Event {
	return Event{1916, "stream_resumed", logrus.InfoLevel, "forward", "A stream was resumed on another backend server."}
}

// ForeignAnswer reports that a backend server sent a response that belongs to
// another request; it was dropped.
func ForeignAnswer() Event {
	return Event{1917, "foreign_answer", logrus.WarnLevel, "forward", "A backend server sent a response that belongs to another request; it was dropped."}
}

// TableAdopted reports that a version of the configuration was applied on this
// host.
func TableAdopted() Event {
	return Event{1920, "table_adopted", logrus.InfoLevel, "gateway", "A version of the configuration was applied on this host."}
}

// TableRejected reports that a version of the configuration could not be read;
// the current one remains in use.
func TableRejected() Event {
	return Event{1921, "table_rejected", logrus.ErrorLevel, "gateway", "A version of the configuration could not be read; the current one remains in use."}
}

// ProofLost reports that the store did not confirm the configuration in time;
// requests with a key are refused.
func ProofLost() Event {
	return Event{1922, "proof_lost", logrus.WarnLevel, "gateway", "The store did not confirm the configuration in time; requests with a key are refused."}
}

// ProofRegained reports that the configuration is confirmed again.
func ProofRegained() Event {
	return Event{1923, "proof_regained", logrus.InfoLevel, "gateway", "The configuration is confirmed again."}
}

// NewestLearned reports that a host has learned which version of the configuration is the newest, at
// its start or after the store was restored.
func NewestLearned() Event {
	return Event{1924, "newest_learned", logrus.InfoLevel, "gateway", "The host has asked others for the newest configuration, and uses what the store holds from now on."}
}

// StoreLost reports that the store does not respond.
func StoreLost() Event {
	return Event{1930, "store_lost", logrus.WarnLevel, "store", "The store does not respond."}
}

// StoreRegained reports that the store responds again.
func StoreRegained() Event {
	return Event{1931, "store_regained", logrus.InfoLevel, "store", "The store responds again."}
}

// WatchDeaf reports that a watch lagged behind the store and was replaced.
func WatchDeaf() Event {
	return Event{1932, "watch_deaf", logrus.WarnLevel, "store", "A watch lagged behind the store and was replaced."}
}

// HistoryGone reports that the store no longer keeps the changes that the host
// needs next; all keys are read again.
func HistoryGone() Event {
	return Event{1933, "history_gone", logrus.InfoLevel, "store", "The store no longer keeps the changes that the host needs next; all keys are read again."}
}

// StoreRestored reports that the store was restored from a copy; all keys are read
// again.
func StoreRestored() Event {
	return Event{1937, "store_restored", logrus.WarnLevel, "store", "The store was restored from a copy; all keys are read again."}
}

// HostRegistered reports that the host is registered under a lease.
func HostRegistered() Event {
	return Event{1934, "host_registered", logrus.InfoLevel, "store", "The host is registered under a lease."}
}

// HostEntryRemoved reports that the host's own entry is not in the store or not valid any
// more; the host registers again.
func HostEntryRemoved() Event {
	return Event{1936, "host_entry_removed", logrus.WarnLevel, "store", "The host's own entry is not in the store or not valid any more; the host registers again."}
}

// RegistrationFailed reports that the host could not register or renew its
// lease; it will retry.
func RegistrationFailed() Event {
	return Event{1935, "registration_failed", logrus.WarnLevel, "store", "The host could not register or renew its lease; it will retry."}
}

// ServerAdded reports that a backend server registered itself.
func ServerAdded() Event {
	return Event{1940, "server_added", logrus.InfoLevel, "fleet", "A backend server registered itself."}
}

// ServerLeaving reports that a backend server is shutting down; it gets no more
// requests.
func ServerLeaving() Event {
	return Event{1941, "server_leaving", logrus.InfoLevel, "fleet", "A backend server is shutting down; it gets no more requests."}
}

// ServerRemoved reports that the entry of a backend server is gone; it gets no
// more requests.
func ServerRemoved() Event {
	return Event{1942, "server_removed", logrus.InfoLevel, "fleet", "The entry of a backend server is gone; it gets no more requests."}
}

// ServerIgnored reports that an entry in the list of backend servers could not
// be parsed and was ignored.
func ServerIgnored() Event {
	return Event{1943, "server_ignored", logrus.WarnLevel, "fleet", "An entry in the list of backend servers could not be parsed and was ignored."}
}

// ServerSuspended reports that a backend server could not be reached or broke a
// connection; it temporarily gets no requests.
func ServerSuspended() Event {
	return Event{1944, "server_suspended", logrus.WarnLevel, "fleet", "A backend server could not be reached, broke a connection, or kept requests until their deadlines without serving them; it temporarily gets no requests."}
}

// ServerCrashed reports that a backend server cut off responses and then refused
// connections, or that its process ended with requests unanswered; the affected requests
// are suspected of crashing it.
func ServerCrashed() Event {
	return Event{1945, "server_crashed", logrus.WarnLevel, "fleet", "A backend server cut off responses and then refused connections, or its process ended with requests unanswered; the affected requests are suspected of crashing it."}
}

// QuarantineStarted reports that requests with certain features are refused, because they
// crash backend servers.
func QuarantineStarted() Event {
	return Event{1946, "quarantine_started", logrus.ErrorLevel, "fleet", "Requests that have all of these features are refused, because they crash backend servers."}
}

// QuarantineEnded reports that requests with certain features are no longer refused.
func QuarantineEnded() Event {
	return Event{1947, "quarantine_ended", logrus.WarnLevel, "fleet", "Requests with these features are no longer refused, or only those with some of them."}
}

// QuarantineIgnored reports that the record of a quarantine could not be parsed.
func QuarantineIgnored() Event {
	return Event{1948, "quarantine_ignored", logrus.WarnLevel, "fleet", "The record of a quarantine in the store could not be parsed and was ignored."}
}

// ServerReplaced reports that another process than the registered one is at a backend server's
// address.
func ServerReplaced() Event {
	return Event{1955, "server_replaced", logrus.WarnLevel, "fleet", "Another process than the registered one is at a backend server's address; it gets no requests until it has registered."}
}

// ServerTurnedAway reports that a backend server turned a request away and wants none of this host
// for a time.
func ServerTurnedAway() Event {
	return Event{1956, "server_turned_away", logrus.InfoLevel, "fleet", "A backend server turned a request away and wants none of this host for a time."}
}

// VersionRecorded reports that the store has a record of a software version of a service.
func VersionRecorded() Event {
	return Event{1953, "version_recorded", logrus.InfoLevel, "fleet", "The store has a record of a software version of a service; streams may have begun at it."}
}

// StreamsIgnored reports a record of where streams began that could not be parsed.
func StreamsIgnored() Event {
	return Event{1957, "streams_ignored", logrus.WarnLevel, "fleet", "A record of where streams began could not be parsed and was ignored."}
}

// VersionIgnored reports that the record of a software version could not be parsed.
func VersionIgnored() Event {
	return Event{1954, "version_ignored", logrus.WarnLevel, "fleet", "The record of a software version in the store could not be parsed and was ignored."}
}

// ServerLimitChanged reports that a backend server named another limit of requests per second
// than before, or none any longer.
func ServerLimitChanged() Event {
	return Event{1949, "server_limit_changed", logrus.InfoLevel, "fleet", "A backend server named another limit of requests per second than before, or none any longer."}
}

// ServerBrittle reports that backend servers began to say that they are brittle.
func ServerBrittle() Event {
	return Event{1959, "server_brittle", logrus.WarnLevel, "fleet", "A backend server says that it is brittle; the requests in flight there are limited over all hosts."}
}

// ServerNotBrittle reports that backend servers ceased to be brittle.
func ServerNotBrittle() Event {
	return Event{1963, "server_not_brittle", logrus.InfoLevel, "fleet", "A backend server no longer says that it is brittle."}
}

// HostListed reports that another host registered itself or changed its state.
func HostListed() Event {
	return Event{1950, "host_listed", logrus.InfoLevel, "roster", "Another host registered itself or changed its state."}
}

// HostUnlisted reports that the entry of another host is gone.
func HostUnlisted() Event {
	return Event{1951, "host_unlisted", logrus.InfoLevel, "roster", "The entry of another host is gone."}
}

// EntriesRead reports how many hosts and backend servers a starting host has read from
// the store. Only the first ones have lines of their own.
func EntriesRead() Event {
	return Event{1952, "entries_read", logrus.InfoLevel, "roster", "The host has read the entries of hosts and backend servers at its start."}
}

// HostOmitted reports that callers are not sent to a host because the watchers hear nothing of it.
func HostOmitted() Event {
	return Event{2100, "host_omitted", logrus.WarnLevel, "fleet", "Callers are not sent to a host, because the watchers hear nothing of it."}
}

// HostNotOmitted reports that callers are sent to such a host again.
func HostNotOmitted() Event {
	return Event{2101, "host_not_omitted", logrus.InfoLevel, "fleet", "A host that was silent is heard again, or its entry is gone."}
}

// DutyResigned reports that the host gave a duty up because its calls had no answers.
func DutyResigned() Event {
	return Event{2110, "duty_resigned", logrus.WarnLevel, "duty", "This host gave a duty up, because its calls to the platform had no answers."}
}

// UsageReported reports that the platform accepted the usage of a window.
func UsageReported() Event {
	return Event{2111, "usage_reported", logrus.InfoLevel, "duty", "The platform accepted the usage of a window."}
}

// UsageReportFailed reports that the usage of a window could not be recorded or sent.
func UsageReportFailed() Event {
	return Event{2112, "usage_report_failed", logrus.WarnLevel, "duty", "The usage of a window could not be recorded or sent; it is tried again."}
}

// ServersPlanned reports that other numbers of servers are to be ordered for a service.
func ServersPlanned() Event {
	return Event{2120, "servers_planned", logrus.InfoLevel, "duty", "Other numbers of servers are to be ordered for a service, and have been recorded."}
}

// ServersOrdered reports that the platform accepted an order of servers.
func ServersOrdered() Event {
	return Event{2121, "servers_ordered", logrus.InfoLevel, "duty", "The platform accepted an order of servers."}
}

// ServerOrderRefused reports that the platform does not fulfill an order of servers.
func ServerOrderRefused() Event {
	return Event{2122, "server_order_refused", logrus.WarnLevel, "duty", "The platform has no servers of the kind now, or rejects the order; others are ordered in their place."}
}

// ServerOrderFailed reports that an order of servers could not be recorded or was not answered.
func ServerOrderFailed() Event {
	return Event{2123, "server_order_failed", logrus.WarnLevel, "duty", "An order of servers could not be recorded, or had no answer; it is tried again."}
}

// SlowStartBegan reports that the requests in flight at a backend server are limited.
func SlowStartBegan() Event {
	return Event{2140, "slow_start_began", logrus.InfoLevel, "fleet", "A backend server has started or recovered; the requests in flight there are limited until it answers as fast as expected."}
}

// SlowStartEnded reports that they are no longer.
func SlowStartEnded() Event {
	return Event{2141, "slow_start_ended", logrus.InfoLevel, "fleet", "The requests in flight at a backend server that has started or recovered are no longer limited."}
}

// ServerSpeedLearned reports another estimate of how fast a backend server is.
func ServerSpeedLearned() Event {
	return Event{2142, "server_speed_learned", logrus.InfoLevel, "fleet", "This host has learned how long a backend server's work takes relative to its service's usual."}
}

// HostCutOff reports that this host reaches no backend server by itself.
func HostCutOff() Event {
	return Event{1972, "host_cut_off", logrus.WarnLevel, "fleet", "This host reaches no backend server by itself; it opens connections through other hosts that do."}
}

// HostRegained reports that this host reaches backend servers by itself again.
func HostRegained() Event {
	return Event{1973, "host_regained", logrus.InfoLevel, "fleet", "This host reaches backend servers by itself again."}
}

// MemoryRefused reports that bytes of requests or responses were refused, because the host
// holds too many.
func MemoryRefused() Event {
	return Event{1958, "memory_refused", logrus.WarnLevel, "memory", "Bytes of requests or responses were refused, because the host holds too many."}
}

// LinesDropped reports that log lines were dropped, because the output did not
// accept them in time.
func LinesDropped() Event {
	return Event{1960, "lines_dropped", logrus.WarnLevel, "log", "Log lines were dropped, because the output did not accept them in time."}
}

// LinesSuppressed reports that log lines of an event were suppressed, because
// it occurred too often.
func LinesSuppressed() Event {
	return Event{1961, "lines_suppressed", logrus.WarnLevel, "log", "Log lines of an event were suppressed, because it occurred too often."}
}

// OutcomesSuppressed reports that lines on how requests ended are missing.
func OutcomesSuppressed() Event {
	return Event{1966, "outcomes_suppressed", logrus.WarnLevel, "log", "Log lines on how requests ended are missing."}
}

// RequestCut reports that the host closes a caller's connection within a request.
func RequestCut() Event {
	return Event{1967, "request_cut", logrus.WarnLevel, "forward", "The host closes a caller's connection before the caller has the answer to its request."}
}

// HeadCut reports that the host closes a caller's connection on which a part of a request's head was read.
func HeadCut() Event {
	return Event{1968, "head_cut", logrus.InfoLevel, "forward", "The host closes a caller's connection on which a part of a request's head was read."}
}

// TunnelRefused reports that the host opened no tunnel to a backend server for another host.
func TunnelRefused() Event {
	return Event{1970, "tunnel_refused", logrus.WarnLevel, "relay", "No tunnel to a backend server was opened for another host."}
}

// RelayListenFailed reports that the host can't listen for tunnels of other hosts.
func RelayListenFailed() Event {
	return Event{1971, "relay_listen_failed", logrus.ErrorLevel, "relay", "The host can't listen for tunnels of other hosts, and tries again."}
}
