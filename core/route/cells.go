package route

import (
	"cmp"
	"fmt"
	"slices"

	"primrosegw/core/host"
	"primrosegw/core/spec"
)

const (
	// MaximumCellServers is the maximum number of servers in a cell.
	MaximumCellServers = 16
	// targetCellServers is the mean number of servers per cell when a pool is
	// split. The headroom below MaximumCellServers prevents a change of one server
	// from displacing others in a chain: with 17 to 109 servers, removing one moved
	// at most 1 other, compared with up to 4 at a mean of 16.
	targetCellServers = 12
)

// Cell is a group of servers of one pool in one failure domain that share a queue.
type Cell struct {
	// Name is "<pool>/<failure_domain>/<index>".
	Name          string
	Pool          string
	FailureDomain string
	// Servers are sorted by name.
	Servers []spec.BackendServer
}

// Cells divides the servers of the given pools into cells, sorted by pool, failure
// domain and index. The result depends on names only, so all hosts with the same
// document compute the same cells. Servers that are leaving stay in their cells.
//
// Up to MaximumCellServers servers form one cell. More are assigned by rendezvous
// hashing with bounded loads: pairs of server and cell are taken by descending
// score, and a full cell accepts no more. While the number of cells is unchanged,
// adding or removing a server moves few others; a new cell takes its share of the
// servers from the others.
func Cells(pools []spec.Pool, servers []spec.BackendServer) []Cell {
	type poolDomain struct{ pool, failureDomain string }
	groups := make(map[poolDomain][]spec.BackendServer)
	known := make(map[string]bool, len(pools))
	for _, pool := range pools {
		known[pool.Name] = true
	}
	for _, server := range servers {
		if known[server.Pool] {
			poolDomain := poolDomain{server.Pool, server.FailureDomain}
			groups[poolDomain] = append(groups[poolDomain], server)
		}
	}
	var cells []Cell
	for poolDomain, group := range groups {
		cells = append(cells, splitIntoCells(poolDomain.pool, poolDomain.failureDomain, group)...)
	}
	slices.SortFunc(cells, func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.FailureDomain, b.FailureDomain),
			cmp.Compare(len(a.Name), len(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return cells
}

// splitIntoCells divides the servers of one pool in one failure domain. Cells
// without servers are omitted.
func splitIntoCells(pool, failureDomain string, servers []spec.BackendServer) []Cell {
	slices.SortFunc(servers, func(a, b spec.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	count := 1
	if len(servers) > MaximumCellServers {
		count = (len(servers) + targetCellServers - 1) / targetCellServers
	}
	cells := make([]Cell, count)
	for index := range cells {
		name := fmt.Sprintf("%s/%s/%d", pool, failureDomain, index)
		cells[index] = Cell{Name: name, Pool: pool, FailureDomain: failureDomain}
	}
	if count == 1 {
		cells[0].Servers = servers
		return cells
	}
	assignment := assign(cells, servers)
	for index, server := range servers {
		cell := &cells[assignment[index]]
		cell.Servers = append(cell.Servers, server)
	}
	return slices.DeleteFunc(cells, func(cell Cell) bool { return len(cell.Servers) == 0 })
}

// pair is a possible assignment of a server to a cell, with its rendezvous score.
type pair struct {
	score        uint64
	server, cell int
}

// assign returns for each server the index of its cell.
func assign(cells []Cell, servers []spec.BackendServer) []int {
	pairs := make([]pair, 0, len(cells)*len(servers))
	for server := range servers {
		for cell := range cells {
			pairs = append(pairs, pair{host.Score(servers[server].Name, cells[cell].Name), server, cell})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.server, b.server), cmp.Compare(a.cell, b.cell))
	})
	assignment := slices.Repeat([]int{-1}, len(servers))
	sizes := make([]int, len(cells))
	for _, pair := range pairs {
		if assignment[pair.server] < 0 && sizes[pair.cell] < MaximumCellServers {
			assignment[pair.server] = pair.cell
			sizes[pair.cell]++
		}
	}
	return assignment
}
