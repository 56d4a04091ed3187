package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/queue"
)

// start is the time at which the tests begin.
var start = time.Date(2026, 1, 5, 6, 0, 0, 0, time.UTC)

// after returns the time a number of milliseconds after start.
func after(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

// popIDs pops up to count items and returns their IDs.
func popIDs(items *queue.Queue[int], count int) []string {
	var ids []string
	for range count {
		item, found := items.Pop(start, nil)
		if !found {
			break
		}
		ids = append(ids, item.ID)
	}
	return ids
}

// TestOrder guards against an item that is dispatched before one of a higher tier
// or before one of its own class that is due earlier.
func TestOrder(t *testing.T) {
	cases := []struct {
		name  string
		items []queue.Item[int]
		want  []string
	}{
		{"higher tier first", []queue.Item[int]{
			{ID: "low", Tier: 3, Class: "c", Due: after(1)},
			{ID: "high", Tier: 1, Class: "a", Due: after(9)},
		}, []string{"high", "low"}},
		{"earlier due first within a class", []queue.Item[int]{
			{ID: "late", Tier: 2, Class: "b", Due: after(9)},
			{ID: "none", Tier: 2, Class: "b"},
			{ID: "early", Tier: 2, Class: "b", Due: after(1)},
		}, []string{"early", "late", "none"}},
		{"earlier due first between classes of a tier", []queue.Item[int]{
			{ID: "x", Tier: 2, Class: "b", Due: after(9)},
			{ID: "y", Tier: 2, Class: "a", Due: after(1)},
		}, []string{"y", "x"}},
		{"served items are demoted by the tokens served", []queue.Item[int]{
			{ID: "served", Tier: 2, Class: "b", Due: after(1), Served: 100},
			{ID: "soon", Tier: 2, Class: "b", Due: after(400)},
			{ID: "later", Tier: 2, Class: "b", Due: after(600)},
		}, []string{"soon", "served", "later"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			items := queue.New[int](queue.Options{})
			for _, item := range test.items {
				require.NoError(t, items.Push(item))
			}
			require.Equal(t, test.want, popIDs(items, len(test.items)))
			require.Zero(t, items.Len())
		})
	}
}

// TestPushErrors guards against a queue that exceeds its capacity or accepts an
// item twice.
func TestPushErrors(t *testing.T) {
	items := queue.New[int](queue.Options{Capacity: 2})
	require.NoError(t, items.Push(queue.Item[int]{ID: "a", Tier: 1}))
	err := items.Push(queue.Item[int]{ID: "a", Tier: 2})
	require.True(t, fault.Is(err, queue.Duplicate), err)
	require.NoError(t, items.Push(queue.Item[int]{ID: "b", Tier: 1}))
	err = items.Push(queue.Item[int]{ID: "c", Tier: 1})
	require.True(t, fault.Is(err, queue.Full), err)
	require.Equal(t, []string{"a", "b"}, popIDs(items, 3))
	require.NoError(t, items.Push(queue.Item[int]{ID: "a", Tier: 1}))
}

// TestEligible guards against an eligible short item that is not found because
// ineligible long items, or ineligible items of one workspace, exhaust the scan.
func TestEligible(t *testing.T) {
	items := queue.New[int](queue.Options{})
	for index := range 1000 {
		id := fmt.Sprint("long-", index)
		require.NoError(t, items.Push(queue.Item[int]{
			ID: id, Tier: 2, Class: "b", Workspace: "w", Due: after(index), Long: true,
		}))
	}
	for index := range 20 {
		id := fmt.Sprint("held-", index)
		require.NoError(t, items.Push(queue.Item[int]{
			ID: id, Tier: 2, Class: "b", Workspace: "w", Due: after(index), Value: 1,
		}))
	}
	require.NoError(t, items.Push(queue.Item[int]{ID: "short", Tier: 2, Class: "b", Workspace: "v", Due: after(5000)}))
	item, found := items.Pop(start, func(item *queue.Item[int]) bool { return !item.Long && item.Value == 0 })
	require.True(t, found)
	require.Equal(t, "short", item.ID)
	_, found = items.Pop(start, func(*queue.Item[int]) bool { return false })
	require.False(t, found)
}

// TestExpired guards against dispatching an item whose deadline has passed.
func TestExpired(t *testing.T) {
	items := queue.New[int](queue.Options{})
	for index := range 200 {
		require.NoError(t, items.Push(queue.Item[int]{
			ID: fmt.Sprint(index), Tier: 1, Due: after(index), Deadline: after(1000 + index),
		}))
	}
	require.NoError(t, items.Push(queue.Item[int]{ID: "patient", Tier: 1, Due: after(5000)}))
	item, found := items.Pop(after(1150), nil)
	require.True(t, found)
	require.Equal(t, "151", item.ID)
	require.Len(t, items.Expired(after(1150)), 151)
	require.Equal(t, 49, items.Len())
	require.Empty(t, items.Expired(after(1150)))
}

// TestShed guards against shedding an item of the given tier or a higher one, or
// an item that was partly served.
func TestShed(t *testing.T) {
	items := queue.New[int](queue.Options{})
	for _, item := range []queue.Item[int]{
		{ID: "top", Tier: 1, Due: after(9)},
		{ID: "middle", Tier: 2, Due: after(9)},
		{ID: "low-early", Tier: 4, Due: after(1)},
		{ID: "low-late", Tier: 4, Due: after(5)},
		{ID: "low-served", Tier: 4, Due: after(9), Served: 3},
	} {
		require.NoError(t, items.Push(item))
	}
	_, found := items.Shed(4)
	require.False(t, found)
	for _, want := range []string{"low-late", "low-early", "middle"} {
		item, found := items.Shed(1)
		require.True(t, found)
		require.Equal(t, want, item.ID)
	}
	_, found = items.Shed(1)
	require.False(t, found)
	require.Equal(t, 1, items.LenTier(4))
	require.Equal(t, 2, items.Len())
}

// TestAhead guards against an estimate that counts items of lower tiers or items
// that are due later.
func TestAhead(t *testing.T) {
	items := queue.New[int](queue.Options{})
	for _, item := range []queue.Item[int]{
		{ID: "a", Tier: 1, Due: after(50), Cost: 10},
		{ID: "b", Tier: 2, Due: after(10), Cost: 20},
		{ID: "c", Tier: 2, Due: after(30), Cost: 40},
		{ID: "d", Tier: 3, Due: after(1), Cost: 80},
	} {
		require.NoError(t, items.Push(item))
	}
	count, cost := items.Ahead(2, after(20))
	require.Equal(t, 2, count)
	require.InDelta(t, 30, cost, 0)
	count, cost = items.Ahead(6, time.Time{})
	require.Equal(t, 4, count)
	require.InDelta(t, 150, cost, 0)
	require.Len(t, items.Drain(), 4)
	count, _ = items.Ahead(6, time.Time{})
	require.Zero(t, count)
}

// TestIdleWorkspace guards against a workspace that accumulates credit while idle
// and then delays the others.
func TestIdleWorkspace(t *testing.T) {
	items := queue.New[int](queue.Options{Quantum: 100})
	push := func(workspace string, index int) {
		require.NoError(t, items.Push(queue.Item[int]{
			ID: fmt.Sprint(workspace, index), Class: "c", Workspace: workspace, Tier: 1, Due: after(index), Cost: 100,
		}))
	}
	push("idle", -1)
	require.Equal(t, []string{"idle-1"}, popIDs(items, 1))
	for index := range 1000 {
		push("busy", index)
	}
	for range 500 {
		_, found := items.Pop(start, nil)
		require.True(t, found)
		items.Charge("c", "busy", 100)
	}
	for index := range 500 {
		push("idle", index)
	}
	served := map[string]int{}
	for range 100 {
		item, found := items.Pop(start, nil)
		require.True(t, found)
		items.Charge("c", item.Workspace, 100)
		served[item.Workspace]++
	}
	require.InDelta(t, 50, served["busy"], 2)
}

// TestReleaseReservation guards against a workspace that is set back by reserved
// tokens that it did not use.
func TestReleaseReservation(t *testing.T) {
	items := queue.New[int](queue.Options{Quantum: 100})
	served := map[string]int{}
	for index := range 400 {
		for _, workspace := range []string{"brief", "exact"} {
			require.NoError(t, items.Push(queue.Item[int]{
				ID: fmt.Sprint(workspace, index), Class: "c", Workspace: workspace, Tier: 1, Due: after(index), Cost: 400,
			}))
		}
	}
	for range 300 {
		item, found := items.Pop(start, nil)
		require.True(t, found)
		tokens := 400
		if item.Workspace == "brief" {
			tokens = 100
		}
		items.Charge("c", item.Workspace, tokens)
		items.ReleaseReservation("c", item.Workspace, item.Cost-float64(tokens))
		served[item.Workspace] += tokens
	}
	require.InDelta(t, served["brief"], served["exact"], 600)
}

// TestLateItems guards against late items that are dispatched before items of
// their class that can still meet their target, against late items that starve
// while others keep arriving, and against a changed order in the top tier.
func TestLateItems(t *testing.T) {
	for tier, want := range map[int]int{1: 0, 2: 7} {
		items := queue.New[int](queue.Options{})
		push := func(id string, due time.Time) {
			require.NoError(t, items.Push(queue.Item[int]{ID: id, Tier: tier, Class: "c", Due: due, Deadline: after(60_000)}))
		}
		push("late", after(-500))
		position := -1
		for index := 0; position < 0; index++ {
			push(fmt.Sprint(index), after(500))
			if popIDs(items, 1)[0] == "late" {
				position = index
			}
		}
		require.Equal(t, want, position, "tier %d", tier)
	}
}
