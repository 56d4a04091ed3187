package table

import (
	"maps"
	"slices"
)

// LastRank is the rank of the least urgent requests.
const LastRank = 9

// ranks maps priorities to ranks. Requests are ordered by the priority of their
// workspace and then by that of their route, with one rank per distinct pair.
type ranks struct {
	// workspaces and routes are the distinct priorities in ascending order.
	workspaces []int
	routes     []int
	// lowest is the priority number of the least urgent routes, by service.
	lowest map[string]int
	// highest is that of the most urgent routes.
	highest map[string]int
}

func newRanks(data Data) ranks {
	workspaces, routes := map[int]bool{}, map[int]bool{}
	lowest, highest := map[string]int{}, map[string]int{}
	for _, workspace := range data.Workspaces {
		if workspace.HasPriority {
			workspaces[workspace.Priority] = true
		}
	}
	for _, route := range data.Routes {
		routes[route.Priority] = true
		for _, target := range route.Targets {
			lowest[target.Service] = max(lowest[target.Service], route.Priority)
			if first, ok := highest[target.Service]; !ok || route.Priority < first {
				highest[target.Service] = route.Priority
			}
		}
	}
	return ranks{slices.Sorted(maps.Keys(workspaces)), slices.Sorted(maps.Keys(routes)), lowest, highest}
}

// Rank returns the urgency of a request from 0, the most urgent, to LastRank. A
// workspace without a priority shares the rank of the least urgent workspace that has
// one.
func (table *Table) Rank(route Route, workspace Workspace) int {
	group := max(0, len(table.ranks.workspaces)-1)
	if workspace.HasPriority {
		group = max(0, slices.Index(table.ranks.workspaces, workspace.Priority))
	}
	step := max(0, slices.Index(table.ranks.routes, route.Priority))
	return min(LastRank, group*len(table.ranks.routes)+step)
}

// Bulk reports whether a route carries bulk traffic: it is among the least urgent
// routes of a service, and routes of other priorities exist. Routes of priority 0 are
// never bulk.
func (table *Table) Bulk(route Route, service string) bool {
	return len(table.ranks.routes) > 1 && route.Priority > 0 && route.Priority == table.ranks.lowest[service]
}

// MostUrgent reports whether a route is among the most urgent ones of a service.
func (table *Table) MostUrgent(route Route, service string) bool {
	return route.Priority == table.ranks.highest[service]
}
