package daemon

import (
	"fmt"
	"slices"
	"sync"

	"primrosegw/core/cell"
	"primrosegw/core/heads"
	"primrosegw/core/spec"
)

// recentLimit is the number of routing decisions that a trial replays.
const recentLimit = 2_000

// recent are the latest requests that this host routed, without their content.
type recent struct {
	mutex  sync.Mutex
	ring   []routed
	oldest int
}

// routed is what a routing decision depends on in the document.
type routed struct {
	workspace string
	class     string
	model     string
	tier      int
}

func (recent *recent) add(request cell.Request) {
	recent.mutex.Lock()
	defer recent.mutex.Unlock()
	entry := routed{workspace: request.Workspace, class: request.Class, model: request.Model, tier: request.Tier}
	if len(recent.ring) < recentLimit {
		recent.ring = append(recent.ring, entry)
		return
	}
	recent.ring[recent.oldest] = entry
	recent.oldest = (recent.oldest + 1) % recentLimit
}

func (recent *recent) list() []routed {
	recent.mutex.Lock()
	defer recent.mutex.Unlock()
	return slices.Clone(recent.ring)
}

// Try implements admin.System: it checks a document beyond its form and
// replays the latest routing decisions of this host with it. A decision is lost
// when the document leaves its request without class, workspace or server, and
// changed when the tier or the cells differ.
func (daemon *Daemon) Try(document spec.Document, digest string) heads.Verdict {
	trial := newView(0, document)
	verdict := heads.Verdict{Digest: digest, Checks: checks(document, trial)}
	current := daemon.directory.current.Load()
	for _, routed := range daemon.recent.list() {
		verdict.Replay.Decisions++
		switch {
		case !trial.takes(routed):
			verdict.Replay.Lost++
		case trial.differs(current, routed):
			verdict.Replay.Changed++
		}
	}
	return verdict
}

// checks are conditions that a document in force must meet.
func checks(document spec.Document, trial *view) []heads.Check {
	var result []heads.Check
	add := func(name string, passed bool, detail string) {
		if passed {
			detail = ""
		}
		result = append(result, heads.Check{Name: name, Passed: passed, Detail: detail})
	}
	for _, pool := range document.Pools {
		slots := 0
		for _, plan := range trial.cells {
			if plan.Pool.Name == pool.Name {
				slots += plan.slots()
			}
		}
		add("pool "+pool.Name+" has capacity", slots > 0, "no backend server that is not leaving")
		add("pool "+pool.Name+" keeps its minimum", len(pool.Versions) > 0 && trial.servers(pool.Name) >= pool.MinimumServers,
			fmt.Sprintf("%d backend servers, the minimum is %d", trial.servers(pool.Name), pool.MinimumServers))
	}
	add("an operator remains", len(document.Operators) > 0, "nobody could change the document again")
	return result
}

func (plan plan) slots() int {
	slots := 0
	for _, server := range plan.Servers {
		if !server.Leaving {
			slots += server.Slots
		}
	}
	return slots
}

// servers counts the backend servers of a pool that are not leaving.
func (view *view) servers(pool string) int {
	count := 0
	for _, server := range view.Servers(pool) {
		if !server.Leaving {
			count++
		}
	}
	return count
}

// takes reports whether a document can serve a request.
func (view *view) takes(routed routed) bool {
	if _, ok := view.Class(routed.class); !ok {
		return false
	}
	pool, ok := view.Pool(routed.model)
	if !ok || view.servers(pool.Name) == 0 {
		return false
	}
	return slices.ContainsFunc(view.Document.Workspaces, func(workspace spec.Workspace) bool {
		return workspace.Name == routed.workspace && slices.Contains(workspace.Classes, routed.class)
	})
}

// differs reports whether a request would be treated in another way than now.
func (view *view) differs(current *view, routed routed) bool {
	class, _ := view.Class(routed.class)
	pool, _ := view.Pool(routed.model)
	before, _ := current.Pool(routed.model)
	return class.Tier != routed.tier || pool.Name != before.Name || view.servers(pool.Name) != current.servers(before.Name)
}
