package bench_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/heads"
	"primrosegw/core/host"
	"primrosegw/core/spread"
	"primrosegw/core/store"
)

// The bounds of the control plane per host at the two-year target.
const (
	bytesBound  = 13000.0 // per second
	cpuBound    = 2.4     // percent of a core
	memoryBound = 32.0    // MB
	// changePeriod is the mean time between changes at 1,200 a day, in seconds.
	changePeriod = 72.0
	// steadyPeriod is the time measured without a change, in seconds.
	steadyPeriod  = 4
	targetEngines = 1400
)

// cost is what the control plane takes per host.
type cost struct {
	bytes, most, cpu, memory float64
	summaryAge               float64
	// messages is the number sent per second, without those of changes.
	messages float64
}

// Guards against a control plane that outgrows its budget per host as hosts,
// cells and engines are added.
func TestControlCost(t *testing.T) {
	cells := map[int][]int{8: {8}, 32: {28}, 100: {70}, 340: {220, 8}}
	sizes := fleetSizes()
	if !testing.Short() {
		sizes = append(sizes, 32)
	}
	costs := map[[2]int]cost{}
	for _, hosts := range sizes {
		synctest.Test(t, func(t *testing.T) {
			before := heapBytes()
			network := newNetwork(t, fleetOptions{hosts: hosts, seed: 1})
			// Passes the time in which the joins are news.
			network.run(20 * time.Second)
			for _, count := range cells[hosts] {
				cost := network.measureControl(count, before)
				costs[[2]int{hosts, count}] = cost
				cost.print(t, hosts, count)
			}
		})
	}
	if testing.Short() {
		return
	}
	small, wide, full := costs[[2]int{8, 8}], costs[[2]int{340, 8}], costs[[2]int{340, 220}]
	slope := func(name string, from, to cost, by float64) {
		t.Logf("measure=control_slope policy=primrosegw per=%s value=%.3g unit=B/s", name, (to.bytes-from.bytes)/by)
		t.Logf("measure=control_slope policy=primrosegw per=%s value=%.3g unit=%%", name, (to.cpu-from.cpu)/by)
	}
	slope("host", small, wide, 340-8)
	slope("cell", wide, full, 220-8)
	t.Logf("measure=control_slope policy=primrosegw per=host value=%.3g unit=MB", (full.memory-small.memory)/(340-8))
}

// print prints the cost and compares it with the bounds.
func (cost cost) print(t *testing.T, hosts, cells int) {
	t.Logf("measure=control policy=primrosegw hosts=%d value=%.0f unit=B/s bound=13000", hosts, cost.bytes)
	line := func(measure string, value float64, unit string, bound float64) {
		t.Logf("measure=control_%s policy=primrosegw hosts=%d cells=%d engines=%d value=%.4g unit=%s bound=%g",
			measure, hosts, cells, targetEngines, value, unit, bound)
		require.LessOrEqual(t, value, bound, measure)
	}
	line("bytes", cost.bytes, "B/s", bytesBound)
	line("bytes_most", cost.most, "B/s", bytesBound)
	line("cpu", cost.cpu, "%", cpuBound)
	line("memory", cost.memory, "MB", memoryBound)
	t.Logf("measure=control_messages policy=primrosegw hosts=%d cells=%d value=%.1f unit=1/s", hosts, cells, cost.messages)
	t.Logf("measure=control_summary_age policy=primrosegw hosts=%d cells=%d value=%.0f unit=ms", hosts, cells, cost.summaryAge)
}

// measureControl deals cells over the hosts, runs them without changes, then
// makes one, and returns the cost per host with changes at their mean rate. CPU
// counts the whole process: the network's own work is in it, that of QUIC and TLS
// is not. Memory counts the heap above before.
func (network *network) measureControl(cells int, before float64) cost {
	for _, node := range network.nodes {
		node.summaries = newSummaries(node, cells, len(network.nodes))
	}
	network.changes++
	network.put(network.changes, newDocument(network.t, targetEngines, int(network.changes)))
	network.run(2 * time.Second)
	require.True(network.t, network.inForce(network.changes))
	for _, node := range network.nodes {
		node.summaries.ages, node.summaries.merged = 0, 0
	}
	steadyCPU, steadyBytes, most := network.measure(func() { network.run(steadyPeriod * time.Second) })
	messages, _, _ := network.totals()
	var age, merged int64
	for _, node := range network.nodes {
		age += node.summaries.ages
		merged += node.summaries.merged
	}
	next := newDocument(network.t, targetEngines, int(network.changes)+1)
	changeCPU, changeBytes, _ := network.measure(func() {
		network.changes++
		network.put(network.changes, next)
		network.run(2 * time.Second)
	})
	require.True(network.t, network.inForce(network.changes))
	// Each host now has a copy of the document of its own.
	memory := heapBytes() - before
	changeCPU -= steadyCPU * 2 / steadyPeriod
	changeBytes -= steadyBytes * 2 / steadyPeriod
	count := float64(len(network.nodes))
	return cost{
		bytes:      (steadyBytes/steadyPeriod + changeBytes/changePeriod) / count,
		most:       most/steadyPeriod + changeBytes/changePeriod/count,
		cpu:        100 * (steadyCPU/steadyPeriod + changeCPU/changePeriod) / count,
		memory:     memory / count / 1e6,
		summaryAge: float64(age) / float64(max(1, merged)),
		messages:   float64(messages) / steadyPeriod / count,
	}
}

