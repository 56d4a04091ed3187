package emul

import (
	"cmp"
	"slices"
	"time"

	"primrosegw/core/ending"
	"primrosegw/core/table"
	"primrosegw/standin/framing"
)

// Phase is what goes on while a response ends.
type Phase string

// The phases. The first one in the order of Phases that fits counts.
const (
	// Calm: nothing of the others.
	Calm Phase = "calm"
	// Stopping: the response's host stops in a planned way.
	Stopping Phase = "stop"
	// Reloading: the response's host reads its settings again.
	Reloading Phase = "reload"
	// AfterCrash: servers of the service are down, or were within afterCrash.
	AfterCrash Phase = "after_crash"
)

// afterCrash is how long after the end of a crash responses count as ones after it.
const afterCrash = 5 * time.Second

// Phases are all phases.
func Phases() []Phase { return []Phase{Stopping, Reloading, AfterCrash, Calm} }

// Framings are all framings.
func Framings() []framing.Framing {
	return []framing.Framing{framing.Length, framing.Chunks, framing.Connection}
}

// ResponseKey says in which phase a response ended, and what showed its end.
type ResponseKey struct {
	Phase   Phase
	Framing framing.Framing
}

// ResponseCount counts responses that servers began.
type ResponseCount struct {
	// Whole: written to the end and whole for the caller.
	Whole int `json:"whole"`
	// Cut: written to the end and broken off for the caller.
	Cut int `json:"cut"`
	// Short: not written to the end and whole for the caller.
	Short int `json:"short"`
}

// Add adds other counts.
func (count *ResponseCount) Add(other ResponseCount) {
	count.Whole += other.Whole
	count.Cut += other.Cut
	count.Short += other.Short
}

func (count *ResponseCount) note(written, serves bool) {
	switch {
	case written && serves:
		count.Whole++
	case written:
		count.Cut++
	case serves:
		count.Short++
	}
}

// judge turns the end that a server gave a response into what its host makes of it, with the code of
// the project's core, and counts it. Without a length or chunks, a host sees the same end whether the
// response was written whole or not.
func (call *call) judge(target server, ended outcome) outcome {
	if ended != whole && (ended != broken || !call.begun()) {
		return ended
	}
	host, machine := call.host, target.base()
	service, domain, now := machine.server.Service, machine.server.FailureDomain, host.world.clock.time()
	judged, serves := ended, ended == whole
	switch {
	case call.framing == framing.Connection:
		// A host that asks the server after the end reaches the process that sent the response.
		evidence := ending.Evidence{
			Framing: ending.Connection, Outcome: ending.Registered, SenderKnown: true,
			Stream: call.class.Kind == table.Stream, Events: call.task.told, RunEvents: ending.NotListed,
			NoCuts:  !host.cuts.Known(service, domain, true, now),
			EndedAt: now, OpenedAt: now, ConnectedAt: now, AskedAt: now.Add(ending.Settle),
		}
		if machine.down {
			evidence.Outcome = ending.Refused
		}
		_, verdict := evidence.Judge()
		if serves = verdict.Serves(); serves {
			judged = whole
		} else if judged = unproven; verdict == ending.Ended {
			judged = broken
		}
	case ended == broken && !machine.down:
		host.recordCut(service, domain, call.class.Kind == table.Stream)
	case ended == whole:
		host.recordWhole(service, call.class.Kind == table.Stream)
	}
	call.host.world.result.response(host.phase(service), call.framing).note(ended == whole, serves)
	return judged
}

// begun reports whether the response of the call's task has begun.
func (call *call) begun() bool { return call.task.told > 0 || call.task.loses }

// recordCut remembers that a response was broken off by a server that runs on, and tells the others.
func (host *host) recordCut(service, domain string, isStream bool) {
	host.cuts.Record(ending.Place{Service: service, FailureDomain: domain, Plain: !isStream}, host.world.clock.time())
	host.tellCuts()
}

// recordWhole remembers that a framed response has ended whole, and tells the host that collects.
func (host *host) recordWhole(service string, isStream bool) {
	host.cuts.RecordWhole(service, isStream, host.world.clock.time())
	host.tellCuts()
}

// tellCuts tells the other hosts of cuts, and the first one of the responses that have ended whole since.
func (host *host) tellCuts() {
	world, now := host.world, host.world.clock.time()
	due, counts := host.cuts.TakeDue(now), host.cuts.TakeCounts(now)
	for index, other := range world.hosts {
		reports := due
		if index == 0 {
			reports = append(slices.Clone(due), counts...)
		}
		if other == host || len(reports) == 0 {
			continue
		}
		world.clock.after(milliseconds(world.day.LinkMs), func() {
			for _, message := range reports {
				other.cuts.Apply(message, world.clock.time())
			}
		})
	}
}

// phase returns what goes on at a host and a service.
func (host *host) phase(service string) Phase {
	world := host.world
	switch {
	case host.stopping:
		return Stopping
	case host.reloading:
		return Reloading
	}
	for _, trouble := range world.day.Trouble {
		since := world.clock.now - seconds(trouble.AtS)
		if trouble.Kind == Crash && trouble.Service == service && since >= 0 && since < seconds(trouble.ForS)+afterCrash {
			return AfterCrash
		}
	}
	return Calm
}

// restart replaces a stopped host by one that knows nothing yet.
func (host *host) restart() {
	world := host.world
	host.gone = true
	for index, known := range world.hosts {
		if known == host {
			world.hosts[index] = newHost(world, host.name, host.domain)
			world.hosts[index].cuts.SetCollects(index == 0)
			if world.policy != OwnOnly {
				world.hosts[index].tell()
			}
		}
	}
}

// disruptHosts begins or ends a trouble of hosts.
func (world *world) disruptHosts(hosts []*host, trouble Trouble, on bool) {
	for _, host := range hosts {
		switch {
		case trouble.Kind == Reload:
			host.reloading = on
		case on:
			host.stopping = true
		default:
			host.restart()
		}
	}
	if trouble.Kind == Reload && on {
		// The day has been checked, so that its table can be made again.
		_ = world.configure()
	}
}

// affectedHosts draws the hosts that a trouble hits.
func (world *world) affectedHosts(trouble Trouble) []*host {
	count := min(len(world.hosts), int(cmp.Or(trouble.Share, 1)*float64(len(world.hosts))+0.5))
	found := make([]*host, 0, count)
	for _, index := range world.random.Perm(len(world.hosts))[:count] {
		found = append(found, world.hosts[index])
	}
	return found
}

// listed returns the hosts that callers are sent to: those that do not stop, or all if all do.
func (world *world) listed() []*host {
	var found []*host
	for _, host := range world.hosts {
		if !host.stopping {
			found = append(found, host)
		}
	}
	if len(found) == 0 {
		return world.hosts
	}
	return found
}
