package daemon

import (
	"slices"
	"sync/atomic"

	"primrosegw/core/limit"
	"primrosegw/core/route"
	"primrosegw/core/spec"
)

// view is the document in force with the look-ups that requests need. It does
// not change; a new document makes a new view.
type view struct {
	*spec.Index
	generation uint64
	models     []string
	cells      map[string]plan
}

// plan is one cell of the document.
type plan struct {
	Name          string
	Pool          spec.Pool
	FailureDomain string
	Servers       []spec.BackendServer
}

// newView indexes a document from which recalled versions have been taken out.
// Pools that have no version left serve nothing.
func newView(generation uint64, document spec.Document) *view {
	document.Pools = slices.DeleteFunc(slices.Clone(document.Pools), func(pool spec.Pool) bool {
		return len(pool.Versions) == 0
	})
	view := &view{Index: spec.NewIndex(document), generation: generation, cells: make(map[string]plan)}
	for _, pool := range document.Pools {
		view.models = append(view.models, pool.Model)
		for _, adapter := range pool.Adapters {
			view.models = append(view.models, adapter.Name)
		}
		view.addCells(pool)
	}
	slices.Sort(view.models)
	view.models = slices.Compact(view.models)
	return view
}

// addCells splits the servers of a pool into cells.
func (view *view) addCells(pool spec.Pool) {
	for _, found := range route.Cells([]spec.Pool{pool}, view.Document.BackendServers) {
		view.cells[found.Name] = plan{
			Name: found.Name, Pool: pool, FailureDomain: found.FailureDomain, Servers: found.Servers,
		}
	}
}

// shares returns the minimum share of each class.
func (view *view) shares() map[string]float64 {
	shares := make(map[string]float64, len(view.Document.Classes))
	for _, class := range view.Document.Classes {
		shares[class.Name] = class.MinimumShare
	}
	return shares
}

// limits returns the limits of each workspace.
func (view *view) limits() map[string]limit.Limit {
	limits := make(map[string]limit.Limit, len(view.Document.Workspaces))
	for _, workspace := range view.Document.Workspaces {
		limits[workspace.Name] = limit.Limit{
			RequestsPerSecond: workspace.RequestsPerSecond,
			TokensPerSecond:   workspace.TokensPerSecond,
			InFlight:          workspace.InFlight,
		}
	}
	return limits
}

// directory shows callers the document in force.
type directory struct {
	// current is never nil; before the first document it has nothing.
	current atomic.Pointer[view]
	// taking is false while the host takes no new work.
	taking atomic.Bool
}

// Workspace implements entry.Directory.
func (directory *directory) Workspace(key string) (spec.Workspace, bool) {
	return directory.current.Load().Workspace(key)
}

// Class implements entry.Directory.
func (directory *directory) Class(name string) (spec.Class, bool) {
	return directory.current.Load().Class(name)
}

// Service implements entry.Directory.
func (directory *directory) Service(name string) (spec.Service, bool) {
	return directory.current.Load().Service(name)
}

// Models implements entry.Directory.
func (directory *directory) Models() []string { return directory.current.Load().models }

// Ready implements entry.Directory.
func (directory *directory) Ready() bool {
	return directory.current.Load().inForce() && directory.taking.Load()
}

// inForce reports whether the view has a document. A generation may have none,
// after a recall of the only accepted lot; a document has an operator at least.
func (view *view) inForce() bool { return len(view.Document.Operators) > 0 }
