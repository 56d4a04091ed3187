// Package member maintains the list of entry hosts and whether each is alive, suspected,
// leaving or dead. It implements SWIM (Das, Gupta, Motivala): pings with a fixed fan-out,
// indirect pings through other hosts, suspicion before death, and incarnation numbers
// that let a host refute a report about itself.
//
// Pings stay inside a failure domain. The two relays of each domain, its best hosts by
// rendezvous score, ping the relays of the other domains, so that the traffic of a host
// does not grow with the fleet. Updates are piggybacked on pings and acks; a digest of
// all live records in each message reveals missed updates.
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

// Member is the membership as seen by one host. Its methods are safe for concurrent use.
type Member struct {
	options Options

	mutex   sync.Mutex
	self    host.Host
	records map[string]*record
	// order holds the records sorted by name, which makes runs deterministic.
	order []*record
	// updates are the records that are still being disseminated.
	updates []*record
	// seeds come from the settings, listedSeeds from the platform's host list.
	seeds, listedSeeds map[string]host.Host
	// probes are the pending probes by host name.
	probes map[string]*probe
	// localRound and domainRound hold the hosts and failure domains not yet pinged in the
	// current rounds.
	localRound  []string
	domainRound []string
	// conflicts are the hosts that another host reports as alive and this one as dead, or
	// the reverse.
	conflicts []string
	// appliedLeaving holds the incarnation of each host to which the host list's
	// "leaving" was applied, or 0 if it has not been applied yet.
	appliedLeaving map[string]uint64
	// selfLocalTransmits and selfRemoteTransmits are the remaining transmissions of this
	// host's own record inside and outside its failure domain.
	selfLocalTransmits, selfRemoteTransmits int
	view                                    view
	outbox                                  []envelope
	changed                                 chan struct{}

	lastTick, lastHeartbeat, lastRemote, lastRejoin, lastSync time.Time
}

// New returns a member that knows only itself and its seeds. For an invalid option it
// returns an error of kind Invalid that names the option.
func New(options Options) (*Member, error) {
	options, err := options.validate()
	if err != nil {
		return nil, err
	}
	member := &Member{
		options:        options,
		self:           options.Self,
		records:        map[string]*record{},
		seeds:          map[string]host.Host{},
		probes:         map[string]*probe{},
		appliedLeaving: map[string]uint64{},
		changed:        make(chan struct{}),
	}
	for _, seed := range options.Seeds {
		member.addSeed(member.seeds, seed)
	}
	options.Log.Log(event.MemberStarted(), logrus.Fields{
		"seeds": len(member.seeds), "incarnation": member.self.Incarnation,
	})
	return member, nil
}

// Run calls Tick immediately and then every tickPeriod until ctx is done.
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

// Tick runs the timers that are due. Run calls it; tests may call it directly,
// every 100 ms.
func (member *Member) Tick() {
	now := time.Now()
	gap := member.tick(now)
	member.flush()
	if gap > 0 && member.options.OnResume != nil {
		member.options.OnResume(gap)
	}
}

// tick runs the timers that are due and returns how long this host was paused, or 0 if it
// was not.
func (member *Member) tick(now time.Time) time.Duration {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	gap := member.detectPause(now)
	member.expireProbes(now)
	member.expireSuspicions(now)
	member.probeConflicts(now)
	if now.Sub(member.lastHeartbeat) >= heartbeatPeriod {
		member.lastHeartbeat = now
		member.expireTombstones(now)
		member.expireUpdates(now)
		member.pingLocal(now)
	}
	if now.Sub(member.lastRemote) >= remotePeriod && member.actsAsRelay() {
		member.lastRemote = now
		member.pingRemote(now)
	}
	if now.Sub(member.lastRejoin) >= rejoinPeriod && member.actsAsRelay() {
		member.lastRejoin = now
		member.pingUnreachable(now)
	}
	return gap
}

