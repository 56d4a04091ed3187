// Package bench_test measures what one decision costs.
package bench_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"primrosegw/core/cell"
	"primrosegw/core/host"
	"primrosegw/core/queue"
	"primrosegw/core/route"
	"primrosegw/core/spec"
)

// start is the instant at which the benchmarks' clocks begin.
var start = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// queueItem returns the index-th item of a mix of 6 classes and 660 workspaces.
func queueItem(index int, id string) queue.Item[int] {
	tier := index%6 + 1
	return queue.Item[int]{
		ID: id, Class: fmt.Sprint("class-", tier), Workspace: fmt.Sprint("workspace-", index%660),
		Tier: tier, Due: start.Add(time.Duration(index*7919%100_000) * time.Millisecond),
		Deadline: start.Add(time.Hour + time.Duration(index)*time.Millisecond),
		Cost:     float64(index%3000 + 1), Weight: 1, Long: index%10 == 0,
	}
}

// filledQueue returns a queue of a given length.
func filledQueue(b *testing.B, length int) *queue.Queue[int] {
	items := queue.New[int](queue.Options{Capacity: length + 1})
	for index := range length {
		if err := items.Push(queueItem(index, fmt.Sprint("call-", index))); err != nil {
			b.Fatal(err)
		}
	}
	return items
}

// BenchmarkQueue measures one push, one wait estimate, one pop and one charge at
// a constant queue length, with all items eligible and with long items held back.
func BenchmarkQueue(b *testing.B) {
	for _, length := range []int{100, 1_000, 10_000, 100_000} {
		for _, capped := range []bool{false, true} {
			b.Run(fmt.Sprintf("length=%d/long_capped=%t", length, capped), func(b *testing.B) {
				benchmarkQueue(b, filledQueue(b, length), queueItem(length, "spare"), capped)
			})
		}
	}
}

func benchmarkQueue(b *testing.B, items *queue.Queue[int], spare queue.Item[int], capped bool) {
	eligible := func(item *queue.Item[int]) bool { return !capped || !item.Long }
	b.ReportAllocs()
	for b.Loop() {
		if err := items.Push(spare); err != nil {
			b.Fatal(err)
		}
		items.Ahead(spare.Tier, spare.Due)
		spare, _ = items.Pop(start, eligible)
		items.Charge(spare.Class, spare.Workspace, int(spare.Cost))
	}
}

// routeCandidates returns cells spread over 12 failure domains, with summaries
// of owners that have a number of engines each. The own failure domain is loaded
// past the target of benchmarkRoute, so that the choice spills.
func routeCandidates(cells, engines int) []route.Candidate {
	candidates := make([]route.Candidate, cells)
	for index := range candidates {
		wait := uint32(2 * time.Hour / time.Millisecond)
		if index%12 != 0 {
			wait = uint32(index)
		}
		candidates[index] = route.Candidate{
			Cell: fmt.Sprint("cell-", index), FailureDomain: fmt.Sprint("domain-", index%12),
			Owner: host.Host{Name: fmt.Sprint("host-", index), State: host.Alive}, Known: true,
			Summary: cell.Summary{Slots: 8 * engines, Free: index % (8 * engines), WaitMs: [6]uint32{wait, wait, wait}},
			Age:     time.Duration(index) * time.Millisecond, PrefixMatch: index * 10,
		}
	}
	return candidates
}

// BenchmarkRoute measures one choice by the number of cells that serve a model
// and the number of engines of a cell.
func BenchmarkRoute(b *testing.B) {
	for _, cells := range []int{8, 24, 72, 220} {
		for _, engines := range []int{1, 4, 16} {
			b.Run(fmt.Sprintf("cells=%d/engines=%d", cells, engines), func(b *testing.B) {
				benchmarkRoute(b, routeCandidates(cells, engines))
			})
		}
	}
}

func benchmarkRoute(b *testing.B, candidates []route.Candidate) {
	router := route.New(route.Options{})
	random := rand.New(rand.NewPCG(1, 2))
	request := cell.Request{
		Tier: 1, PromptTokens: 1000,
		// The target must not pass while the benchmark runs.
		FirstToken: time.Now().Add(time.Hour), Deadline: time.Now().Add(10 * time.Hour),
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := router.Choose(request, "domain-0", candidates, random); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPrefixes measures the match of a prompt of 16 prefixes against a full
// index, and the intake of one cache event.
func BenchmarkPrefixes(b *testing.B) {
	prefixes := route.NewPrefixIndex(0)
	sequence := uint64(0)
	apply := func() {
		sequence++
		event := route.CacheEvent{Sequence: sequence, Stored: true, Prefix: sequence, Tokens: 64}
		prefixes.Apply(fmt.Sprint("cell-", sequence%8), []route.CacheEvent{event})
	}
	for range route.DefaultPrefixCapacity {
		apply()
	}
	b.Run("match", func(b *testing.B) {
		hashes := make([]uint64, 16)
		for index := range hashes {
			hashes[index] = uint64(index * 1000)
		}
		var matches []route.Match
		b.ReportAllocs()
		for b.Loop() {
			matches = prefixes.Match(hashes, matches[:0])
		}
	})
	b.Run("apply", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			apply()
		}
	})
}

// BenchmarkCells measures the division of all servers into cells, which runs
// when a document comes into force.
func BenchmarkCells(b *testing.B) {
	var pools []spec.Pool
	var servers []spec.BackendServer
	for index := range 1400 {
		pool, failureDomain := fmt.Sprint("pool-", index%18), fmt.Sprint("domain-", index/18%12)
		if index < 18 {
			pools = append(pools, spec.Pool{Name: pool})
		}
		servers = append(servers, spec.BackendServer{Name: fmt.Sprint("engine-", index), Pool: pool, FailureDomain: failureDomain})
	}
	b.ReportAllocs()
	for b.Loop() {
		route.Cells(pools, servers)
	}
}
