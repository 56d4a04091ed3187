package roster

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"primrosegw/core/host"
)

const (
	// silenceTimeout is the time without a message after which a watcher reports a host as silent.
	// Hosts send one at least every 0.75 s, in fleets of hundreds every 1.5 s.
	silenceTimeout = 2500 * time.Millisecond
	// reportTTL is how long the report of a watcher counts after its last message.
	reportTTL = 2500 * time.Millisecond
	// goneMemory is how long a host that is gone stays in the reports after its entry has disappeared:
	// other hosts may learn of that later, and would name it until then.
	goneMemory = 30 * time.Second
	// maxObservationGap is the time between two observations above which the host itself was paused.
	// What it has not heard in that time says nothing of the others.
	maxObservationGap = time.Second
	// minSilenceReports is the number of watchers that must report a host as silent. A watcher that hears
	// no other one takes no host for gone.
	minSilenceReports = 2
	// A watcher that hears less than minHeardShare of the entry hosts is taken for the one that is cut off, with
	// those that it still hears.
	minHeardShare = 1.0 / 3
)

// SilentHost is a host of which a watcher has heard nothing for silenceTimeout.
type SilentHost struct {
	// Host is the hash of the host's name.
	Host        uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	// SilentMs is how long nothing was heard, 0 if the entry is a decision.
	SilentMs int64 `cbor:"3,keyasint,omitempty"`
}

/*
Silence decides which hosts callers are no longer sent to because the watchers hear nothing of them,
before the leases of their entries expire, and also while the store is away.

One host that hears nothing of another one may be the one that is cut off. A watcher therefore takes
a host for gone only if more than half of the watchers whose reports arrive there, its own included,
report it as silent, and at least minSilenceReports of them. Watchers that hear few hosts do not count:
those that are cut off together would leave out all others. Other hosts may hear one or two watchers
only; they follow what more than half of these have decided. A host counts again as soon as one
message of it reaches enough watchers. Silence is safe for concurrent use.
*/
type Silence struct {
	own   string
	mutex sync.Mutex
	// heard holds the time of the last message by host name.
	heard map[string]heardHost
	// reports holds the latest report by watcher.
	reports map[string]receivedSilence
	// gone holds when the local host, a watcher, last took hosts for gone that were listed, by hash.
	gone map[uint64]time.Time
	// omitted holds the hosts that callers were last not sent to.
	omitted []SilentHost
	// latest is the local host's own report.
	latest       SilenceReport
	lastObserved time.Time
}

// SilenceReport is what a watcher tells of silent hosts. It is empty if there are none.
type SilenceReport struct {
	// Silent holds the hosts of which the watcher itself hears nothing, also those whose entries have disappeared
	// lately.
	Silent []SilentHost
	// Gone holds those that it takes for gone, by the reports of all watchers.
	Gone []SilentHost
}

// heardHost is the process of which a host was heard last.
type heardHost struct {
	incarnation uint64
	at          time.Time
	// expectedAt is when the host was expected last.
	expectedAt time.Time
}

// receivedSilence is the latest report of another watcher.
type receivedSilence struct {
	SilenceReport
	at time.Time
}

// NewSilence returns a Silence of the host with a name.
func NewSilence(own string) *Silence {
	return &Silence{own: own, heard: make(map[string]heardHost), gone: make(map[uint64]time.Time), reports: make(map[string]receivedSilence)}
}

// Heard records a message of a host.
func (silence *Silence) Heard(name string, now time.Time) {
	silence.mutex.Lock()
	defer silence.mutex.Unlock()
	known := silence.heard[name]
	known.at = now
	silence.heard[name] = known
	if len(silence.omitted)+len(silence.gone) > 0 {
		hash := xxhash.Sum64String(name)
		delete(silence.gone, hash)
		silence.omitted = slices.DeleteFunc(slices.Clone(silence.omitted), func(omitted SilentHost) bool { return omitted.Host == hash })
	}
}

// Received records the report of another host, which is empty if that is no watcher.
func (silence *Silence) Received(name string, report SilenceReport, now time.Time) {
	silence.mutex.Lock()
	defer silence.mutex.Unlock()
	silence.reports[name] = receivedSilence{report, now}
}

// Latest returns the local host's own report.
func (silence *Silence) Latest() SilenceReport {
	silence.mutex.Lock()
	defer silence.mutex.Unlock()
	return silence.latest
}

