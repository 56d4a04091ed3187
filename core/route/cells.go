package route

import (
	"cmp"
	"fmt"
	"slices"

	"primrosegw/core/host"
	"primrosegw/core/spec"
)

const (
	// CellServers is the greatest number of servers of a cell.
	CellServers = 16
	// meanServers is the mean size of the cells of a pool that is split. The
	// room between it and CellServers keeps a change of one server from
	// pushing others from cell to cell: over 17 to 109 servers, removing one
	// moved at most 1 other, and up to 4 with a mean of 16.
	meanServers = 12
)

// Cell is some servers of one pool in one failure domain that share a queue.
type Cell struct {
	// Name is "<pool>/<failure_domain>/<index>".
	Name          string
	Pool          string
	FailureDomain string
	// Servers are in the order of their names.
	Servers []spec.BackendServer
}

// Cells divides the servers of the given pools into cells, ordered by name of
// pool, failure domain and index. The result depends on the names alone, so all
// hosts with the same document agree. Leaving servers keep their place.
//
// Up to CellServers servers make one cell. More are spread by rendezvous hashing
// with bounded cells: server and cell pairs are taken by descending score, and a
// full cell takes no more. While the number of cells stays, a new or removed
// server moves few others; a new cell takes its part from the others.
func Cells(pools []spec.Pool, servers []spec.BackendServer) []Cell {
	type place struct{ pool, failureDomain string }
	groups := make(map[place][]spec.BackendServer)
	known := make(map[string]bool, len(pools))
	for _, pool := range pools {
		known[pool.Name] = true
	}
	for _, server := range servers {
		if known[server.Pool] {
			place := place{server.Pool, server.FailureDomain}
			groups[place] = append(groups[place], server)
		}
	}
	var cells []Cell
	for place, group := range groups {
		cells = append(cells, split(place.pool, place.failureDomain, group)...)
	}
	slices.SortFunc(cells, func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.FailureDomain, b.FailureDomain),
			cmp.Compare(len(a.Name), len(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return cells
}

// split divides the servers of one pool in one failure domain. Cells that get no
// server come out.
func split(pool, failureDomain string, servers []spec.BackendServer) []Cell {
	slices.SortFunc(servers, func(a, b spec.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	count := 1
	if len(servers) > CellServers {
		count = (len(servers) + meanServers - 1) / meanServers
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
	home := assign(cells, servers)
	for index, server := range servers {
		cell := &cells[home[index]]
		cell.Servers = append(cell.Servers, server)
	}
	return slices.DeleteFunc(cells, func(cell Cell) bool { return len(cell.Servers) == 0 })
}

// pair is a possible place of a server with its score.
type pair struct {
	score        uint64
	server, cell int
}

// assign returns the index of the cell of each server.
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
	home := slices.Repeat([]int{-1}, len(servers))
	sizes := make([]int, len(cells))
	for _, pair := range pairs {
		if home[pair.server] < 0 && sizes[pair.cell] < CellServers {
			home[pair.server] = pair.cell
			sizes[pair.cell]++
		}
	}
	return home
}
