// Package idstep learns by how much the IDs of events increase in the streams of a service's servers. Where a stream
// goes on at another server, its next ID shows whether an event is missing only if that step is known. Servers may
// number events one by one, by the tokens generated so far, or unevenly.
package idstep

import (
	"slices"
	"sync"
	"time"
)

const (
	// Default is the step if none has been observed.
	Default = 1
	// SamplesPerResponse is how many steps of a response are to be observed, so that long ones do not outweigh
	// the others.
	SamplesPerResponse = 4
	// maxSamples is the number of steps that are remembered for a version, enoughSamples the number from which
	// on this host's own count for more than what other hosts tell.
	maxSamples    = 64
	enoughSamples = 8
	// commonPercent is the share of steps that are no larger than the usual one. A server that leaves out events
	// now and then adds to the others.
	commonPercent = 90
	// maxVersions limits the number of versions that are remembered.
	maxVersions = 256
	// reports is how often a step is told, at so many rounds, as single datagrams are lost, and reportInterval
	// the shortest time until a further change is.
	reports        = 3
	reportInterval = 200 * time.Millisecond
	// maxReports limits the number of reports in one message, and maxNameBytes the names in one.
	maxReports   = 16
	maxNameBytes = 256
)

// Version is a version of the software of a service's servers.
type Version struct{ Service, Version string }

// Report tells other hosts the usual step of a version.
type Report struct {
	Service string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	Step    int64  `cbor:"3,keyasint"`
}

// Registry holds the steps that were observed. It is safe for concurrent use.
type Registry struct {
	mutex    sync.Mutex
	versions map[Version]*observed
}

// observed is what is known of a version.
type observed struct {
	// samples are the latest steps, next the index of the oldest one once there are maxSamples.
	samples []int64
	next    int
	// own is the usual step among the samples, 0 if there are none. isUniform: all are the same.
	own       int64
	isUniform bool
	// told is what this host or another one has told last, 0: nothing.
	told int64
	// left is how often it is still to be told by this host, and toldAt when it began.
	left   int
	toldAt time.Time
	usedAt time.Time
}

// New returns a registry without steps.
func New() *Registry { return &Registry{versions: make(map[Version]*observed)} }

// Observe records a step between two events of one response. It reports whether the other hosts are to be
// told at once.
func (registry *Registry) Observe(version Version, step int64, now time.Time) (isNews bool) {
	if step <= 0 {
		return false
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	known := registry.use(version, now)
	known.add(step)
	return known.tellNews(now)
}

// add adds a step to the samples, in place of the oldest one if there are maxSamples.
func (known *observed) add(step int64) {
	if len(known.samples) < maxSamples {
		known.samples = append(known.samples, step)
		known.summarize()
		return
	}
	replaced := known.samples[known.next]
	known.samples[known.next] = step
	known.next = (known.next + 1) % maxSamples
	if replaced != step {
		known.summarize()
	}
}

// summarize updates what follows from the samples.
func (known *observed) summarize() {
	sorted := slices.Sorted(slices.Values(known.samples))
	known.own = sorted[(len(sorted)-1)*commonPercent/100]
	known.isUniform = sorted[0] == sorted[len(sorted)-1]
}

// tellNews makes the usual step be told if it is not what the hosts know. Uneven steps differ from host to host:
// a smaller one is told only if it is far smaller.
func (known *observed) tellNews(now time.Time) bool {
	own, told := known.own, max(known.told, Default)
	if own <= told && own > told/2 || now.Sub(known.toldAt) < reportInterval {
		return false
	}
	known.told, known.left, known.toldAt = own, reports, now
	return true
}

// Usual returns the largest step that is usual in streams of a version, Default if none is known.
func (registry *Registry) Usual(version Version) int64 {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	known := registry.versions[version]
	switch {
	case known == nil:
		return Default
	case len(known.samples) >= enoughSamples:
		return max(known.own, Default)
	}
	return max(known.own, known.told, Default)
}

// IsEven reports whether this host has seen enough steps of a version, and all were the same.
func (registry *Registry) IsEven(version Version) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	known := registry.versions[version]
	return known != nil && len(known.samples) >= enoughSamples && known.isUniform
}

// TakeDue returns what the other hosts are to be told now, in messages.
func (registry *Registry) TakeDue() [][]Report {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	var due []Report
	for version, known := range registry.versions {
		if known.left > 0 {
			known.left--
			due = append(due, Report{Service: version.Service, Version: version.Version, Step: known.told})
		}
	}
	return slices.Collect(slices.Chunk(due, maxReports))
}

// Newest returns the steps other than Default of the versions used last, for a host that starts, at most as many
// as a message holds.
func (registry *Registry) Newest() []Report {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	var versions []Version
	for version, known := range registry.versions {
		if known.told > Default {
			versions = append(versions, version)
		}
	}
	slices.SortFunc(versions, func(a, b Version) int { return registry.versions[b].usedAt.Compare(registry.versions[a].usedAt) })
	var newest []Report
	for _, version := range versions[:min(len(versions), maxReports)] {
		newest = append(newest, Report{Service: version.Service, Version: version.Version, Step: registry.versions[version].told})
	}
	return newest
}

// Apply takes what another host tells, and returns what of it is new.
func (registry *Registry) Apply(told []Report, now time.Time) (learned []Report) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, report := range told[:min(len(told), maxReports)] {
		if report.Step < Default || len(report.Service) > maxNameBytes || len(report.Version) > maxNameBytes {
			continue
		}
		known := registry.use(Version{Service: report.Service, Version: report.Version}, now)
		// Of two hosts that tell the same, one goes on.
		if known.told == report.Step {
			known.left = 0
			continue
		}
		known.told, known.toldAt = report.Step, now
		learned = append(learned, report)
	}
	return learned
}

// use returns what is known of a version, and makes room for it. The mutex is held.
func (registry *Registry) use(version Version, now time.Time) *observed {
	known := registry.versions[version]
	if known == nil {
		registry.evict()
		known = &observed{}
		registry.versions[version] = known
	}
	known.usedAt = now
	return known
}

// evict forgets the version that was not used for longest if there is no room for another one. The mutex is held.
func (registry *Registry) evict() {
	if len(registry.versions) < maxVersions {
		return
	}
	var oldest Version
	var oldestAt time.Time
	for version, known := range registry.versions {
		if oldestAt.IsZero() || known.usedAt.Before(oldestAt) {
			oldest, oldestAt = version, known.usedAt
		}
	}
	delete(registry.versions, oldest)
}
