package table

import (
	"maps"
	"slices"
)

// LastRank is the rank of the least urgent requests.
const LastRank = 9

// ranks orders requests by the priority of their workspace and then by that of
// their route, in as many steps as the configuration needs.
type ranks struct {
	workspaces []int
	routes     []int
	// bulk is the priority of the least urgent routes by service.
	bulk map[string]int
}

func newRanks(data Data) ranks {
	workspaces, routes := map[int]bool{}, map[int]bool{}
	bulk := map[string]int{}
	for _, workspace := range data.Workspaces {
		if workspace.HasPriority {
			workspaces[workspace.Priority] = true
		}
	}
	for _, route := range data.Routes {
		routes[route.Priority] = true
		for _, target := range route.Targets {
			bulk[target.Service] = max(bulk[target.Service], route.Priority)
		}
	}
	return ranks{slices.Sorted(maps.Keys(workspaces)), slices.Sorted(maps.Keys(routes)), bulk}
}

// Rank returns the urgency of a request from 0, the most urgent, to LastRank. A
// workspace without a priority comes after those that have one.
func (table *Table) Rank(route Route, workspace Workspace) int {
	group := max(0, len(table.ranks.workspaces)-1)
	if workspace.HasPriority {
		group = max(0, slices.Index(table.ranks.workspaces, workspace.Priority))
	}
	step := max(0, slices.Index(table.ranks.routes, route.Priority))
	return min(LastRank, group*len(table.ranks.routes)+step)
}

// Bulk reports whether a route is among the least urgent ones of a service that
// also serves more urgent ones.
func (table *Table) Bulk(route Route, service string) bool {
	return len(table.ranks.routes) > 1 && route.Priority > 0 && route.Priority == table.ranks.bulk[service]
}