// Observe recomputes the local host's report and reports whether other hosts are to be told at once.
// Expected holds the hosts that send messages to the local host; it is empty if that is no watcher. A
// process counts as heard when it is expected and was not at the last observation.
func (silence *Silence) Observe(expected, watchers []host.Host, now time.Time) (changed bool) {
	silence.mutex.Lock()
	defer silence.mutex.Unlock()
	lastObserved := silence.lastObserved
	silence.forgive(now)
	before := silence.latest
	silence.latest = SilenceReport{}
	for _, one := range expected {
		known := silence.heard[one.Name]
		if known.incarnation != one.Incarnation || known.expectedAt.IsZero() || !known.expectedAt.Equal(lastObserved) {
			known.incarnation, known.at = one.Incarnation, now
		}
		known.expectedAt = now
		silence.heard[one.Name] = known
		if silentFor := now.Sub(known.at); silentFor >= silenceTimeout {
			silence.latest.Silent = append(silence.latest.Silent, newSilentHost(one, silentFor))
		}
	}
	if len(silence.heard) > 2*len(expected) {
		silence.forget(expected)
	}
	maps.DeleteFunc(silence.reports, func(_ string, report receivedSilence) bool { return now.Sub(report.at) >= reportTTL })
	unlisted := silence.unlisted(before.Gone, expected, now)
	silence.latest.Gone = append(silence.decide(expected, watchers, now), unlisted...)
	// Watchers that still list them would otherwise stand alone with their reports.
	silence.latest.Silent = append(silence.latest.Silent, unlisted...)
	return !sameHosts(before.Silent, silence.latest.Silent) || !sameHosts(before.Gone, silence.latest.Gone)
}

// forgive counts all hosts as heard if the local host was paused. The mutex is held.
func (silence *Silence) forgive(now time.Time) {
	if !silence.lastObserved.IsZero() && now.Sub(silence.lastObserved) > maxObservationGap {
		for name, known := range silence.heard {
			known.at = now
			silence.heard[name] = known
		}
	}
	silence.lastObserved = now
}

// forget drops the hosts that are not expected. The mutex is held.
func (silence *Silence) forget(expected []host.Host) {
	for name := range silence.heard {
		if !slices.ContainsFunc(expected, func(one host.Host) bool { return one.Name == name }) {
			delete(silence.heard, name)
		}
	}
}

// decide returns the hosts that a watcher takes for gone. The mutex is held.
func (silence *Silence) decide(expected, watchers []host.Host, now time.Time) []SilentHost {
	reports := silence.currentReports(expected, watchers, now)
	if len(reports) == 0 {
		return nil
	}
	reports[silence.own] = silence.latest
	var gone []SilentHost
	for _, one := range expected {
		votes := countVotes(one, reports, func(report SilenceReport) []SilentHost { return report.Silent })
		if votes.silent >= minSilenceReports && votes.silent > votes.heard {
			gone = append(gone, newSilentHost(one, 0))
			silence.gone[gone[len(gone)-1].Host] = now
		}
	}
	return gone
}

// unlisted returns the hosts that were gone when they were last listed, and are no longer. The mutex is held.
func (silence *Silence) unlisted(before []SilentHost, expected []host.Host, now time.Time) []SilentHost {
	listed := make(map[uint64]bool, len(expected))
	if len(before) > 0 {
		for _, one := range expected {
			listed[xxhash.Sum64String(one.Name)] = true
		}
	}
	maps.DeleteFunc(silence.gone, func(_ uint64, at time.Time) bool { return now.Sub(at) >= goneMemory })
	var unlisted []SilentHost
	for _, gone := range before {
		if _, isRecent := silence.gone[gone.Host]; isRecent && !listed[gone.Host] {
			unlisted = append(unlisted, gone)
		}
	}
	return unlisted
}

// Omit returns the names of the hosts that callers are not sent to, in order. If all hosts seem to be
// gone, none is left out. While no watcher is heard, what was last known stays, so that a host that is
// gone is not named again because the watchers are cut off.
func (silence *Silence) Omit(hosts, watchers []host.Host, now time.Time) []string {
	silence.mutex.Lock()
	defer silence.mutex.Unlock()
	reports := silence.currentReports(hosts, watchers, now)
	isWatcher := slices.ContainsFunc(watchers, func(one host.Host) bool { return one.Name == silence.own })
	gone := silence.omitted
	if len(reports) > 0 {
		gone = nil
	}
	for _, one := range hosts {
		isGone := slices.ContainsFunc(silence.latest.Gone, func(gone SilentHost) bool { return gone.is(one) })
		if !isWatcher {
			votes := countVotes(one, reports, func(report SilenceReport) []SilentHost { return report.Gone })
			isGone = votes.silent > votes.heard
		}
		if isGone && len(reports) > 0 && one.Name != silence.own {
			gone = append(gone, newSilentHost(one, 0))
		}
	}
	silence.omitted = gone
	return silence.names(hosts)
}

