package member

import (
	"maps"
	"slices"
	"time"

	"primrosegw/core/host"
)

// probe is a ping that waits for a sign of life.
type probe struct {
	started time.Time
	// asked is set once other hosts were asked to check.
	asked bool
}

// pingLocal pings the next hosts of the own failure domain. The round visits
// each host once in a random order before any host again, which bounds the
// time to the first ping of a dead one.
func (member *Member) pingLocal(now time.Time) {
	if !member.joined() {
		member.pingSeeds(now)
		return
	}
	for range min(member.options.Fanout, len(member.current().local)) {
		target, found := member.nextLocal()
		if !found {
			return
		}
		member.probeHost(target.Name, now)
	}
}

// nextLocal returns the next host of the round.
func (member *Member) nextLocal() (host.Host, bool) {
	for range 2 {
		for len(member.ring) > 0 {
			name := member.ring[0]
			member.ring = member.ring[1:]
			if entry := member.records[name]; entry != nil && entry.live() && member.local(entry.host) {
				return entry.host, true
			}
		}
		member.ring = slices.Clone(member.current().local)
		member.options.Random.Shuffle(len(member.ring), func(i, j int) {
			member.ring[i], member.ring[j] = member.ring[j], member.ring[i]
		})
	}
	return host.Host{}, false
}

// joined reports whether any other live host is known.
func (member *Member) joined() bool { return member.current().live > 1 }

// pingSeeds pings a few seeds at random.
func (member *Member) pingSeeds(now time.Time) {
	seeds := member.allSeeds()
	for range min(member.options.Fanout, len(seeds)) {
		at := member.options.Random.IntN(len(seeds))
		member.ping(seeds[at], now)
		seeds = slices.Delete(seeds, at, at+1)
	}
}

// pingForeign pings a relay of the next other failure domains. Where the
// relays are in doubt it pings further hosts too, since the whole domain may
// be lost and its relays would be replaced one pair at a time.
func (member *Member) pingForeign(now time.Time) {
	view := member.current()
	for range min(foreignFanout, len(view.domains)) {
		domain := member.nextDomain()
		relays := view.relays[domain]
		if len(relays) == 0 {
			continue
		}
		chosen := relays[member.options.Random.IntN(len(relays))]
		member.probeHost(chosen, now)
		if slices.ContainsFunc(relays, member.doubted) {
			member.sweep(domain, now)
		}
	}
}

// nextDomain returns the next other failure domain of the round.
func (member *Member) nextDomain() string {
	if len(member.domains) == 0 {
		member.domains = slices.Clone(member.current().domains)
		member.options.Random.Shuffle(len(member.domains), func(i, j int) {
			member.domains[i], member.domains[j] = member.domains[j], member.domains[i]
		})
	}
	domain := member.domains[0]
	member.domains = member.domains[1:]
	return domain
}

// doubted reports whether a host is dead or suspected or has a probe without answer.
func (member *Member) doubted(name string) bool {
	entry := member.records[name]
	running := member.probes[name]
	return entry == nil || !entry.live() || !entry.suspected.IsZero() || (running != nil && running.asked)
}

// sweep pings some more hosts of a domain.
func (member *Member) sweep(domain string, now time.Time) {
	var names []string
	for _, entry := range member.order {
		if entry.live() && entry.host.FailureDomain == domain && entry.suspected.IsZero() {
			names = append(names, entry.host.Name)
		}
	}
	for range min(sweepFanout, len(names)) {
		at := member.options.Random.IntN(len(names))
		member.probeHost(names[at], now)
		names = slices.Delete(names, at, at+1)
	}
}

// pingLost pings one dead host or seed that isn't a member, so that parts of
// the system that lost sight of each other meet again.
func (member *Member) pingLost(now time.Time) {
	var lost []host.Host
	for _, entry := range member.order {
		if !entry.live() && entry.host.LinkAddress != "" {
			lost = append(lost, entry.host)
		}
	}
	for _, seed := range member.allSeeds() {
		if seed.Name != "" && member.records[seed.Name] == nil {
			lost = append(lost, seed)
		}
	}
	if len(lost) > 0 {
		member.ping(lost[member.options.Random.IntN(len(lost))], now)
	}
}

