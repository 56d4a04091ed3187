// Package member keeps the list of entry hosts: who is alive, suspected,
// leaving or dead. It follows SWIM (Das, Gupta, Motivala): pings with a fixed
// fan-out, checks through other hosts, suspicion before death, and incarnation
// numbers that let a host refute a report about itself.
//
// Pings stay inside a failure domain. The two relays of each domain, the best
// hosts by rendezvous score, ping the relays of other domains, so that the
// traffic of a host does not grow with the fleet. Changes ride on pings and
// acks; a digest over all records on each message reveals what was missed.
package member

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/host"
)

// Member is the membership as one host sees it. Its methods may be called at
// the same time.
type Member struct {
	options Options

	mutex   sync.Mutex
	self    host.Host
	records map[string]*record
	// order holds the records by name, so that runs repeat exactly.
	order []*record
	// news are the records that are still passed on.
	news []*record
	// seeds are the hosts of the settings, listed those of the platform's list.
	seeds, listed map[string]host.Host
	// probes are the pings under way, by the name of the host.
	probes map[string]*probe
	// ring and domains are what is left of the current rounds.
	ring    []string
	domains []string
	// contested are hosts that others call alive and this host calls dead.
	contested []string
	// marked are the incarnations to which the host list's "leaving" applied.
	marked map[string]uint64
	// selfLocal and selfForeign count how often the own record is still sent.
	selfLocal, selfForeign int
	view                   view
	outbox                 []envelope
	changed                chan struct{}

	lastTick, lastHeartbeat, lastForeign, lastSlow, lastSync time.Time
}

// New returns a member that knows only itself and its seeds. It fails with
// Invalid, naming the option.
func New(options Options) (*Member, error) {
	options, err := options.check()
	if err != nil {
		return nil, err
	}
	member := &Member{
		options: options,
		self:    options.Self,
		records: map[string]*record{},
		seeds:   map[string]host.Host{},
		probes:  map[string]*probe{},
		marked:  map[string]uint64{},
		changed: make(chan struct{}),
	}
	for _, seed := range options.Seeds {
		member.addSeed(member.seeds, seed)
	}
	options.Log.Log(event.MemberStarted(), logrus.Fields{
		"seeds": len(member.seeds), "incarnation": member.self.Incarnation,
	})
	return member, nil
}

// Run drives the timers until the context ends.
func (member *Member) Run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	member.Tick()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			member.Tick()
		}
	}
}

// Tick does what is due now. Run calls it; tests may call it themselves, every
// 0.1 s.
func (member *Member) Tick() {
	now := time.Now()
	gap := member.tick(now)
	member.flush()
	if gap > 0 && member.options.Woke != nil {
		member.options.Woke(gap)
	}
}

// tick runs all timers and returns how long this host was paused, 0 if it was
// not.
func (member *Member) tick(now time.Time) time.Duration {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	gap := member.noticePause(now)
	member.expireProbes(now)
	member.expireSuspicions(now)
	member.settleContested(now)
	if now.Sub(member.lastHeartbeat) >= heartbeatPeriod {
		member.lastHeartbeat = now
		member.expireTombstones(now)
		member.expireNews(now)
		member.pingLocal(now)
	}
	if now.Sub(member.lastForeign) >= foreignPeriod && member.isRelay() {
		member.lastForeign = now
		member.pingForeign(now)
	}
	if now.Sub(member.lastSlow) >= slowPeriod && member.isRelay() {
		member.lastSlow = now
		member.pingLost(now)
	}
	return gap
}

// noticePause detects that no tick ran for a while. What this host believes of
// others is then as old as the pause: its probes prove nothing, its suspicions
// start again, and it announces itself with a new incarnation because others
// may have buried the old one.
func (member *Member) noticePause(now time.Time) time.Duration {
	gap := now.Sub(member.lastTick)
	first := member.lastTick.IsZero()
	member.lastTick = now
	if first || gap < pauseBound {
		return 0
	}
	clear(member.probes)
	for _, record := range member.records {
		if !record.suspected.IsZero() {
			record.suspected = now
		}
	}
	member.lastSync = time.Time{}
	member.raise(member.self.Incarnation)
	member.options.Log.Log(event.MemberPaused(), logrus.Fields{
		"gap_ms": gap.Milliseconds(), "incarnation": member.self.Incarnation,
	})
	return gap
}

// Self returns this host's own record.
func (member *Member) Self() host.Host {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	return member.self
}

// Hosts returns all known hosts with their states, this one included, ordered
// by name.
func (member *Member) Hosts() []host.Host {
	return member.list(func(host.Host) bool { return true })
}

