package route_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosegw/core/route"
	"primrosegw/core/spec"
)

// servers returns a number of servers of one pool in one failure domain.
func servers(pool, failureDomain string, count int) []spec.BackendServer {
	made := make([]spec.BackendServer, count)
	for index := range made {
		made[index] = spec.BackendServer{Name: fmt.Sprint(pool, "-", failureDomain, "-", index), Pool: pool, FailureDomain: failureDomain}
	}
	return made
}

// homes returns the cell of each server.
func homes(cells []route.Cell) map[string]string {
	homes := map[string]string{}
	for _, cell := range cells {
		for _, server := range cell.Servers {
			homes[server.Name] = cell.Name
		}
	}
	return homes
}

// moved counts the servers that are in both divisions and in another cell.
func moved(before, after map[string]string) int {
	count := 0
	for server, cell := range before {
		if other, stays := after[server]; stays && other != cell {
			count++
		}
	}
	return count
}

// TestCells guards against names that differ from "<pool>/<failure_domain>/<index>",
// pools split too early, and servers of unknown pools.
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
	require.Len(t, homes(cells), 34)
}

// TestCellsStable guards against a document change that moves many servers
// between cells, which would lose their queues and what is known of them.
func TestCellsStable(t *testing.T) {
	pools := []spec.Pool{{Name: "p"}}
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 150).Draw(t, "servers")
		all := servers("p", "d", count)
		before := route.Cells(pools, all)
		for _, cell := range before {
			require.LessOrEqual(t, len(cell.Servers), route.CellServers)
		}
		require.Len(t, homes(before), count)
		gone := rapid.IntRange(0, count-1).Draw(t, "gone")
		after := route.Cells(pools, append(all[:gone:gone], all[gone+1:]...))
		limit := 2
		if cells := max(len(before), len(after)); len(before) != len(after) {
			// A cell comes or goes with its part of the servers.
			limit += 2 * count / cells
		}
		require.LessOrEqual(t, moved(homes(before), homes(after)), limit)
	})
}

// TestCellsRoom guards against cells without room, in which one removed server
// moves others from cell to cell in a chain.
func TestCellsRoom(t *testing.T) {
	pools := []spec.Pool{{Name: "p"}}
	for count := 17; count < 110; count += 2 {
		all := servers("p", "d", count)
		before := route.Cells(pools, all)
		for gone := 0; gone < count; gone += 5 {
			after := route.Cells(pools, append(all[:gone:gone], all[gone+1:]...))
			if len(before) == len(after) {
				require.LessOrEqual(t, moved(homes(before), homes(after)), 1, "%d servers", count)
			}
		}
	}
}
