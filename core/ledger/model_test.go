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

// TestMain sets the number of scenarios that rapid runs to 1,000. A flag on the
// command line takes precedence.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", "1000"); err != nil {
		panic(err)
	}
	m.Run()
}

// faultyStore is one host's connection to the key-value service. It injects lost,
// delayed and refused calls, and writes that take effect after their reply was
// reported as lost.
type faultyStore struct {
	*kv.Service
	mutex  sync.Mutex
	random *rand.Rand
	// faults is the fraction of calls that fail, from 0 to 1.
	faults float64
}

// drawFault returns the number of the fault of one call, 0 for none, and a delay.
func (faultyStore *faultyStore) drawFault(kinds int) (int, time.Duration) {
	faultyStore.mutex.Lock()
	defer faultyStore.mutex.Unlock()
	// Delays of nanosecond resolution keep events of different hosts from falling
	// on the same instant, so that a seed always gives the same run.
	if faultyStore.random.Float64() >= faultyStore.faults {
		return 0, time.Duration(faultyStore.random.IntN(int(10 * time.Millisecond)))
	}
	return 1 + faultyStore.random.IntN(kinds), time.Duration(faultyStore.random.IntN(int(4 * time.Second)))
}

func (faultyStore *faultyStore) Get(ctx context.Context, key string) (store.Entry, error) {
	number, delay := faultyStore.drawFault(2)
	if number == 1 {
		return store.Entry{}, fault.New("wire.get", store.Unavailable, "cut")
	}
	entry, err := faultyStore.Service.Get(ctx, key)
	// A host that is paused here continues with stale records.
	time.Sleep(delay)
	return entry, err
}

func (faultyStore *faultyStore) Swap(ctx context.Context, swap store.Swap) (int64, error) {
	number, delay := faultyStore.drawFault(6)
	lost := fault.New("wire.swap", store.Uncertain, "lost")
	switch number {
	case 1:
		return 0, fault.New("wire.swap", store.Unavailable, "cut")
	case 2:
		return 0, lost
	case 3:
		_, _ = faultyStore.Service.Swap(ctx, swap)
		return 0, lost
	case 4:
		go func() {
			time.Sleep(delay)
			_, _ = faultyStore.Service.Swap(context.Background(), swap)
		}()
		return 0, lost
	case 5:
		// The host is paused before the write.
		time.Sleep(delay)
		return faultyStore.Service.Swap(context.Background(), swap)
	}
	revision, err := faultyStore.Service.Swap(context.Background(), swap)
	time.Sleep(delay)
	return revision, err
}

// call is one call by a client: its host and start time, its deadline, how long
// the host is paused before the dispatch, and how the call ends.
type call struct {
	Host, Key                   int
	DelayMs, TimeoutMs, PauseMs int
	End                         string
}

// scenario is the input of one simulation.
type scenario struct {
	Seed     uint64
	Hosts    int
	Faults   float64
	Calls    []call
	Restarts []int
	// DownMs and UpMs are the start and the end of an outage of the service.
	DownMs, UpMs int
}

func drawScenario(t *rapid.T) scenario {
	hosts := rapid.IntRange(2, 3).Draw(t, "hosts")
	callGenerator := rapid.Custom(func(t *rapid.T) call {
		return call{
			Host:      rapid.IntRange(0, hosts-1).Draw(t, "host"),
			Key:       rapid.IntRange(0, 2).Draw(t, "key"),
			DelayMs:   rapid.IntRange(0, 8000).Draw(t, "delay"),
			TimeoutMs: rapid.IntRange(50, 8000).Draw(t, "timeout"),
			PauseMs:   rapid.SampledFrom([]int{0, 1, 300, 3000}).Draw(t, "pause"),
			End:       rapid.SampledFrom([]string{"finish", "finish", "lost", "abandon"}).Draw(t, "end"),
		}
	})
	down := rapid.IntRange(0, 8000).Draw(t, "down")
	return scenario{
		Seed:     rapid.Uint64().Draw(t, "seed"),
		Hosts:    hosts,
		Faults:   rapid.SampledFrom([]float64{0, 0.2, 0.6}).Draw(t, "faults"),
		Calls:    rapid.SliceOfN(callGenerator, 2, 24).Draw(t, "calls"),
		Restarts: rapid.SliceOfN(rapid.IntRange(0, 8000), 0, 2).Draw(t, "restarts"),
		DownMs:   down,
		UpMs:     down + rapid.SampledFrom([]int{0, 500, 5000}).Draw(t, "outage"),
	}
}

// simulation runs a scenario and holds the reference model: what happened to each
// key.
type simulation struct {
	scenario scenario
	service  *kv.Service
	stores   []*faultyStore

	mutex   sync.Mutex
	ledgers []*ledger.Ledger
	// runs counts the executions of each key; unresolved counts its decisions to run
	// that were not successfully abandoned.
	runs, unresolved [3]int
	// executed holds the keys that each process executed.
	executed   map[*ledger.Ledger][3]bool
	outcomes   [3]int
	finished   [3]bool
	violations []string
}

func newSimulation(scenario scenario) *simulation {
	simulation := &simulation{
		scenario: scenario, service: kv.New(kv.Options{}),
		executed: map[*ledger.Ledger][3]bool{},
	}
	for host := range scenario.Hosts {
		random := rand.New(rand.NewPCG(scenario.Seed, uint64(host)))
		simulation.stores = append(simulation.stores,
			&faultyStore{Service: simulation.service, random: random, faults: scenario.Faults})
		simulation.ledgers = append(simulation.ledgers, simulation.newLedger(host))
	}
	return simulation
}

