package member

import (
	"maps"
	"slices"
	"time"

	"primrosegw/core/host"
)

// probe is a pending ping.
type probe struct {
	started time.Time
	// indirect is set once other hosts were asked to ping the target.
	indirect bool
}

// pingLocal pings the next hosts of the own failure domain. A round visits each host once
// in random order, which bounds the time until a dead host is first pinged.
func (member *Member) pingLocal(now time.Time) {
	if !member.knowsPeers() {
		member.pingSeeds(now)
		return
	}
	for range min(member.options.Fanout, len(member.currentView().localNames)) {
		target, found := member.nextLocal()
		if !found {
			return
		}
		member.probeHost(target.Name, now)
	}
}

// nextLocal returns the next host of the round, and starts a new round if necessary.
func (member *Member) nextLocal() (host.Host, bool) {
	for range 2 {
		for len(member.localRound) > 0 {
			name := member.localRound[0]
			member.localRound = member.localRound[1:]
			if entry := member.records[name]; entry != nil && entry.live() && member.isLocal(entry.host) {
				return entry.host, true
			}
		}
		member.localRound = slices.Clone(member.currentView().localNames)
		member.options.Random.Shuffle(len(member.localRound), func(i, j int) {
			member.localRound[i], member.localRound[j] = member.localRound[j], member.localRound[i]
		})
	}
	return host.Host{}, false
}

// knowsPeers reports whether any other live host is known.
func (member *Member) knowsPeers() bool { return member.currentView().liveCount > 1 }

// pingSeeds pings up to Fanout random seeds.
func (member *Member) pingSeeds(now time.Time) {
	seeds := member.allSeeds()
	for range min(member.options.Fanout, len(seeds)) {
		index := member.options.Random.IntN(len(seeds))
		member.ping(seeds[index], now)
		seeds = slices.Delete(seeds, index, index+1)
	}
}

// pingRemote pings a relay in each of the next remoteFanout failure domains. If a relay
// is possibly down it also probes other hosts there: when the whole domain is lost, its
// dead relays would otherwise be replaced and detected only one pair at a time.
func (member *Member) pingRemote(now time.Time) {
	view := member.currentView()
	for range min(remoteFanout, len(view.remoteDomains)) {
		domain := member.nextDomain()
		relays := view.relays[domain]
		if len(relays) == 0 {
			continue
		}
		relay := relays[member.options.Random.IntN(len(relays))]
		member.probeHost(relay, now)
		if slices.ContainsFunc(relays, member.possiblyDown) {
			member.probeDomain(domain, now)
		}
	}
}

// nextDomain returns the next remote failure domain of the round.
func (member *Member) nextDomain() string {
	if len(member.domainRound) == 0 {
		member.domainRound = slices.Clone(member.currentView().remoteDomains)
		member.options.Random.Shuffle(len(member.domainRound), func(i, j int) {
			member.domainRound[i], member.domainRound[j] = member.domainRound[j], member.domainRound[i]
		})
	}
	domain := member.domainRound[0]
	member.domainRound = member.domainRound[1:]
	return domain
}

// possiblyDown reports whether a host is unknown, dead, suspected or being pinged
// indirectly.
func (member *Member) possiblyDown(name string) bool {
	entry := member.records[name]
	pending := member.probes[name]
	return entry == nil || !entry.live() || !entry.suspectedAt.IsZero() || (pending != nil && pending.indirect)
}

// probeDomain probes a few random hosts of a domain that are not suspected.
func (member *Member) probeDomain(domain string, now time.Time) {
	var names []string
	for _, entry := range member.order {
		if entry.live() && entry.host.FailureDomain == domain && entry.suspectedAt.IsZero() {
			names = append(names, entry.host.Name)
		}
	}
	for range min(domainProbeFanout, len(names)) {
		index := member.options.Random.IntN(len(names))
		member.probeHost(names[index], now)
		names = slices.Delete(names, index, index+1)
	}
}

// pingUnreachable pings one dead host or seed that is not a member, so that the two sides
// of a network partition rejoin when it heals.
func (member *Member) pingUnreachable(now time.Time) {
	var unreachable []host.Host
	for _, entry := range member.order {
		if !entry.live() && entry.host.LinkAddress != "" {
			unreachable = append(unreachable, entry.host)
		}
	}
	for _, seed := range member.allSeeds() {
		if seed.Name != "" && member.records[seed.Name] == nil {
			unreachable = append(unreachable, seed)
		}
	}
	if len(unreachable) > 0 {
		member.ping(unreachable[member.options.Random.IntN(len(unreachable))], now)
	}
}