// Alive returns the hosts that may own keys and take calls, ordered by name:
// those alive, this one included unless it is leaving, and those suspected but
// not yet found dead.
func (member *Member) Alive() []host.Host {
	return member.list(func(entry host.Host) bool {
		return entry.State == host.Alive || entry.State == host.Suspect
	})
}

// Relays returns the names of the relays of a failure domain.
func (member *Member) Relays(domain string) []string {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	return slices.Clone(member.current().relays[domain])
}

// Changed returns a channel that is closed at the next change of any host's
// state. Each waiter asks for a channel, then reads the state, then waits.
func (member *Member) Changed() <-chan struct{} {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	return member.changed
}

// Leave marks this host as leaving and tells its failure domain and the relays
// of the others at once. It cannot be taken back.
func (member *Member) Leave() {
	member.mutex.Lock()
	member.leave()
	member.mutex.Unlock()
	member.flush()
}

// leave turns the own state and queues the announcement.
func (member *Member) leave() {
	if member.self.State == host.Leaving {
		return
	}
	member.self.State = host.Leaving
	member.announceSelf()
	member.options.Log.Log(event.MemberLeaving(), logrus.Fields{"name": member.self.Name})
	now := time.Now()
	for _, record := range member.order {
		if record.live() && (member.local(record.host) || member.relayOf(record.host)) {
			member.ping(record.host, now)
		}
	}
}

// MarkListed takes the platform's whole host list. The names on it become
// seeds, in place of those of the last list. A host that the list calls leaving
// is leaving for its present incarnation.
func (member *Member) MarkListed(listed []host.Host) {
	member.mutex.Lock()
	marked := member.marked
	member.listed, member.marked = map[string]host.Host{}, map[string]uint64{}
	for _, entry := range listed {
		if entry.State != host.Leaving {
			member.addSeed(member.listed, entry)
			continue
		}
		member.marked[entry.Name] = member.markLeaving(entry, marked[entry.Name])
	}
	member.mutex.Unlock()
	member.flush()
}

// markLeaving takes a line of the host list that says "leaving" and returns the
// incarnation it applied to, 0 if none yet. The list lags and has no
// incarnations, so the line doesn't apply to a process that is younger than the
// lag, nor to the process after the one it has been applied to.
func (member *Member) markLeaving(entry host.Host, applied uint64) uint64 {
	subject := member.self
	if entry.Name != member.self.Name {
		record := member.records[entry.Name]
		if record == nil || !record.live() {
			return applied
		}
		subject = record.host
	}
	if applied > 0 || member.young(subject) {
		return applied
	}
	subject.State = host.Leaving
	member.merge(describe(subject, "", true), time.Now())
	return subject.Incarnation
}

// young reports whether a process started within the host list's lag.
func (member *Member) young(subject host.Host) bool {
	started := time.UnixMilli(int64(subject.Incarnation))
	return time.Since(started) < listLag
}

// addSeed keeps a host to ask when nobody else is known.
func (member *Member) addSeed(seeds map[string]host.Host, seed host.Host) {
	if seed.Name == member.self.Name || seed.LinkAddress == "" || len(seeds) >= hostLimit {
		return
	}
	if seed.LinkAddress == member.self.LinkAddress && seed.Name == "" {
		return
	}
	seeds[seed.Name+"@"+seed.LinkAddress] = seed
}

// allSeeds returns the seeds of the settings and of the host list, in order.
func (member *Member) allSeeds() []host.Host {
	all := maps.Clone(member.listed)
	if all == nil {
		all = map[string]host.Host{}
	}
	maps.Copy(all, member.seeds)
	seeds := make([]host.Host, 0, len(all))
	for _, key := range slices.Sorted(maps.Keys(all)) {
		seeds = append(seeds, all[key])
	}
	return seeds
}

// list returns the hosts that a test lets through, ordered by name.
func (member *Member) list(test func(host.Host) bool) []host.Host {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	all := make([]host.Host, 0, len(member.order)+1)
	all = append(all, member.self)
	for _, entry := range member.order {
		all = append(all, entry.host)
	}
	all = slices.DeleteFunc(all, func(entry host.Host) bool { return !test(entry) })
	slices.SortFunc(all, byName)
	return all
}

// notify drops the cached view and wakes waiters. A suspicion only wakes them:
// a suspected host counts like one alive in the view.
func (member *Member) notify() {
	member.view.valid = false
	member.wake()
}

// wake wakes everybody who waits for a change.
func (member *Member) wake() {
	close(member.changed)
	member.changed = make(chan struct{})
}
