package emul

import (
	"time"

	"primrosegw/core/ending"
	"primrosegw/core/fleet"
	"primrosegw/core/pace"
	"primrosegw/core/pick"
	"primrosegw/core/retry"
	"primrosegw/core/steer"
	"primrosegw/core/work"
	"primrosegw/standin/framing"
)

const (
	// localDelay is the delay within a failure domain, one way.
	localDelay = 200 * time.Microsecond
	// retryShare and retryReserve are the budget of second attempts of a host.
	retryShare   = 0.18
	retryReserve = 4
	// paceInterval is the least time between two messages on servers in slow start.
	paceInterval = 300 * time.Millisecond
)

// host decides about requests with the code of the project's core.
type host struct {
	world  *world
	domain string
	name   string
	fleet  *fleet.Fleet
	budget *retry.Budgets
	pick   pick.Options
	cuts   *ending.Cuts
	// nextPace is the time from which on servers in slow start are reported again.
	nextPace time.Duration
	// stopping: callers are sent to other hosts. reloading: it reads its settings. gone: another process
	// has replaced it.
	stopping, reloading, gone bool
}

func newHost(world *world, name, domain string) *host {
	created := &host{
		world: world, name: name, domain: domain, fleet: fleet.New(), cuts: ending.NewCuts(), budget: retry.NewBudgets(retryShare, retryReserve),
		pick: pick.Options{FailureDomain: domain, Rates: pick.NewPrefillRates(pick.DefaultTokensPerMs), Correction: pick.NewLatencyCorrection(), Groups: pick.NewEngineGroups(), Cached: pick.NewCachedParts()},
	}
	for _, server := range world.servers {
		created.fleet.Put(server.base().server)
	}
	if world.policy != NoPace {
		created.pick.Pace = pace.New(name)
		created.pick.Pace.SetHosts(world.hostNames())
	}
	return created
}

// call is one attempt of a caller at a host.
type call struct {
	host     *host
	work     work.Request
	progress steer.Progress
	class    *Class
	output   int
	length   time.Duration
	// fails: servers answer the request with a failure.
	fails bool
	// framing is what shows where the answer ends.
	framing framing.Framing
	// events is the number that the caller has got.
	events int
	server server
	task   *task
	gone   bool
	// event, answered and turned tell the caller.
	event    func()
	answered func(whole bool)
	turned   func(after time.Duration)
}

// forward takes the next step with a request.
func (call *call) forward() {
	host := call.host
	if call.gone {
		return
	}
	now := host.world.clock.time()
	members := host.world.members(host, call.work.Service, now)
	step := steer.Next(host.pick, &call.work, call.progress, host.budget, members, now)
	step = host.world.policy.overrule(step, &call.work, members, call.progress.Tried)
	switch {
	case step.Action == steer.Send:
		call.send(*step.Choice)
	case call.progress.State.NotRun() && call.events == 0:
		call.turned(step.RetryAfter)
	default:
		call.answered(false)
	}
}

// send gives the request to a server.
func (call *call) send(choice pick.Choice) {
	host, clock := call.host, call.host.world.clock
	call.progress.Tried[choice.Member.ID] = true
	target := host.world.byID[choice.Member.ID]
	delay := host.delay(target)
	host.fleet.RequestStarted(choice.Member.ID, choice.Share)
	read := false
	var spans pace.Spans
	started := clock.now
	sent := &task{request: &call.work, output: max(1, call.output-call.events*call.stride()), loses: target.base().loses(), work: call.length}
	if call.fails {
		sent.output = 0
	}
	begun := call.events
	first := func() {
		if read {
			return
		}
		read = true
		host.fleet.PrefillDone(choice.Member.ID, choice.Share)
		host.fleet.ReportLoad(choice.Member.ID, target.load())
		host.pick.ObserveFirstEvent(&call.work, &choice, clock.now-started, clock.time())
	}
	sent.event = func(number int) {
		clock.after(delay, func() {
			first()
			spans.Add(number, clock.time())
			if !call.gone {
				call.events = begun + number
				call.event()
			}
		})
	}
	sent.ended = func(outcome outcome) {
		clock.after(delay, func() {
			if !read {
				if outcome != broken {
					host.fleet.ReportLoad(choice.Member.ID, target.load())
				}
				if outcome == whole || outcome == failed {
					host.pick.ObserveFirstEvent(&call.work, &choice, clock.now-started, clock.time())
				} else if outcome == declined {
					host.pick.Pace.RecordLate(choice.Member.Server, clock.time())
				}
				read = true
				host.fleet.PrefillDone(choice.Member.ID, choice.Share)
			}
			host.pick.ObserveGaps(&call.work, &choice, &spans, clock.time())
			host.fleet.RequestEnded(choice.Member.ID, choice.Share)
			call.settle(target, outcome)
		})
	}
	call.server, call.task, call.framing = target, sent, host.world.day.Framing.Draw(host.world.framings)
	clock.after(delay, func() {
		if target.base().down {
			host.fleet.RecordUnreachable(choice.Member.ID, clock.time())
			host.fleet.PrefillDone(choice.Member.ID, choice.Share)
			host.fleet.RequestEnded(choice.Member.ID, choice.Share)
			call.forward()
			return
		}
		target.submit(sent)
	})
}

