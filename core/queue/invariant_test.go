package queue_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/queue"
)

// modelCapacity is the capacity of the queue in TestModel.
const modelCapacity = 40

// model maps IDs to the items that the queue must contain.
type model map[string]queue.Item[int]

// mustDelete removes an item that the queue returned; the model must contain it.
func (model model) mustDelete(t *rapid.T, item queue.Item[int]) {
	require.Contains(t, model, item.ID)
	delete(model, item.ID)
}

// count returns the number of items that satisfy a predicate.
func (model model) count(holds func(queue.Item[int]) bool) int {
	count := 0
	for _, item := range model {
		if holds(item) {
			count++
		}
	}
	return count
}

// TestModel guards against lost, duplicated or miscounted items, by comparing the
// queue with a map over random operations.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := queue.New[int](queue.Options{Capacity: modelCapacity, Quantum: 50})
		model := model{}
		t.Repeat(map[string]func(*rapid.T){
			"push":    func(t *rapid.T) { model.push(t, items) },
			"pop":     func(t *rapid.T) { model.pop(t, items) },
			"remove":  func(t *rapid.T) { model.remove(t, items) },
			"shed":    func(t *rapid.T) { model.shed(t, items) },
			"expired": func(t *rapid.T) { model.expire(t, items) },
			"charge": func(t *rapid.T) {
				items.Charge("class-1", fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "w")), 30)
			},
			"": func(t *rapid.T) { model.check(t, items) },
		})
	})
}

func (model model) push(t *rapid.T, items *queue.Queue[int]) {
	item := drawItem(t)
	_, queued := model[item.ID]
	err := items.Push(item)
	require.Equal(t, queued || len(model) == modelCapacity, err != nil)
	if err == nil {
		model[item.ID] = item
	}
}

func (model model) pop(t *rapid.T, items *queue.Queue[int]) {
	now := after(rapid.IntRange(0, 100).Draw(t, "now"))
	item, found := items.Pop(now, func(item *queue.Item[int]) bool { return !item.Long })
	waiting := model.count(func(item queue.Item[int]) bool { return !item.Long && item.Deadline.After(now) })
	require.Equal(t, waiting > 0, found)
	if found {
		require.False(t, item.Long)
		require.True(t, item.Deadline.After(now))
		model.mustDelete(t, item)
	}
}

func (model model) remove(t *rapid.T, items *queue.Queue[int]) {
	id := fmt.Sprint(rapid.IntRange(0, 60).Draw(t, "id"))
	_, queued := model[id]
	item, found := items.Remove(id)
	require.Equal(t, queued, found)
	if found {
		model.mustDelete(t, item)
	}
}

func (model model) shed(t *rapid.T, items *queue.Queue[int]) {
	tier := rapid.IntRange(1, 3).Draw(t, "tier")
	item, found := items.Shed(tier)
	lowest := 0
	for _, other := range model {
		if other.Tier > tier && other.Served == 0 {
			lowest = max(lowest, other.Tier)
		}
	}
	require.Equal(t, lowest, item.Tier)
	if found {
		model.mustDelete(t, item)
	}
}

func (model model) expire(t *rapid.T, items *queue.Queue[int]) {
	now := after(rapid.IntRange(0, 60).Draw(t, "now"))
	for _, item := range items.Expired(now) {
		require.False(t, item.Deadline.After(now))
		model.mustDelete(t, item)
	}
	require.Zero(t, model.count(func(item queue.Item[int]) bool { return !item.Deadline.After(now) }))
}

// check compares the counts and the estimates of Ahead with the model.
func (model model) check(t *rapid.T, items *queue.Queue[int]) {
	require.Equal(t, len(model), items.Len())
	due := after(25)
	for tier := 1; tier <= 3; tier++ {
		cost := 0.0
		count := model.count(func(item queue.Item[int]) bool {
			demoted := item.Due.Add(time.Duration(item.Served) * queue.DefaultDemotionPerToken)
			ahead := item.Tier < tier || (item.Tier == tier && !demoted.After(due))
			if ahead {
				cost += item.Cost
			}
			return ahead
		})
		gotCount, gotCost := items.Ahead(tier, due)
		require.Equal(t, count, gotCount)
		require.InDelta(t, cost, gotCost, 1e-6)
		require.Equal(t, model.count(func(item queue.Item[int]) bool { return item.Tier == tier }), items.LenTier(tier))
	}
}