// addConflict records that another host reports a host as alive that this one has as
// dead, or the reverse. Only the host itself can resolve this, so it is probed.
func (member *Member) addConflict(entry *record) {
	if len(member.conflicts) >= hostLimit || entry.host.LinkAddress == "" {
		return
	}
	if !slices.Contains(member.conflicts, entry.host.Name) {
		member.conflicts = append(member.conflicts, entry.host.Name)
	}
}

// probeConflicts probes some hosts with conflicting reports. A host that this one has as
// dead receives the report of its death with the ping and refutes it; one that it has as
// alive is suspected if it does not answer.
func (member *Member) probeConflicts(now time.Time) {
	count := min(conflictsPerTick, len(member.conflicts))
	for _, name := range member.conflicts[:count] {
		member.probeHost(name, now)
	}
	member.conflicts = member.conflicts[count:]
}

// probeHost pings a known host and starts a probe that waits for its answer.
func (member *Member) probeHost(name string, now time.Time) {
	if entry := member.records[name]; entry != nil {
		member.ping(entry.host, now)
		member.startProbe(name, now)
	}
}

// startProbe starts a probe of a host unless one is pending.
func (member *Member) startProbe(name string, now time.Time) {
	if member.probes[name] == nil {
		member.probes[name] = &probe{started: now}
	}
}

// ping queues a ping.
func (member *Member) ping(target host.Host, now time.Time) {
	member.send(target, Message{Kind: Ping}, now)
}

// expireProbes requests indirect pings for hosts that did not answer within ackTimeout,
// and suspects those that did not answer these within indirectTimeout either.
func (member *Member) expireProbes(now time.Time) {
	if len(member.probes) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(member.probes)) {
		pending := member.probes[name]
		entry := member.records[name]
		if entry == nil || !entry.live() || entry.respondedSince(pending.started) {
			delete(member.probes, name)
			continue
		}
		elapsed := now.Sub(pending.started)
		if elapsed >= ackTimeout && !pending.indirect {
			pending.indirect = true
			member.probeIndirectly(entry.host, now)
		}
		if elapsed >= ackTimeout+indirectTimeout {
			delete(member.probes, name)
			member.suspect(entry, member.self.Name, now)
		}
	}
}

// respondedSince reports whether a direct message or an IndirectAck has arrived since the
// given time.
func (record *record) respondedSince(since time.Time) bool {
	return !record.heardAt.Before(since) || !record.indirectAckAt.Before(since)
}

// probeIndirectly pings an unresponsive host again and asks other hosts to do so: one in
// its failure domain, one in this host's and one in a third, so that a single broken
// network path is not mistaken for a dead host.
func (member *Member) probeIndirectly(target host.Host, now time.Time) {
	member.ping(target, now)
	filters := [pingRequests]func(host.Host) bool{
		func(other host.Host) bool { return other.FailureDomain == target.FailureDomain },
		func(other host.Host) bool { return member.isLocal(other) },
		func(other host.Host) bool {
			return !member.isLocal(other) && other.FailureDomain != target.FailureDomain
		},
	}
	asked := map[string]bool{target.Name: true}
	for _, filter := range filters {
		member.requestPing(target, asked, filter, now)
	}
	anyHost := func(host.Host) bool { return true }
	for len(asked) <= pingRequests {
		if !member.requestPing(target, asked, anyHost, now) {
			return
		}
	}
}

// requestPing sends a PingRequest to one random host that satisfies the predicate, and
// reports whether there was one.
func (member *Member) requestPing(target host.Host, asked map[string]bool, filter func(host.Host) bool, now time.Time) bool {
	var names []string
	for _, entry := range member.order {
		if entry.live() && entry.suspectedAt.IsZero() && !asked[entry.host.Name] && filter(entry.host) {
			names = append(names, entry.host.Name)
		}
	}
	if len(names) == 0 {
		return false
	}
	name := names[member.options.Random.IntN(len(names))]
	asked[name] = true
	member.send(member.records[name].host, Message{Kind: PingRequest, Target: target.Name}, now)
	return true
}