// settle goes on after a server has ended a request.
func (call *call) settle(target server, outcome outcome) {
	host, now, server := call.host, call.host.world.clock.time(), target.base().server.ID
	if call.gone {
		return
	}
	outcome = call.judge(target, outcome)
	if call.progress.Reached == 0 {
		host.budget.Deposit(call.work.Service)
	}
	call.progress.Reached++
	switch outcome {
	case whole:
		host.fleet.RecordSuccess(server)
		call.answered(true)
		return
	case declined:
		call.progress.State = call.progress.State.Next(work.Declined)
	case failed:
		host.fleet.RecordFailure(server)
		call.progress.State = call.progress.State.Next(work.Failed)
	case unproven:
		host.fleet.RecordUnproven(target.base().server, now)
		call.progress.State = call.progress.State.Next(work.Broken)
	case broken:
		host.fleet.RecordBrokenAnswer(server, now)
		call.progress.State = call.progress.State.Next(work.Broken)
	}
	call.forward()
}

// leave ends a call whose caller has gone.
func (call *call) leave() {
	if call.gone {
		return
	}
	call.gone = true
	if call.task == nil || call.task.done {
		return
	}
	target, ended := call.server, call.task
	call.host.world.clock.after(call.host.delay(target), func() {
		target.cancel(ended)
		ended.finish(broken)
	})
}

func (call *call) stride() int { return call.host.world.stride(call.work.Service) }

// delay is the time to a server, one way.
func (host *host) delay(target server) time.Duration {
	if target.base().server.FailureDomain == host.domain {
		return localDelay
	}
	return milliseconds(host.world.day.LinkMs)
}

// tell passes the host's requests in flight on to the others, again and again.
func (host *host) tell() {
	if host.gone {
		return
	}
	world := host.world
	told := fleet.HostReport{Loads: host.fleet.LocalLoads(), Running: host.fleet.Running()}
	host.pick.Cached.SetPeers(len(world.hosts) - 1)
	copies := host.pick.Cached.Report(world.clock.time())
	var paces []pace.Report
	var speeds []pace.SpeedReport
	if host.pick.Pace != nil {
		speeds = host.pick.Pace.PendingSpeeds(len(world.hosts)-1, world.clock.time())
	}
	if host.pick.Pace != nil && world.clock.now >= host.nextPace {
		host.nextPace = world.clock.now + paceInterval
		paces = host.pick.Pace.PendingReports(world.clock.time())
	}
	for _, other := range world.hosts {
		if other != host {
			world.clock.after(milliseconds(world.day.LinkMs), func() {
				other.fleet.UpdatePeer(host.name, told, world.clock.time())
				other.pick.Cached.ApplyReport(copies, world.clock.time())
				if len(speeds) > 0 {
					other.pick.Pace.ApplySpeeds(speeds, world.clock.time())
				}
				if len(paces) > 0 {
					other.pick.Pace.ApplyReports(host.name, paces, world.clock.time())
				}
			})
		}
	}
	world.clock.after(milliseconds(world.day.TellMs), host.tell)
}
