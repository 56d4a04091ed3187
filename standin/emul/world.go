package emul

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"primrosegw/core/fault"
	"primrosegw/core/fleet"
	"primrosegw/core/table"
)

const (
	// settleTime is how long after the last request a day goes on.
	settleTime = 20 * time.Second
)

// server is a model engine or a plain server.
type server interface {
	base() *machine
	submit(task *task)
	cancel(task *task)
	crash()
	restart()
	load() fleet.Load
	truth() fleet.InFlight
}

// world is one day that is being played.
type world struct {
	day     Day
	policy  Policy
	clock   *clock
	random  *rand.Rand
	table   *table.Table
	hosts   []*host
	servers []server
	byID    map[string]server
	result  *Result
	// framings draws the framing of answers.
	framings *rand.Rand
	// rates are the factors of bursts by class.
	rates map[string]float64
	count int
}

// Play plays a day with a policy and returns what callers got. The same seed
// gives the same requests to each policy. It fails with Invalid.
func Play(day Day, policy Policy, seed uint64) (*Result, error) {
	if err := day.Check(); err != nil {
		return nil, err
	}
	if !policy.Known() {
		return nil, invalid("policy", fmt.Sprintf("%q is unknown", policy))
	}
	world := &world{
		day: day, policy: policy, clock: &clock{}, random: rand.New(rand.NewPCG(seed, 1)), byID: make(map[string]server),
		framings: rand.New(rand.NewPCG(seed, 0)), rates: make(map[string]float64), result: newResult(day, policy, seed),
	}
	if err := world.configure(); err != nil {
		return nil, err
	}
	world.serve()
	for index := range day.Hosts {
		domain := day.FailureDomains[index%len(day.FailureDomains)]
		world.hosts = append(world.hosts, newHost(world, fmt.Sprintf("host-%d", index), domain))
		world.hosts[index].cuts.SetCollects(index == 0)
	}
	if policy != OwnOnly {
		for index, host := range world.hosts {
			world.clock.after(milliseconds(day.TellMs*float64(index+1)/float64(day.Hosts)), host.tell)
		}
	}
	for index := range day.Trouble {
		world.trouble(day.Trouble[index])
	}
	for index := range day.Classes {
		traffic := rand.New(rand.NewPCG(seed, uint64(index+2)))
		world.arrive(&day.Classes[index], traffic)
	}
	world.clock.run(seconds(day.Seconds) + settleTime)
	for _, server := range world.servers {
		if engine, ok := server.(*engine); ok {
			world.result.add(engine.stats)
		}
	}
	return world.result, nil
}

// configure makes the table that ranks requests.
func (world *world) configure() error {
	data := table.Data{Version: 1}
	for _, service := range world.day.Services {
		entry := table.Service{Name: service.Name}
		if service.Engine != nil {
			entry.Engine = &table.Engine{Slots: service.Engine.Slots, CacheTokens: service.Engine.Memory, TokensPerEvent: service.Engine.Stride}
		}
		data.Services = append(data.Services, entry)
	}
	for _, class := range world.day.Classes {
		data.Routes = append(data.Routes, class.route())
	}
	built, err := table.New(data)
	if err != nil {
		return fault.Wrap("emul.configure", Invalid, err)
	}
	world.table = built
	return nil
}

func (class Class) route() table.Route {
	return table.Route{
		Name: class.Name, Host: "emulated", PathPrefix: "/" + class.Name + "/", Kind: class.Kind,
		Timeout: milliseconds(class.DeadlineMs), Objective: milliseconds(class.ObjectiveMs), GapObjective: milliseconds(class.GapMs),
		Priority: class.Priority, Targets: []table.Target{{Service: class.Service, Weight: 1}}, MaxAttempts: max(1, class.MaxAttempts),
		HasPrompt: class.Kind == table.Stream, Resumable: class.Resumable, Anonymous: true,
	}
}

