package spread

import (
	"slices"
	"time"

	"primrosegw/core/host"
)

// Confirmed returns the names of the hosts known to have applied at least the
// given generation, and those of the other live hosts. Heartbeats provide this
// for the host's own failure domain. While Confirmed is called repeatedly, the
// other hosts are queried directly. A host's report counts for its current
// incarnation only.
func (distributor *Distributor) Confirmed(generation uint64) (confirmed, waiting []string) {
	now := time.Now()
	distributor.mutex.Lock()
	defer distributor.mutex.Unlock()
	for _, other := range distributor.options.Hosts() {
		switch {
		case distributor.hasApplied(other, generation):
			confirmed = append(confirmed, other.Name)
		case other.State != host.Dead:
			waiting = append(waiting, other.Name)
		}
	}
	if generation != distributor.queriedGeneration || !now.Before(distributor.queryUntil) {
		distributor.queriedGeneration, distributor.nextQuery = generation, now
		clear(distributor.lastQueried)
		distributor.wakeRun()
	}
	distributor.queryUntil = now.Add(statusQueryDuration)
	return confirmed, waiting
}

// Unreached returns the names of the hosts considered dead that have not
// confirmed a generation. Such a host may still be running behind a network
// partition, with an older generation in force.
func (distributor *Distributor) Unreached(generation uint64) []string {
	distributor.mutex.Lock()
	defer distributor.mutex.Unlock()
	var names []string
	for _, other := range distributor.options.Hosts() {
		if other.State == host.Dead && !distributor.hasApplied(other, generation) {
			names = append(names, other.Name)
		}
	}
	return names
}

// hasApplied reports whether a host is known to have applied a generation.
func (distributor *Distributor) hasApplied(other host.Host, generation uint64) bool {
	if other.Name == distributor.options.Self().Name {
		return distributor.current.Generation >= generation
	}
	report, found := distributor.reports[other.Name]
	return found && report.host.Incarnation == other.Incarnation && report.generation >= generation
}

// sendStatusRequests queries a batch of the hosts that have not confirmed.
func (distributor *Distributor) sendStatusRequests(now time.Time) {
	if !now.Before(distributor.queryUntil) || distributor.nextQuery.After(now) {
		return
	}
	distributor.nextQuery = now.Add(statusQueryInterval)
	sent := 0
	for _, other := range distributor.options.Hosts() {
		recentlyQueried := now.Sub(distributor.lastQueried[other.Name]) < statusQueryRetry
		if sent >= statusQueryBatch || recentlyQueried || other.State == host.Dead ||
			distributor.hasApplied(other, distributor.queriedGeneration) {
			continue
		}
		distributor.lastQueried[other.Name] = now
		distributor.enqueue(other, Message{Kind: StatusRequest})
		sent++
	}
}

// LaggingHosts returns the names of hosts last reported at an older generation
// than the one in force on this host, for metrics.
func (distributor *Distributor) LaggingHosts() []string {
	distributor.mutex.Lock()
	defer distributor.mutex.Unlock()
	var names []string
	for name, report := range distributor.reports {
		if report.generation < distributor.current.Generation {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