// newLedger returns the ledger of a newly started process on a host.
func (simulation *simulation) newLedger(host int) *ledger.Ledger {
	instance, err := ledger.New(ledger.Options{
		Store: simulation.stores[host], Environment: "test", Partitions: 1,
		Random: rand.New(rand.NewPCG(simulation.scenario.Seed, 100+uint64(host))),
	})
	if err != nil {
		panic(err)
	}
	return instance
}

func key(number int) ledger.Key {
	return ledger.Key{Workspace: "w", IdempotencyKey: fmt.Sprint("k", number), BodyHash: [32]byte{byte(number)}}
}

// recordViolation records a violated guarantee. The lock is held.
func (simulation *simulation) recordViolation(format string, values ...any) {
	simulation.violations = append(simulation.violations, fmt.Sprintf(format, values...))
}

// run runs the scenario and returns the violated guarantees.
func (simulation *simulation) run() []string {
	var group sync.WaitGroup
	for number, call := range simulation.scenario.Calls {
		group.Go(func() {
			time.Sleep(time.Duration(number+1) * time.Microsecond)
			simulation.call(number+1, call)
		})
	}
	for number, after := range simulation.scenario.Restarts {
		group.Go(func() {
			time.Sleep(time.Duration(after) * time.Millisecond)
			simulation.restart(number % simulation.scenario.Hosts)
		})
	}
	group.Go(func() {
		time.Sleep(time.Duration(simulation.scenario.DownMs) * time.Millisecond)
		simulation.service.Down(simulation.scenario.UpMs > simulation.scenario.DownMs)
		time.Sleep(time.Duration(simulation.scenario.UpMs-simulation.scenario.DownMs) * time.Millisecond)
		simulation.service.Down(false)
	})
	group.Wait()
	simulation.stopFaults()
	simulation.verify()
	for _, host := range simulation.ledgers {
		host.Close()
	}
	return simulation.violations
}

func (simulation *simulation) restart(host int) {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	simulation.ledgers[host].Close()
	simulation.ledgers[host] = simulation.newLedger(host)
}

// call simulates one client.
func (simulation *simulation) call(number int, call call) {
	time.Sleep(time.Duration(call.DelayMs) * time.Millisecond)
	simulation.mutex.Lock()
	host := simulation.ledgers[call.Host]
	ranHere := simulation.executed[host][call.Key]
	simulation.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(call.TimeoutMs)*time.Millisecond)
	defer cancel()
	decision, err := host.Begin(ctx, key(call.Key))
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	switch {
	case err != nil && ranHere:
		simulation.recordViolation("call %d: %v, but its host ran key %d", number, err, call.Key)
	case err == nil && decision.Verdict == ledger.Recorded:
		if decision.Outcome.Status != simulation.outcomes[call.Key] {
			simulation.recordViolation("call %d: outcome %d of key %d", number, decision.Outcome.Status, call.Key)
		}
	case err == nil && decision.Verdict == ledger.Run:
		simulation.dispatch(number, call, host, decision)
	}
}

// dispatch simulates a call that may run. The lock is held, except during pauses
// and calls of the ledger.
func (simulation *simulation) dispatch(number int, call call, host *ledger.Ledger, decision ledger.Decision) {
	key := key(call.Key)
	key.Attempt = decision.Attempt
	simulation.unresolved[call.Key]++
	simulation.mutex.Unlock()
	time.Sleep(time.Duration(call.PauseMs) * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if call.End == "abandon" {
		err := host.Abandon(ctx, key)
		simulation.mutex.Lock()
		if err == nil {
			simulation.unresolved[call.Key]--
		}
		return
	}
	simulation.mutex.Lock()
	simulation.runs[call.Key]++
	simulation.outcomes[call.Key] = number
	executed := simulation.executed[host]
	executed[call.Key] = true
	simulation.executed[host] = executed
	if simulation.runs[call.Key] > 1 {
		simulation.recordViolation("call %d: run %d of key %d", number, simulation.runs[call.Key], call.Key)
	}
	if call.End == "lost" {
		return
	}
	simulation.mutex.Unlock()
	err := host.Finish(ctx, key, ledger.Outcome{Status: number})
	simulation.mutex.Lock()
	simulation.finished[call.Key] = simulation.finished[call.Key] || err == nil
}

// stopFaults ends all faults and waits until the hosts have processed their queues.
func (simulation *simulation) stopFaults() {
	for _, faultyStore := range simulation.stores {
		faultyStore.mutex.Lock()
		faultyStore.faults = 0
		faultyStore.mutex.Unlock()
	}
	time.Sleep(30 * time.Second)
}

// verify checks the final state of each key through a newly started host.
func (simulation *simulation) verify() {
	host := simulation.newLedger(0)
	defer host.Close()
	for number := range simulation.runs {
		decision, err := host.Begin(context.Background(), key(number))
		switch {
		case err != nil:
			simulation.recordViolation("key %d at the end: %v", number, err)
		case decision.Verdict == ledger.Run && simulation.runs[number] > 0:
			simulation.recordViolation("key %d would run again", number)
		case simulation.finished[number] && decision.Verdict != ledger.Recorded:
			simulation.recordViolation("key %d has a recorded outcome, but the verdict is %s", number, decision.Verdict)
		case simulation.unresolved[number] == 0 && len(simulation.scenario.Restarts) == 0 &&
			decision.Verdict != ledger.Run:
			simulation.recordViolation("key %d never ran and is free, but the verdict is %s", number, decision.Verdict)
		}
	}
}

// TestModel checks random interleavings of hosts, lost and late writes, pauses,
// restarts and outages: no key may run twice, no host may report "not run" for a
// key that it ran, no recorded outcome may be lost, and a key that is certain not
// to have run must stay usable.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rapidT *rapid.T) {
		scenario := drawScenario(rapidT)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = newSimulation(scenario).run() })
		require.Empty(rapidT, violations)
	})
}
