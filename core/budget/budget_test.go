package budget_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/budget"
	"primrosegw/core/fault"
)

const total = 1 << 20

// Guards against bytes that are not given back, given back twice, or held beyond the budget,
// whatever the order in which callers take, give, and leave.
func TestUseIsExactAtEveryStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limited := budget.New(total)
		type holder struct {
			hold  *budget.Hold
			bytes int64
			ended bool
		}
		var holders []*holder
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			action := rapid.IntRange(0, 4).Draw(t, "action")
			if action == 0 || len(holders) == 0 {
				server, workspace := rapid.IntRange(0, 2).Draw(t, "server"), rapid.IntRange(0, 1).Draw(t, "workspace")
				holders = append(holders, &holder{hold: limited.Open(budget.Server(fmt.Sprint(server)), budget.Workspace(fmt.Sprint(workspace)))})
				continue
			}
			holder := rapid.SampledFrom(holders).Draw(t, "holder")
			bytes := rapid.Int64Range(0, total/4).Draw(t, "bytes")
			switch action {
			case 1, 2:
				if err := holder.hold.Take(bytes); err == nil {
					require.False(t, holder.ended)
					holder.bytes += bytes
				}
			case 3:
				holder.hold.Give(bytes)
				holder.bytes -= min(bytes, holder.bytes)
			case 4:
				holder.hold.Release()
				holder.bytes, holder.ended = 0, true
			}
			sum := int64(0)
			for _, holder := range holders {
				sum += holder.bytes
			}
			require.Equal(t, sum, limited.Used())
			require.LessOrEqual(t, sum, int64(total))
		}
		for _, holder := range holders {
			holder.hold.Release()
		}
		require.Zero(t, limited.Used())
	})
}

// Guards against one server or one workspace that takes so much that others get nothing.
func TestOneHolderLeavesRoom(t *testing.T) {
	const piece = 16 << 10
	fill := func(limited *budget.Budget, party budget.Party) (bytes int64, err error) {
		for {
			if err = limited.Open(party).Take(piece); err != nil {
				return bytes, err
			}
			bytes += piece
		}
	}
	limited := budget.New(total)
	first, err := fill(limited, budget.Server("faulty"))
	require.True(t, fault.Is(err, budget.ServerShare), err)
	require.LessOrEqual(t, first, int64(total/2))
	second, err := fill(limited, budget.Server("second"))
	require.True(t, fault.Is(err, budget.ServerShare), err)
	require.GreaterOrEqual(t, second, int64(total/4-piece))
	require.NoError(t, limited.Open(budget.Server("faulty")).Take(1<<10), "small messages pass")

	limited = budget.New(total)
	first, err = fill(limited, budget.Workspace("greedy"))
	require.True(t, fault.Is(err, budget.WorkspaceShare), err)
	require.LessOrEqual(t, first, int64(total*2/3))
	second, err = fill(limited, budget.Workspace("second"))
	require.True(t, fault.Is(err, budget.WorkspaceShare), err)
	require.GreaterOrEqual(t, second, int64(total/6))
	require.Equal(t, map[budget.Kind]int{budget.WorkspaceShare: 2}, limited.TakeRefused())
	require.Empty(t, limited.TakeRefused())
}

// Guards against refusing the holder with little before the one with much.
func TestTheLargestHolderIsRefusedFirst(t *testing.T) {
	limited := budget.New(total)
	require.NoError(t, limited.Open(budget.Server("large")).Take(total/2))
	require.Error(t, limited.Open(budget.Server("large")).Take(smallest))
	require.NoError(t, limited.Open(budget.Server("small")).Take(smallest))
}

const smallest = 8 << 10

// Guards against taking more bytes than there are, also in small holds, and against holds that
// take bytes after their end.
func TestFullAndEnded(t *testing.T) {
	limited := budget.New(4 << 10)
	hold := limited.Open()
	require.NoError(t, hold.Take(4<<10))
	require.True(t, fault.Is(limited.Open().Take(1), budget.Full))
	hold.Release()
	require.True(t, fault.Is(hold.Take(1), budget.Ended))
	require.Zero(t, limited.Used())
}

// Guards against data races and lost updates.
func TestConcurrentHolders(t *testing.T) {
	limited := budget.New(total)
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			random := rand.New(rand.NewPCG(uint64(worker), 1))
			for range 2000 {
				hold := limited.Open(budget.Server(fmt.Sprint(random.IntN(3))), budget.Workspace(fmt.Sprint(worker%2)))
				_ = hold.Take(random.Int64N(total / 8))
				hold.Give(random.Int64N(total / 16))
				hold.Release()
			}
		})
	}
	group.Wait()
	require.Zero(t, limited.Used())
}
