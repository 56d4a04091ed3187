package fleet

import "time"

// arrivalRecord holds the failures before a response that came as far as an unproven end. They count
// again if the server turns out to have crashed with it.
type arrivalRecord struct {
	failuresBefore int
	at             time.Time
}

// RecordArrived records a success that came as far as an unproven end. It ends a row of failures
// unless the next connection to the server can't be established.
func (fleet *Fleet) RecordArrived(id string, now time.Time) {
	fleet.update(id, func(member *Member) {
		member.arrivals = arrivalRecord{member.arrivals.failuresBefore + member.ConsecutiveFailures, now}
		member.ConsecutiveFailures = 0
	})
}

// RecordSurvived records that the process of a server ran at a time. The failures before the
// responses that arrived until then don't count any more.
func (fleet *Fleet) RecordSurvived(server Server, at time.Time) {
	fleet.updateProcess(server, func(member *Member) {
		if at.After(member.arrivals.at) {
			member.arrivals = arrivalRecord{}
		}
	})
}

// restoreFailures makes the failures before the last unproven end count again.
func (member *Member) restoreFailures() {
	member.ConsecutiveFailures += member.arrivals.failuresBefore
	member.arrivals = arrivalRecord{}
}