// measure runs a function and returns the CPU time of the process in seconds,
// the bytes sent by all hosts and the most by one.
func (network *network) measure(run func()) (cpu, bytes, most float64) {
	network.encoded = true
	network.reset()
	began := processTime(network.t)
	run()
	cpu = (processTime(network.t) - began).Seconds()
	network.encoded = false
	_, sum, highest := network.totals()
	return cpu, float64(sum), float64(highest)
}

// processTime returns the CPU time that this process has used.
func processTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the heap in use after a collection.
func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// countingStore is the key-value service: it counts calls and waiting watches.
type countingStore struct {
	store.Store

	mutex   sync.Mutex
	entries map[string]store.Entry
	watches []chan store.Event
	calls   int
}

// Get reads a key.
func (counting *countingStore) Get(_ context.Context, key string) (store.Entry, error) {
	counting.mutex.Lock()
	defer counting.mutex.Unlock()
	counting.calls++
	entry, found := counting.entries[key]
	if !found {
		return entry, fault.New("bench.get", store.Absent, key)
	}
	return entry, nil
}

// Watch reports the next changes.
func (counting *countingStore) Watch(context.Context, string, int64) (<-chan store.Event, error) {
	counting.mutex.Lock()
	defer counting.mutex.Unlock()
	counting.calls++
	watch := make(chan store.Event, 8)
	counting.watches = append(counting.watches, watch)
	return watch, nil
}

// put stores heads with their document and tells the watches.
func (counting *countingStore) put(t *testing.T, generation uint64, document []byte) {
	counting.mutex.Lock()
	defer counting.mutex.Unlock()
	digest := heads.Digest(document)
	value, err := heads.Heads{
		Environment: environment, Generation: generation, Production: heads.AcceptedDocument{Digest: digest},
	}.Encode()
	require.NoError(t, err)
	counting.entries[heads.DocumentKey(environment, digest)] = store.Entry{Value: document}
	entry := store.Entry{Key: heads.Key(environment), Value: value, Revision: int64(generation)}
	counting.entries[entry.Key] = entry
	for _, watch := range counting.watches {
		select {
		case watch <- store.Event{Entry: entry}:
		default:
		}
	}
}

// Guards against calls to the key-value service that grow with the network: the
// service takes about 2,000 reads a second from all its users.
func TestServiceCalls(t *testing.T) {
	const bound = 20.0
	for _, hosts := range []int{8, 32, 100, 340} {
		synctest.Test(t, func(t *testing.T) {
			service := &countingStore{entries: map[string]store.Entry{}}
			ctx, cancel := context.WithCancel(t.Context())
			watchAll(ctx, t, service, hosts)
			time.Sleep(10 * time.Second)
			service.mutex.Lock()
			service.calls = 0
			service.mutex.Unlock()
			for change := range uint64(10) {
				service.put(t, change+1, fmt.Append(nil, "document ", change))
				time.Sleep(changePeriod * time.Second)
			}
			service.mutex.Lock()
			perSecond := float64(service.calls) / (10 * changePeriod)
			service.mutex.Unlock()
			t.Logf("measure=control_calls policy=primrosegw hosts=%d value=%.2f unit=calls/s bound=%.0f", hosts, perSecond, bound)
			require.LessOrEqual(t, perSecond, bound)
			cancel()
			synctest.Wait()
		})
	}
}

// watchAll runs the watchers of hosts over the failure domains, the first two
// of each being its relays.
func watchAll(ctx context.Context, t *testing.T, service *countingStore, hosts int) {
	for i := range hosts {
		self := host.Host{Name: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % domains), State: host.Alive}
		random := rand.New(rand.NewPCG(uint64(i), 1))
		one, err := spread.New(spread.Options{
			Self:  func() host.Host { return self },
			Hosts: func() []host.Host { return []host.Host{self} },
			Relays: func(string) []string {
				return []string{fmt.Sprint(i % domains), fmt.Sprint(i%domains + domains)}
			},
			Send:   func(host.Host, spread.Message) {},
			Apply:  func(heads.Heads, []byte) error { return nil },
			Random: random,
		})
		require.NoError(t, err)
		client, err := heads.New(heads.Options{Store: service, Environment: environment, Random: random})
		require.NoError(t, err)
		watcher, err := spread.NewWatcher(spread.WatcherOptions{
			Spread: one, Client: client, Store: service, Environment: environment, Random: random,
		})
		require.NoError(t, err)
		go watcher.Run(ctx)
	}
}