// drawItem returns a random item.
func drawItem(t *rapid.T) queue.Item[int] {
	tier := rapid.IntRange(1, 3).Draw(t, "tier")
	return queue.Item[int]{
		ID: fmt.Sprint(rapid.IntRange(0, 60).Draw(t, "id")), Tier: tier, Class: fmt.Sprint("class-", tier),
		Workspace: fmt.Sprint("w", rapid.IntRange(0, 3).Draw(t, "w")),
		Due:       after(rapid.IntRange(0, 50).Draw(t, "due")), Deadline: after(rapid.IntRange(20, 120).Draw(t, "deadline")),
		Cost: float64(rapid.IntRange(1, 100).Draw(t, "cost")), Long: rapid.Bool().Draw(t, "long"),
		Served: rapid.SampledFrom([]int{0, 0, 5}).Draw(t, "served"),
	}
}

// TestBounds guards against a class that starves, and against a top tier that is
// bypassed for minimum shares too often. Every class always has work queued, with
// random shares and costs, and both bounds documented at Queue must hold.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		classes := rapid.IntRange(2, 6).Draw(t, "classes")
		interval := rapid.IntRange(2, 6).Draw(t, "spacing")
		shares, costs := map[string]float64{}, map[string]float64{}
		largest := 0.0
		for tier := 1; tier <= classes; tier++ {
			class := fmt.Sprint("class-", tier)
			shares[class] = rapid.Float64Range(0.01, 0.15).Draw(t, "share")
			costs[class] = float64(rapid.IntRange(1, 3000).Draw(t, "cost"))
			largest = max(largest, costs[class])
		}
		const deficitThreshold = 500
		items := queue.New[int](queue.Options{MinimumShares: shares, MinimumShareInterval: interval, DeficitThreshold: deficitThreshold})
		costToOthers, dispatchesPastBound, sinceBypass, next := map[string]float64{}, map[string]int{}, interval, 0
		push := func(tier int) {
			class := fmt.Sprint("class-", tier)
			next++
			require.NoError(t, items.Push(queue.Item[int]{
				ID: fmt.Sprint(next), Tier: tier, Class: class, Cost: costs[class], Due: after(next),
			}))
		}
		for tier := 1; tier <= classes; tier++ {
			push(tier)
			push(tier)
		}
		for range 1000 {
			item, found := items.Pop(start, nil)
			require.True(t, found)
			push(item.Tier)
			sinceBypass++
			if item.Tier > 1 {
				require.GreaterOrEqual(t, sinceBypass, interval, "the top tier was bypassed too often")
				sinceBypass = 0
			}
			for class, share := range shares {
				if class == item.Class {
					costToOthers[class], dispatchesPastBound[class] = 0, 0
					continue
				}
				if costToOthers[class] >= (largest+deficitThreshold)/share {
					dispatchesPastBound[class]++
					require.LessOrEqual(t, dispatchesPastBound[class], interval*classes, "%s is starved", class)
				}
				costToOthers[class] += item.Cost
			}
		}
	})
}

// TestWorkspaceFairness guards against a workspace that gets more than its
// weighted share by sending more work, or work that is due earlier. The difference
// in tokens per weight must stay bounded over time.
func TestWorkspaceFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 6).Draw(t, "workspaces")
		const quantum = 200
		items := queue.New[int](queue.Options{Quantum: quantum})
		weights, costs, served := make([]float64, count), make([]int, count), make([]float64, count)
		next, largest := 0, 0.0
		push := func(workspace int) {
			next++
			require.NoError(t, items.Push(queue.Item[int]{
				ID: fmt.Sprint(next), Tier: 1, Class: "c", Workspace: fmt.Sprint(workspace), Value: workspace,
				Due: after(workspace * 1000), Cost: float64(costs[workspace]), Weight: weights[workspace],
			}))
		}
		for index := range count {
			weights[index] = rapid.Float64Range(0.5, 4).Draw(t, "weight")
			costs[index] = rapid.IntRange(1, 500).Draw(t, "cost")
			largest = max(largest, float64(costs[index])/weights[index])
			push(index)
			push(index)
		}
		for range 500 {
			item, found := items.Pop(start, nil)
			require.True(t, found)
			push(item.Value)
			items.Charge("c", item.Workspace, costs[item.Value])
			served[item.Value] += float64(costs[item.Value]) / weights[item.Value]
			require.LessOrEqual(t, slices.Max(served)-slices.Min(served), quantum+largest+1e-6)
		}
	})
}