// names returns the names of the omitted ones among hosts, in order; none if all are. The mutex is held.
func (silence *Silence) names(hosts []host.Host) []string {
	var omitted []string
	for _, one := range hosts {
		if slices.ContainsFunc(silence.omitted, func(gone SilentHost) bool { return gone.is(one) }) {
			omitted = append(omitted, one.Name)
		}
	}
	if len(omitted) == len(hosts) {
		return nil
	}
	slices.Sort(omitted)
	return omitted
}

// currentReports returns the reports of the other watchers that count, by name: none if the local host is a watcher
// that is cut off itself. The mutex is held.
func (silence *Silence) currentReports(hosts, watchers []host.Host, now time.Time) map[string]SilenceReport {
	reports := make(map[string]SilenceReport, len(watchers))
	if silence.isCutOff(silence.latest, hosts) {
		return reports
	}
	for _, watcher := range watchers {
		report, ok := silence.reports[watcher.Name]
		if ok && watcher.Name != silence.own && now.Sub(report.at) < reportTTL && !silence.isCutOff(report.SilenceReport, hosts) {
			reports[watcher.Name] = report.SilenceReport
		}
	}
	return reports
}

// isCutOff reports whether a watcher hears too few of the other hosts for its report to count.
func (silence *Silence) isCutOff(report SilenceReport, hosts []host.Host) bool {
	if len(report.Silent) == 0 {
		return false
	}
	var others, heard float64
	for _, one := range hosts {
		if one.Name == silence.own {
			continue
		}
		others++
		if !slices.ContainsFunc(report.Silent, func(silent SilentHost) bool { return silent.is(one) }) {
			heard++
		}
	}
	return heard < minHeardShare*others
}

// votes counts the watchers by what they say of a host.
type votes struct {
	silent int
	heard  int
}

// countVotes counts the reports whose list, as selected, has a host. The host's own does not count.
func countVotes(one host.Host, reports map[string]SilenceReport, list func(SilenceReport) []SilentHost) votes {
	var counted votes
	for watcher, report := range reports {
		switch {
		case watcher == one.Name:
		case slices.ContainsFunc(list(report), func(listed SilentHost) bool { return listed.is(one) }):
			counted.silent++
		default:
			counted.heard++
		}
	}
	return counted
}

func newSilentHost(one host.Host, silentFor time.Duration) SilentHost {
	return SilentHost{xxhash.Sum64String(one.Name), one.Incarnation, silentFor.Milliseconds()}
}

// is reports whether the entry is about a process of a host.
func (silent SilentHost) is(one host.Host) bool {
	return silent.Incarnation == one.Incarnation && silent.Host == xxhash.Sum64String(one.Name)
}

// sameHosts reports whether two lists have the same hosts, however long these are silent.
func sameHosts(a, b []SilentHost) bool {
	return slices.EqualFunc(a, b, func(a, b SilentHost) bool { return a.Host == b.Host && a.Incarnation == b.Incarnation })
}

// Watchers returns the hosts that watch the store directly and report silent hosts. In fleets of up
// to smallFleetHosts these are all hosts.
func (roster *Roster) Watchers(now time.Time) []host.Host {
	live := roster.Live(now)
	if len(live) <= smallFleetHosts {
		return live
	}
	return watchers(live)
}

// ExpectedSenders returns the other entry hosts if the local host is a watcher, otherwise none. They send
// messages to all watchers regularly, whether or not they have requests; the silence of other hosts matters
// to no caller. They are in order, as reports are compared.
func (roster *Roster) ExpectedSenders(entryHosts, watchers []host.Host) []host.Host {
	own := roster.Own()
	isOwn := func(one host.Host) bool { return one.Name == own.Name }
	if !slices.ContainsFunc(watchers, isOwn) {
		return nil
	}
	expected := slices.DeleteFunc(slices.Clone(entryHosts), isOwn)
	slices.SortFunc(expected, func(a, b host.Host) int { return cmp.Compare(a.Name, b.Name) })
	return expected
}