// serve starts the servers.
func (world *world) serve() {
	uses := make(map[uint64]time.Duration)
	for _, service := range world.day.Services {
		for index := range service.Servers {
			id := fmt.Sprintf("%s-%d", service.Name, index)
			base := machine{
				clock: world.clock, random: rand.New(rand.NewPCG(world.random.Uint64(), 0)), speed: 1, noise: 1, fault: 1, hidesSpeed: service.HidesSpeed,
				server: fleet.Server{
					ID: id, Service: service.Name, FailureDomain: world.day.FailureDomains[index%len(world.day.FailureDomains)],
				},
			}
			if len(service.Speeds) > 0 {
				base.speed = service.Speeds[index%len(service.Speeds)]
			}
			var started server = &plain{machine: base}
			if service.Engine != nil {
				started = &engine{machine: base, model: *service.Engine, cache: newCache(), uses: uses}
			} else {
				started.(*plain).model = *service.Plain
			}
			world.servers = append(world.servers, started)
			world.byID[id] = started
			world.disturb(started.base(), service.Noise)
		}
	}
}

// disturb slows a server in spells.
func (world *world) disturb(machine *machine, noise Noise) {
	if noise.Share <= 0 || noise.SpellMs <= 0 {
		return
	}
	machine.noise = 1
	if machine.random.Float64() < noise.Share {
		machine.noise = noise.X
	}
	spell := milliseconds(noise.SpellMs * (0.5 + machine.random.Float64()))
	world.clock.after(spell, func() { world.disturb(machine, noise) })
}

// trouble starts and ends an injected trouble.
func (world *world) trouble(trouble Trouble) {
	if trouble.Kind == Stop || trouble.Kind == Reload {
		var hosts []*host
		world.clock.after(seconds(trouble.AtS), func() {
			hosts = world.affectedHosts(trouble)
			world.disruptHosts(hosts, trouble, true)
		})
		world.clock.after(seconds(trouble.AtS+trouble.ForS), func() { world.disruptHosts(hosts, trouble, false) })
		return
	}
	affected := world.affected(trouble)
	if trouble.Kind == Release {
		world.release(affected, trouble)
		return
	}
	set := func(on bool) {
		if trouble.Kind == Burst {
			world.rates[trouble.Class] = cmp.Or(map[bool]float64{true: trouble.X}[on], 1)
			return
		}
		for _, server := range affected {
			apply(server, trouble, on)
		}
	}
	world.clock.after(seconds(trouble.AtS), func() { set(true) })
	world.clock.after(seconds(trouble.AtS+trouble.ForS), func() { set(false) })
}

func apply(server server, trouble Trouble, on bool) {
	switch trouble.Kind {
	case Crash:
		if on {
			server.crash()
			return
		}
		server.restart()
	case Slow:
		server.base().fault = cmp.Or(map[bool]float64{true: trouble.X}[on], 1)
	case Lose:
		server.base().losing = map[bool]float64{true: trouble.X}[on]
	}
}

// affected draws the servers that a trouble hits.
func (world *world) affected(trouble Trouble) []server {
	var found []server
	for _, server := range world.servers {
		if server.base().server.Service == trouble.Service {
			found = append(found, server)
		}
	}
	world.random.Shuffle(len(found), func(a, b int) { found[a], found[b] = found[b], found[a] })
	return found[:min(len(found), int(math.Ceil(trouble.Share*float64(len(found)))))]
}

// members are the servers of a service as a host sees them.
func (world *world) members(host *host, service string, now time.Time) []fleet.Member {
	members := host.fleet.Members(service, now)
	if world.policy != Informed {
		return members
	}
	for index := range members {
		server := world.byID[members[index].ID]
		members[index].Own, members[index].Peers = server.truth(), fleet.InFlight{}
		members[index].Load = server.load()
	}
	return slices.DeleteFunc(members, func(member fleet.Member) bool { return world.byID[member.ID].base().down })
}

// stride is the number of tokens in an event of a service.
func (world *world) stride(service string) int {
	if found, ok := world.table.Service(service); ok && found.Engine != nil {
		return found.Engine.TokensPerEvent
	}
	return 1
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
