package pace

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxSpeedReports is the number of speeds in a message, which then has about 1 kB.
	maxSpeedReports = 40
	// speedIntervalPerHost is the time between two messages for each host that they go to, so that a host
	// sends about 4 kB/s whatever the number of hosts.
	speedIntervalPerHost = 250 * time.Millisecond
	// scale is the number of units of a logarithm in a message.
	scale = 1000
)

// SpeedReport is what a host tells others of its observations of a server.
type SpeedReport struct {
	// Server is the hash of the server's ID.
	Server uint64 `cbor:"1,keyasint"`
	Kind   Kind   `cbor:"2,keyasint,omitempty"`
	// Count is the number of observations, and Mean the mean of their logarithms in thousandths.
	Count int `cbor:"3,keyasint"`
	Mean  int `cbor:"4,keyasint"`
}

// PendingSpeeds returns the observations that the given number of other hosts are to be told now, those
// that say most first. They are told once: a lost message costs a little accuracy.
func (tracker *Tracker) PendingSpeeds(recipients int, now time.Time) []SpeedReport {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	if recipients == 0 || now.Before(tracker.nextSpeeds) {
		return nil
	}
	tracker.nextSpeeds = now.Add(max(time.Second, time.Duration(recipients)*speedIntervalPerHost))
	var reports []SpeedReport
	for hash, one := range tracker.servers {
		for kind := range kindCount {
			if known := &one.ratios[kind]; known.untoldCount > 0 {
				reports = append(reports, SpeedReport{hash, kind, known.untoldCount, int(known.untold / float64(known.untoldCount) * scale)})
			}
		}
	}
	slices.SortFunc(reports, func(a, b SpeedReport) int {
		return cmp.Or(cmp.Compare(b.value(), a.value()), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Kind, b.Kind))
	})
	reports = reports[:min(len(reports), maxSpeedReports)]
	for _, report := range reports {
		known := &tracker.servers[report.Server].ratios[report.Kind]
		known.untold, known.untoldCount = 0, 0
	}
	return reports
}

// value is how much the observations of a report say.
func (report SpeedReport) value() float64 {
	return float64(report.Count) / (minDeviation(report.Kind) * minDeviation(report.Kind))
}

// ApplySpeeds records what another host has observed.
func (tracker *Tracker) ApplySpeeds(reports []SpeedReport, now time.Time) {
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	for _, report := range reports {
		one := tracker.servers[report.Server]
		if one == nil || report.Kind < 0 || report.Kind >= kindCount || report.Count <= 0 || max(report.Mean, -report.Mean) > maxObserved*scale {
			continue
		}
		one.ratios[report.Kind].add(float64(report.Mean)/scale, min(report.Count, maxUntold), report.Kind, now)
	}
}
