// Package bench_test measures what one decision costs.
package bench_test

import (
	"fmt"
	"testing"
	"time"

	"primrosegw/core/queue"
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