// contest notes that others call a host alive that this host calls dead, or
// the other way round. Only the host itself can settle that, so it is asked.
func (member *Member) contest(known *record) {
	if len(member.contested) >= hostLimit || known.host.LinkAddress == "" {
		return
	}
	if !slices.Contains(member.contested, known.host.Name) {
		member.contested = append(member.contested, known.host.Name)
	}
}

// settleContested pings some contested hosts. A host that this one calls dead
// gets the report of its death with the ping, and refutes it; one that this
// host calls alive is suspected if it doesn't answer.
func (member *Member) settleContested(now time.Time) {
	count := min(contestLimit, len(member.contested))
	for _, name := range member.contested[:count] {
		member.probeHost(name, now)
	}
	member.contested = member.contested[count:]
}

// probeHost pings a known host and waits for its answer.
func (member *Member) probeHost(name string, now time.Time) {
	if entry := member.records[name]; entry != nil {
		member.ping(entry.host, now)
		member.watch(name, now)
	}
}

// watch starts to wait for a sign of life unless that is under way.
func (member *Member) watch(name string, now time.Time) {
	if member.probes[name] == nil {
		member.probes[name] = &probe{started: now}
	}
}

// ping queues a ping.
func (member *Member) ping(target host.Host, now time.Time) {
	member.send(target, Message{Kind: Ping}, now)
}

// expireProbes asks other hosts to check those that did not answer, and
// suspects those that none of them reached.
func (member *Member) expireProbes(now time.Time) {
	if len(member.probes) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(member.probes)) {
		running := member.probes[name]
		entry := member.records[name]
		if entry == nil || !entry.live() || entry.answered(running.started) {
			delete(member.probes, name)
			continue
		}
		waited := now.Sub(running.started)
		if waited >= ackTimeout && !running.asked {
			running.asked = true
			member.askHelpers(entry.host, now)
		}
		if waited >= ackTimeout+checkTimeout {
			delete(member.probes, name)
			member.suspect(entry, member.self.Name, now)
		}
	}
}

// answered reports a sign of life since a time.
func (record *record) answered(since time.Time) bool {
	return !record.heard.Before(since) || !record.vouched.Before(since)
}

// askHelpers pings a silent host again and asks other hosts to do so: one of
// its own failure domain, one of this host's, and one of a third, so that a
// single broken path is not taken for a dead host.
func (member *Member) askHelpers(target host.Host, now time.Time) {
	member.ping(target, now)
	groups := [helpers]func(host.Host) bool{
		func(other host.Host) bool { return other.FailureDomain == target.FailureDomain },
		func(other host.Host) bool { return member.local(other) },
		func(other host.Host) bool { return !member.local(other) && other.FailureDomain != target.FailureDomain },
	}
	asked := map[string]bool{target.Name: true}
	for _, group := range groups {
		member.askOne(target, asked, group, now)
	}
	anybody := func(host.Host) bool { return true }
	for len(asked) <= helpers {
		if !member.askOne(target, asked, anybody, now) {
			return
		}
	}
}

// askOne asks one helper out of a group and reports whether there was one.
func (member *Member) askOne(target host.Host, asked map[string]bool, group func(host.Host) bool, now time.Time) bool {
	var names []string
	for _, entry := range member.order {
		if entry.live() && entry.suspected.IsZero() && !asked[entry.host.Name] && group(entry.host) {
			names = append(names, entry.host.Name)
		}
	}
	if len(names) == 0 {
		return false
	}
	name := names[member.options.Random.IntN(len(names))]
	asked[name] = true
	member.send(member.records[name].host, Message{Kind: Check, Target: target.Name}, now)
	return true
}
