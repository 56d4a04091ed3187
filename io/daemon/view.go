package daemon

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"sync/atomic"

	"primrosegw/core/limit"
	"primrosegw/core/spec"
)

// view is the document in force with the look-ups that requests need. It does
// not change; a new document makes a new view.
type view struct {
	generation uint64
	document   spec.Document
	classes    map[string]spec.Class
	services   map[string]spec.Service
	// workspaces and operators are found by the hash of a key.
	workspaces map[string]spec.Workspace
	operators  map[string]spec.Operator
	// pools are found by the names that requests use as their model.
	pools  map[string]spec.Pool
	models []string
	cells  map[string]plan
}

// plan is one cell of the document.
type plan struct {
	Name          string
	Pool          spec.Pool
	FailureDomain string
	Servers       []spec.BackendServer
}

// newView indexes a document from which recalled versions have been taken out.
func newView(generation uint64, document spec.Document) *view {
	view := &view{
		generation: generation, document: document,
		classes:    make(map[string]spec.Class),
		services:   make(map[string]spec.Service),
		workspaces: make(map[string]spec.Workspace),
		operators:  make(map[string]spec.Operator),
		pools:      make(map[string]spec.Pool),
		cells:      make(map[string]plan),
	}
	for _, class := range document.Classes {
		view.classes[class.Name] = class
	}
	for _, service := range document.Services {
		view.services[service.Name] = service
	}
	for _, workspace := range document.Workspaces {
		for _, key := range workspace.Keys {
			view.workspaces[key.SHA256] = workspace
		}
	}
	for _, operator := range document.Operators {
		for _, key := range operator.Keys {
			view.operators[key.SHA256] = operator
		}
	}
	view.addPools()
	return view
}

// addPools indexes the pools that have a version left outside all recalled lots.
func (view *view) addPools() {
	for _, pool := range view.document.Pools {
		if len(pool.Versions) == 0 {
			continue
		}
		view.pools[pool.Model] = pool
		for _, adapter := range pool.Adapters {
			view.pools[adapter.Name] = pool
		}
		view.addCells(pool)
	}
	for name := range view.pools {
		view.models = append(view.models, name)
	}
	slices.Sort(view.models)
}

// find looks a key up by its hash. The comparison takes the same time whatever
// the key is.
func find[T any](entries map[string]T, key string) (T, bool) {
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	var found T
	matched := 0
	for candidate, entry := range entries {
		if subtle.ConstantTimeCompare([]byte(candidate), []byte(hash)) == 1 {
			found = entry
			matched = 1
		}
	}
	return found, matched == 1
}

// directory shows callers the document in force.
type directory struct {
	current atomic.Pointer[view]
	// taking is false while the host takes no new work.
	taking atomic.Bool
}

// Workspace implements entry.Directory.
func (directory *directory) Workspace(key string) (spec.Workspace, bool) {
	view := directory.current.Load()
	if view == nil {
		return spec.Workspace{}, false
	}
	return find(view.workspaces, key)
}

// Class implements entry.Directory.
func (directory *directory) Class(name string) (spec.Class, bool) {
	view := directory.current.Load()
	if view == nil {
		return spec.Class{}, false
	}
	class, ok := view.classes[name]
	return class, ok
}

// Service implements entry.Directory.
func (directory *directory) Service(name string) (spec.Service, bool) {
	view := directory.current.Load()
	if view == nil {
		return spec.Service{}, false
	}
	service, ok := view.services[name]
	return service, ok
}

// Models implements entry.Directory.
func (directory *directory) Models() []string {
	view := directory.current.Load()
	if view == nil {
		return nil
	}
	return view.models
}

// Ready implements entry.Directory.
func (directory *directory) Ready() bool {
	return directory.current.Load() != nil && directory.taking.Load()
}

// limits returns the limits of each workspace.
func (view *view) limits() map[string]limit.Limit {
	limits := make(map[string]limit.Limit, len(view.document.Workspaces))
	for _, workspace := range view.document.Workspaces {
		limits[workspace.Name] = limit.Limit{
			RequestsPerSecond: workspace.RequestsPerSecond,
			TokensPerSecond:   workspace.TokensPerSecond,
			InFlight:          workspace.InFlight,
		}
	}
	return limits
}
