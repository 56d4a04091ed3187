package ledger_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/fault"
	"primrosegw/core/ledger"
	"primrosegw/core/store"
	"primrosegw/standin/kv"
)

// TestMain makes rapid run 1,000 scenarios unless its flag says otherwise.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "1000"); err != nil {
		panic(err)
	}
	m.Run()
}

// wire is one host's connection to the service. It loses, delays and refuses
// calls, and applies lost writes late.
type wire struct {
	*kv.Service
	mutex  sync.Mutex
	random *rand.Rand
	// faults is the part of calls that fail, from 0 to 1.
	faults float64
}

// draw returns the fault of one call, 0 for none, and a delay.
func (wire *wire) draw(kinds int) (int, time.Duration) {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	// Delays in nanoseconds keep events of different hosts at different times,
	// so that a seed gives the same run each time.
	if wire.random.Float64() >= wire.faults {
		return 0, time.Duration(wire.random.IntN(int(10 * time.Millisecond)))
	}
	return 1 + wire.random.IntN(kinds), time.Duration(wire.random.IntN(int(4 * time.Second)))
}

func (wire *wire) Get(ctx context.Context, key string) (store.Entry, error) {
	number, delay := wire.draw(2)
	if number == 1 {
		return store.Entry{}, fault.New("wire.get", store.Unavailable, "cut")
	}
	entry, err := wire.Service.Get(ctx, key)
	// A host that is paused here goes on with an old book.
	time.Sleep(delay)
	return entry, err
}

func (wire *wire) Swap(ctx context.Context, swap store.Swap) (int64, error) {
	number, delay := wire.draw(6)
	lost := fault.New("wire.swap", store.Uncertain, "lost")
	switch number {
	case 1:
		return 0, fault.New("wire.swap", store.Unavailable, "cut")
	case 2:
		return 0, lost
	case 3:
		_, _ = wire.Service.Swap(ctx, swap)
		return 0, lost
	case 4:
		go func() {
			time.Sleep(delay)
			_, _ = wire.Service.Swap(context.Background(), swap)
		}()
		return 0, lost
	case 5:
		// Paused before the write.
		time.Sleep(delay)
		return wire.Service.Swap(context.Background(), swap)
	}
	revision, err := wire.Service.Swap(context.Background(), swap)
	time.Sleep(delay)
	return revision, err
}

// call is one caller's attempt: where and when it comes, how long its host is
// paused before the dispatch, and how it ends.
type call struct {
	Owner, Key                   int
	AfterMs, PatienceMs, PauseMs int
	End                          string
}

// scenario is one run of the model.
type scenario struct {
	Seed     uint64
	Owners   int
	Faults   float64
	Calls    []call
	Restarts []int
	// DownMs and UpMs bound an outage of the service.
	DownMs, UpMs int
}

func draw(t *rapid.T) scenario {
	owners := rapid.IntRange(2, 3).Draw(t, "owners")
	one := rapid.Custom(func(t *rapid.T) call {
		return call{
			Owner:      rapid.IntRange(0, owners-1).Draw(t, "owner"),
			Key:        rapid.IntRange(0, 2).Draw(t, "key"),
			AfterMs:    rapid.IntRange(0, 8000).Draw(t, "after"),
			PatienceMs: rapid.IntRange(50, 8000).Draw(t, "patience"),
			PauseMs:    rapid.SampledFrom([]int{0, 1, 300, 3000}).Draw(t, "pause"),
			End:        rapid.SampledFrom([]string{"finish", "finish", "lost", "abandon"}).Draw(t, "end"),
		}
	})
	down := rapid.IntRange(0, 8000).Draw(t, "down")
	return scenario{
		Seed:     rapid.Uint64().Draw(t, "seed"),
		Owners:   owners,
		Faults:   rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "faults"),
		Calls:    rapid.SliceOfN(one, 2, 24).Draw(t, "calls"),
		Restarts: rapid.SliceOfN(rapid.IntRange(0, 8000), 0, 2).Draw(t, "restarts"),
		DownMs:   down,
		UpMs:     down + rapid.SampledFrom([]int{0, 500, 5000}).Draw(t, "outage"),
	}
}

// world runs a scenario and holds the reference model: what became of each key.
type world struct {
	scenario scenario
	service  *kv.Service
	wires    []*wire

	mutex   sync.Mutex
	ledgers []*ledger.Ledger
	// runs counts the runs of a key; open counts its decisions to run that were
	// neither finished nor abandoned for certain.
	runs, open [3]int
	// ran holds the keys that a process ran.
	ran      map[*ledger.Ledger][3]bool
	outcomes [3]int
	finished [3]bool
	faults   []string
}

func newWorld(scenario scenario) *world {
	world := &world{scenario: scenario, service: kv.New(kv.Options{}), ran: map[*ledger.Ledger][3]bool{}}
	for owner := range scenario.Owners {
		random := rand.New(rand.NewPCG(scenario.Seed, uint64(owner)))
		world.wires = append(world.wires, &wire{Service: world.service, random: random, faults: scenario.Faults})
		world.ledgers = append(world.ledgers, world.host(owner))
	}
	return world
}

