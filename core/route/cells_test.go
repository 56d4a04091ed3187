package route_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/route"
	"primrosegw/core/spec"
)

// servers returns count servers of one pool in one failure domain.
func servers(pool, failureDomain string, count int) []spec.BackendServer {
	created := make([]spec.BackendServer, count)
	for index := range created {
		created[index] = spec.BackendServer{Name: fmt.Sprint(pool, "-", failureDomain, "-", index), Pool: pool, FailureDomain: failureDomain}
	}
	return created
}

// cellsByServer maps the name of each server to its cell.
func cellsByServer(cells []route.Cell) map[string]string {
	assignments := map[string]string{}
	for _, cell := range cells {
		for _, server := range cell.Servers {
			assignments[server.Name] = cell.Name
		}
	}
	return assignments
}

// countMoved counts the servers that are in both assignments but in different cells.
func countMoved(before, after map[string]string) int {
	count := 0
	for server, cell := range before {
		if other, stays := after[server]; stays && other != cell {
			count++
		}
	}
	return count
}

// TestCells guards against cell names other than "<pool>/<failure_domain>/<index>",
// pools that are split although one cell is enough, and servers of unknown pools.
func TestCells(t *testing.T) {
	all := append(servers("sketch", "caxias", 16), servers("sketch", "bento", 17)...)
	all = append(all, servers("ledger", "bento", 1)...)
	all = append(all, servers("unknown", "bento", 3)...)
	cells := route.Cells([]spec.Pool{{Name: "sketch"}, {Name: "ledger"}}, all)
	var names []string
	for _, cell := range cells {
		names = append(names, cell.Name)
	}
	require.Equal(t, []string{"ledger/bento/0", "sketch/bento/0", "sketch/bento/1", "sketch/caxias/0"}, names)
	require.Len(t, cells[3].Servers, 16)
	require.Len(t, cellsByServer(cells), 34)
}

// TestCellsStable guards against a document change that moves many servers
// between cells, which would lose their queues and recorded state.
func TestCellsStable(t *testing.T) {
	pools := []spec.Pool{{Name: "p"}}
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 150).Draw(t, "servers")
		all := servers("p", "d", count)
		before := route.Cells(pools, all)
		for _, cell := range before {
			require.LessOrEqual(t, len(cell.Servers), route.MaximumCellServers)
		}
		require.Len(t, cellsByServer(before), count)
		gone := rapid.IntRange(0, count-1).Draw(t, "gone")
		after := route.Cells(pools, append(all[:gone:gone], all[gone+1:]...))
		limit := 2
		if cells := max(len(before), len(after)); len(before) != len(after) {
			// An added or removed cell moves its share of the servers.
			limit += 2 * count / cells
		}
		require.LessOrEqual(t, countMoved(cellsByServer(before), cellsByServer(after)), limit)
	})
}

// TestCellsHeadroom guards against cells without headroom, where the removal of
// one server displaces others in a chain.
func TestCellsHeadroom(t *testing.T) {
	pools := []spec.Pool{{Name: "p"}}
	for count := 17; count < 110; count += 2 {
		all := servers("p", "d", count)
		before := route.Cells(pools, all)
		for gone := 0; gone < count; gone += 5 {
			after := route.Cells(pools, append(all[:gone:gone], all[gone+1:]...))
			if len(before) == len(after) {
				require.LessOrEqual(t, countMoved(cellsByServer(before), cellsByServer(after)), 1, "%d servers", count)
			}
		}
	}
}
