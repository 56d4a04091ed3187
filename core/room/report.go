package room

import "time"

const (
	// changeReportTime is the time for which a change is reported in every round, as messages may be
	// lost. reportInterval is the interval of reports that confirm that a server is brittle.
	changeReportTime = time.Second
	reportInterval   = 500 * time.Millisecond
	// sameCutTime is the difference in time up to which two reports are of the same cut of a limit.
	sameCutTime = 50 * time.Millisecond
	// maxReportAge is the age from which a report is ignored.
	maxReportAge = quietTimeout
)

// Report is what a host tells other hosts about a server.
type Report struct {
	// Server is the hash of the server's ID.
	Server uint64 `cbor:"1,keyasint"`
	// Number is the number of refusals within a second that the server bears; 0: it is no longer brittle.
	Number int   `cbor:"2,keyasint"`
	Slots  int   `cbor:"3,keyasint,omitempty"`
	AgeMs  int64 `cbor:"4,keyasint"`
	// Base is the limit that was in force CutAgeMs ago, and has risen since. Refused is set if it was cut
	// then.
	Base     float64 `cbor:"5,keyasint"`
	CutAgeMs int64   `cbor:"6,keyasint"`
	Refused  bool    `cbor:"8,keyasint,omitempty"`
	// Service is the service of the server.
	Service string `cbor:"7,keyasint,omitempty"`
}

// PendingReports returns what is to be sent to other hosts now: what this host has observed.
func (limiter *Limiter) PendingReports(now time.Time) []Report {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	var reports []Report
	for key, known := range limiter.servers {
		isNew := now.Sub(known.changedAt) < changeReportTime
		isDue := now.Sub(known.reportedAt) >= reportInterval && known.observedAt.After(known.reportedAt)
		if !known.own || !isNew && !isDue || now.Sub(known.observedAt) >= maxReportAge {
			continue
		}
		known.reportedAt = now
		reports = append(reports, known.report(key, now))
	}
	return reports
}

// BrittleReports returns all that is to be sent to a host that has started: the servers that are brittle.
func (limiter *Limiter) BrittleReports(now time.Time) []Report {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if limiter.brittle == 0 {
		return nil
	}
	var reports []Report
	for key, known := range limiter.servers {
		if known.saysBrittle(now) {
			reports = append(reports, known.report(key, now))
		}
	}
	return reports
}

func (server *server) report(key uint64, now time.Time) Report {
	return Report{
		Server: key, Number: server.number, Slots: server.slots, AgeMs: now.Sub(server.observedAt).Milliseconds(),
		Base: server.base, CutAgeMs: now.Sub(server.cutAt).Milliseconds(), Refused: server.refused, Service: server.service,
	}
}

// ApplyReports records what another host has observed, unless newer answers are known. It returns how
// many servers became brittle, and how many ceased to be.
func (limiter *Limiter) ApplyReports(reports []Report, now time.Time) (began, ended int) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	for _, report := range reports {
		switch limiter.applyReport(report, now) {
		case Began:
			began++
		case Ended:
			ended++
		case None:
		}
	}
	return began, ended
}

func (limiter *Limiter) applyReport(report Report, now time.Time) Change {
	age, cutAge := milliseconds(report.AgeMs), milliseconds(report.CutAgeMs)
	if report.Number < 0 || report.Slots < 0 || !(report.Base >= lowestLimit) && report.Number > 0 || age >= maxReportAge {
		return None
	}
	known := limiter.servers[report.Server]
	if known == nil && report.Number == 0 {
		return None
	}
	known = limiter.server(report.Server)
	change := None
	if observedAt := now.Add(-age); observedAt.After(known.observedAt) {
		if known.service == "" {
			known.service = report.Service
		}
		if report.Slots > 0 {
			known.slots = report.Slots
		}
		if limiter.set(known, report.Number, observedAt, now) {
			change = map[bool]Change{true: Began, false: Ended}[report.Number > 0]
		}
		if change == Began {
			known.base, known.cutAt = min(report.Base, lowestLimit+maxReportAge.Seconds()), now.Add(-cutAge)
		}
	}
	if cutAt := now.Add(-cutAge); report.Refused && report.Number > 0 && cutAt.After(known.cutAt.Add(sameCutTime)) {
		known.cut(min(report.Base, known.limit(now)), cutAt)
	}
	return change
}

// milliseconds returns a number of milliseconds that another host sent, 0 if it is negative.
func milliseconds(count int64) time.Duration {
	return time.Duration(min(max(0, count), maxReportAge.Milliseconds())) * time.Millisecond
}