// detectPause detects that no tick ran for at least pauseThreshold. This host's knowledge
// of others is then as old as the pause: it discards its pending probes, restarts its
// suspicion timers, and announces itself with a new incarnation because others may have
// declared the old one dead.
func (member *Member) detectPause(now time.Time) time.Duration {
	gap := now.Sub(member.lastTick)
	first := member.lastTick.IsZero()
	member.lastTick = now
	if first || gap < pauseThreshold {
		return 0
	}
	clear(member.probes)
	for _, record := range member.records {
		if !record.suspectedAt.IsZero() {
			record.suspectedAt = now
		}
	}
	member.lastSync = time.Time{}
	member.raiseIncarnation(member.self.Incarnation)
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

// Hosts returns all known hosts with their states, including this one, sorted by name.
func (member *Member) Hosts() []host.Host {
	return member.list(func(host.Host) bool { return true })
}

// Alive returns the hosts that may own keys and take calls, sorted by name: those alive
// or suspected, including this one unless it is leaving.
func (member *Member) Alive() []host.Host {
	return member.list(func(entry host.Host) bool {
		return entry.State == host.Alive || entry.State == host.Suspect
	})
}

// Relays returns the names of the relays of a failure domain.
func (member *Member) Relays(domain string) []string {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	return slices.Clone(member.currentView().relays[domain])
}

// Changed returns a channel that is closed at the next change of any host's state. A
// waiter must get the channel before it reads the state, or it can miss a change.
func (member *Member) Changed() <-chan struct{} {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	return member.changed
}

// Leave marks this host as leaving and immediately notifies its failure domain and the
// relays of the other domains. It cannot be undone.
func (member *Member) Leave() {
	member.mutex.Lock()
	member.leave()
	member.mutex.Unlock()
	member.flush()
}

// leave sets the own state to leaving and queues the announcement.
func (member *Member) leave() {
	if member.self.State == host.Leaving {
		return
	}
	member.self.State = host.Leaving
	member.announceSelf()
	member.options.Log.Log(event.MemberLeaving(), logrus.Fields{"name": member.self.Name})
	now := time.Now()
	for _, record := range member.order {
		if record.live() && (member.isLocal(record.host) || member.isDomainRelay(record.host)) {
			member.ping(record.host, now)
		}
	}
}

// ApplyHostList applies the platform's complete host list. Its hosts that are not leaving
// become seeds and replace those of the previous list. A host listed as leaving is marked
// as leaving for its current incarnation.
func (member *Member) ApplyHostList(listed []host.Host) {
	member.mutex.Lock()
	applied := member.appliedLeaving
	member.listedSeeds, member.appliedLeaving = map[string]host.Host{}, map[string]uint64{}
	for _, entry := range listed {
		if entry.State != host.Leaving {
			member.addSeed(member.listedSeeds, entry)
			continue
		}
		member.appliedLeaving[entry.Name] = member.applyListedLeaving(entry, applied[entry.Name])
	}
	member.mutex.Unlock()
	member.flush()
}

// applyListedLeaving applies a "leaving" entry of the host list and returns the
// incarnation to which it was applied, or 0 if there is none yet. The list lags behind
// and has no incarnations, so the entry is not applied to a process that started within
// hostListLag, nor to a later process after it has been applied once.
func (member *Member) applyListedLeaving(entry host.Host, applied uint64) uint64 {
	subject := member.self
	if entry.Name != member.self.Name {
		record := member.records[entry.Name]
		if record == nil || !record.live() {
			return applied
		}
		subject = record.host
	}
	if applied > 0 || member.recentlyStarted(subject) {
		return applied
	}
	subject.State = host.Leaving
	member.merge(newDelta(subject, "", true), time.Now())
	return subject.Incarnation
}

// recentlyStarted reports whether the host's process started within hostListLag. The
// incarnation is derived from the start time in milliseconds.
func (member *Member) recentlyStarted(subject host.Host) bool {
	started := time.UnixMilli(int64(subject.Incarnation))
	return time.Since(started) < hostListLag
}

// addSeed adds a seed unless it is this host, has no address, or the limit of seeds is
// reached.
func (member *Member) addSeed(seeds map[string]host.Host, seed host.Host) {
	if seed.Name == member.self.Name || seed.LinkAddress == "" || len(seeds) >= hostLimit {
		return
	}
	if seed.LinkAddress == member.self.LinkAddress && seed.Name == "" {
		return
	}
	seeds[seed.Name+"@"+seed.LinkAddress] = seed
}

// allSeeds returns the seeds of the settings and of the host list, sorted by name and
// address.
func (member *Member) allSeeds() []host.Host {
	all := maps.Clone(member.listedSeeds)
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

// list returns the hosts that satisfy the predicate, sorted by name.
func (member *Member) list(predicate func(host.Host) bool) []host.Host {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	all := make([]host.Host, 0, len(member.order)+1)
	all = append(all, member.self)
	for _, entry := range member.order {
		all = append(all, entry.host)
	}
	all = slices.DeleteFunc(all, func(entry host.Host) bool { return !predicate(entry) })
	slices.SortFunc(all, compareNames)
	return all
}

// invalidateView drops the cached view and notifies waiters. A new suspicion needs only
// notifyWaiters because the view treats a suspected host as alive.
func (member *Member) invalidateView() {
	member.view.valid = false
	member.notifyWaiters()
}

// notifyWaiters closes the channel returned by Changed and replaces it.
func (member *Member) notifyWaiters() {
	close(member.changed)
	member.changed = make(chan struct{})
}