// host returns the ledger of a process that starts.
func (world *world) host(owner int) *ledger.Ledger {
	host, err := ledger.New(ledger.Options{
		Store: world.wires[owner], Environment: "test", Partitions: 1,
		Random: rand.New(rand.NewPCG(world.scenario.Seed, 100+uint64(owner))),
	})
	if err != nil {
		panic(err)
	}
	return host
}

func key(number int) ledger.Key {
	return ledger.Key{Workspace: "w", Idempotency: fmt.Sprint("k", number), BodyHash: [32]byte{byte(number)}}
}

// violate notes a broken guarantee. The lock is held.
func (world *world) violate(format string, values ...any) {
	world.faults = append(world.faults, fmt.Sprintf(format, values...))
}

// run plays a scenario and returns the guarantees that were broken.
func (world *world) run() []string {
	var group sync.WaitGroup
	for number, call := range world.scenario.Calls {
		group.Go(func() {
			time.Sleep(time.Duration(number+1) * time.Microsecond)
			world.call(number+1, call)
		})
	}
	for number, after := range world.scenario.Restarts {
		group.Go(func() {
			time.Sleep(time.Duration(after) * time.Millisecond)
			world.restart(number % world.scenario.Owners)
		})
	}
	group.Go(func() {
		time.Sleep(time.Duration(world.scenario.DownMs) * time.Millisecond)
		world.service.Down(world.scenario.UpMs > world.scenario.DownMs)
		time.Sleep(time.Duration(world.scenario.UpMs-world.scenario.DownMs) * time.Millisecond)
		world.service.Down(false)
	})
	group.Wait()
	world.heal()
	world.verify()
	for _, host := range world.ledgers {
		host.Close()
	}
	return world.faults
}

func (world *world) restart(owner int) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.ledgers[owner].Close()
	world.ledgers[owner] = world.host(owner)
}

// call plays one caller.
func (world *world) call(number int, call call) {
	time.Sleep(time.Duration(call.AfterMs) * time.Millisecond)
	world.mutex.Lock()
	host := world.ledgers[call.Owner]
	ranHere := world.ran[host][call.Key]
	world.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(call.PatienceMs)*time.Millisecond)
	defer cancel()
	decision, err := host.Begin(ctx, key(call.Key))
	world.mutex.Lock()
	defer world.mutex.Unlock()
	switch {
	case err != nil && ranHere:
		world.violate("call %d: %v, but its host ran key %d", number, err, call.Key)
	case err == nil && decision.Verdict == ledger.Recorded:
		if decision.Outcome.Status != world.outcomes[call.Key] {
			world.violate("call %d: outcome %d of key %d", number, decision.Outcome.Status, call.Key)
		}
	case err == nil && decision.Verdict == ledger.Run:
		world.dispatch(number, call, host, decision)
	}
}

// dispatch plays a call that may run. The lock is held but for the pauses.
func (world *world) dispatch(number int, call call, host *ledger.Ledger, decision ledger.Decision) {
	key := key(call.Key)
	key.Attempt = decision.Attempt
	world.open[call.Key]++
	world.mutex.Unlock()
	time.Sleep(time.Duration(call.PauseMs) * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if call.End == "abandon" {
		err := host.Abandon(ctx, key)
		world.mutex.Lock()
		if err == nil {
			world.open[call.Key]--
		}
		return
	}
	world.mutex.Lock()
	world.runs[call.Key]++
	world.outcomes[call.Key] = number
	ran := world.ran[host]
	ran[call.Key] = true
	world.ran[host] = ran
	if world.runs[call.Key] > 1 {
		world.violate("call %d: run %d of key %d", number, world.runs[call.Key], call.Key)
	}
	if call.End == "lost" {
		return
	}
	world.mutex.Unlock()
	err := host.Finish(ctx, key, ledger.Outcome{Status: number})
	world.mutex.Lock()
	world.finished[call.Key] = world.finished[call.Key] || err == nil
}

// heal ends all faults and gives the hosts time to settle.
func (world *world) heal() {
	for _, wire := range world.wires {
		wire.mutex.Lock()
		wire.faults = 0
		wire.mutex.Unlock()
	}
	time.Sleep(30 * time.Second)
}

// verify asks a new host about each key.
func (world *world) verify() {
	host := world.host(0)
	defer host.Close()
	for number := range world.runs {
		decision, err := host.Begin(context.Background(), key(number))
		switch {
		case err != nil:
			world.violate("key %d at the end: %v", number, err)
		case decision.Verdict == ledger.Run && world.runs[number] > 0:
			world.violate("key %d would run again", number)
		case world.finished[number] && decision.Verdict != ledger.Recorded:
			world.violate("key %d has a recorded outcome, but the verdict is %s", number, decision.Verdict)
		case world.open[number] == 0 && len(world.scenario.Restarts) == 0 && decision.Verdict != ledger.Run:
			world.violate("key %d never ran and is free, but the verdict is %s", number, decision.Verdict)
		}
	}
}

// No interleaving of owners, lost and late writes, pauses, restarts and outages
// may run a key twice, report "not run" from a host that ran it, lose a recorded
// outcome, or leave a key unusable that certainly did not run.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		scenario := draw(rapidT)
		var faults []string
		synctest.Test(t, func(*testing.T) { faults = newWorld(scenario).run() })
		require.Empty(rapidT, faults)
	})
}
