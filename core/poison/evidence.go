package poison

import (
	"slices"
	"time"
)

// CrashReport is a crash of a server as hosts report it to each other.
type CrashReport struct {
	ID    uint64 `cbor:"1,keyasint"`
	AgeMs int64  `cbor:"2,keyasint"`
	// Requests holds the requests that the sender had in flight.
	Requests []InFlightRequest `cbor:"3,keyasint"`
	// SilentFor is the time from the estimated crash of a server that went silent to its end;
	// 0 if the crash itself was seen.
	SilentFor time.Duration `cbor:"4,keyasint,omitempty"`
}

// ClearedFeature is a suspected feature of a request that completed.
type ClearedFeature struct {
	Feature uint64 `cbor:"1,keyasint"`
	AgeMs   int64  `cbor:"2,keyasint"`
}

// QuarantineReport is a quarantine as hosts report it to each other.
type QuarantineReport struct {
	Features []uint64 `cbor:"1,keyasint"`
	AgeMs    int64    `cbor:"2,keyasint"`
}

// Evidence is what a host tells other hosts about crashes. Ages are used because the
// clocks of hosts differ.
type Evidence struct {
	Crashes     []CrashReport      `cbor:"1,keyasint,omitempty"`
	Cleared     []ClearedFeature   `cbor:"2,keyasint,omitempty"`
	Quarantines []QuarantineReport `cbor:"3,keyasint,omitempty"`
}

// Size returns the number of reports.
func (evidence *Evidence) Size() int {
	return len(evidence.Crashes) + len(evidence.Cleared) + len(evidence.Quarantines)
}

const (
	// firstResendDelay is the time after which a report is sent again. It doubles each
	// time, until the report is reportLifetime old.
	firstResendDelay = 140 * time.Millisecond
	reportLifetime   = 2 * time.Second
	// maxReportsPerMessage limits the reports of each kind in a message, and
	// maxCrashesPerMessage the crashes, whose reports are longer.
	maxReportsPerMessage = 16
	maxCrashesPerMessage = 2
	// maxPendingReports limits the reports that wait to be sent.
	maxPendingReports = 256
	// maxReportAge limits the age in a message.
	maxReportAge = CrashTTL
)

func (report CrashReport) withAge(ageMs int64) CrashReport {
	report.AgeMs = ageMs
	return report
}

func (report ClearedFeature) withAge(ageMs int64) ClearedFeature {
	report.AgeMs = ageMs
	return report
}

func (report QuarantineReport) withAge(ageMs int64) QuarantineReport {
	report.AgeMs = ageMs
	return report
}

// aged is a report that states the age of what it reports.
type aged[T any] interface{ withAge(ageMs int64) T }

// outbox holds reports that are sent several times, as messages may be lost.
type outbox[T aged[T]] struct{ reports []outgoing[T] }

// outgoing is a report with the time of what it reports and its next transmission.
type outgoing[T any] struct {
	report   T
	at       time.Time
	queuedAt time.Time
	sendAt   time.Time
	delay    time.Duration
}

// add queues a report. The oldest ones are dropped if there are too many.
func (outbox *outbox[T]) add(report T, at, now time.Time) {
	outbox.reports = append(outbox.reports, outgoing[T]{report: report, at: at, queuedAt: now, sendAt: now, delay: firstResendDelay})
	outbox.reports = outbox.reports[max(0, len(outbox.reports)-maxPendingReports):]
}

// due returns the reports to send now, with their ages; at most limit of them.
func (outbox *outbox[T]) due(now time.Time, limit int) []T {
	outbox.reports = slices.DeleteFunc(outbox.reports, func(report outgoing[T]) bool { return now.Sub(report.queuedAt) > reportLifetime })
	var due []T
	for index := range outbox.reports {
		report := &outbox.reports[index]
		if now.Before(report.sendAt) || len(due) >= limit {
			continue
		}
		report.sendAt = now.Add(report.delay)
		report.delay *= 2
		due = append(due, report.report.withAge(now.Sub(report.at).Milliseconds()))
	}
	return due
}

// timeOfAge returns the time that was the given age ago, within the limits of ages.
func timeOfAge(ageMs int64, now time.Time) time.Time {
	age := time.Duration(min(max(0, ageMs), maxReportAge.Milliseconds())) * time.Millisecond
	return now.Add(-age)
}
