// Package table holds the routing table of an environment whose configuration
// is written by the platform's operator: routes, services, workspaces and
// limits, as one immutable version.
package table

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"primrosegw/core/fault"
)

// Fault is the sort of a table error.
type Fault string

// Invalid means that a field of the configuration is missing or out of range.
const Invalid Fault = "invalid"

// Error is the error type of this package.
type Error = fault.Error[Fault]

// Kind says how often a request of a route may run.
type Kind string

// The kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// Once requests run at most once for each request id.
	Once Kind = "once"
	// Stream requests are answered by server-sent events. They run at most once
	// unless their route is resumable.
	Stream Kind = "stream"
)

// Target is a service that a route sends a part of its requests to.
type Target struct {
	Service string
	Weight  int
}

// Route says how requests of a host name and path prefix are handled.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, or to a stream's first event, within
	// which the answer is worth most.
	Objective time.Duration
	// GapObjective is the longest pause between a stream's events for which it
	// is on time; 0 if the route is no stream.
	GapObjective time.Duration
	// Priority is the rank of the requests, 0 being the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is the number of backend servers that one request may reach.
	MaxAttempts int
	// Anonymous requests need no key.
	Anonymous bool
	// Prompts: the requests describe a prompt that model engines may have cached.
	Prompts bool
	// Resumable streams may go on at another engine after an event.
	Resumable bool
}

// Repeatable reports whether a request that may have run can be sent again.
func (route Route) Repeatable() bool {
	return route.Kind == Idempotent || route.Kind == Stream && route.Resumable
}

// Allows reports whether the route sends requests to a service.
func (route Route) Allows(service string) bool {
	return slices.ContainsFunc(route.Targets, func(target Target) bool {
		return target.Service == service && target.Weight > 0
	})
}

// Pick returns the service for a draw, which is spread evenly over all uint64.
func (route Route) Pick(draw uint64) string {
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return ""
	}
	rest := int(draw % uint64(total))
	for _, target := range route.Targets {
		rest -= target.Weight
		if rest < 0 {
			return target.Service
		}
	}
	return ""
}

// Engine is what model engines of a service have in common.
type Engine struct {
	// Slots is the number of requests in a batch.
	Slots int
	// CacheTokens is the memory for prompts and answers.
	CacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Service is a group of backend servers that answer alike.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from
	// all hosts together.
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority goes before the route's when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Data is the content of a table.
type Data struct {
	Version    int64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Table is one version of the configuration, indexed for lookups. It does not
// change and is safe for concurrent use.
type Table struct {
	Data
	byHost   map[string][]Route
	byKey    map[string]int
	services map[string]Service
	ranks    ranks
}

// New checks and indexes a configuration. It fails with Invalid, naming the
// field.
func New(data Data) (*Table, error) {
	table := &Table{
		Data:     data,
		byHost:   make(map[string][]Route),
		byKey:    make(map[string]int),
		services: make(map[string]Service, len(data.Services)),
	}
	for _, service := range data.Services {
		if service.Name == "" {
			return nil, invalid("services.name", "it is empty")
		}
		table.services[service.Name] = service
	}
	for _, route := range data.Routes {
		if err := table.check(route); err != nil {
			return nil, err
		}
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, routes := range table.byHost {
		slices.SortStableFunc(routes, func(a, b Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for index, workspace := range data.Workspaces {
		for _, key := range workspace.Keys {
			table.byKey[key] = index
		}
	}
	table.ranks = newRanks(data)
	return table, nil
}

func (table *Table) check(route Route) error {
	field := "routes." + route.Name
	if route.Host == "" {
		return invalid(field+".host", "it is empty")
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		return invalid(field+".path_prefix", "it does not begin and end with a slash")
	}
	if len(route.Targets) == 0 {
		return invalid(field+".targets", "the route has no service")
	}
	for _, target := range route.Targets {
		if _, ok := table.services[target.Service]; !ok {
			return invalid(field+".targets", "unknown service "+target.Service)
		}
		if target.Weight < 0 {
			return invalid(field+".targets", "a weight is negative")
		}
	}
	switch route.Kind {
	case Idempotent, Once, Stream:
		return nil
	}
	return invalid(field+".kind", "unknown kind "+string(route.Kind))
}

func invalid(field, detail string) error {
	return fault.Field("table.new", Invalid, field, detail)
}

// Match returns the route of a host name and path: of the routes of that name
// the one with the longest prefix of the path.
func (table *Table) Match(host, path string) (Route, bool) {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	for _, route := range table.byHost[name] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return Route{}, false
}

// Workspace returns the workspace that holds a key.
func (table *Table) Workspace(key string) (Workspace, bool) {
	index, ok := table.byKey[key]
	if !ok || key == "" {
		return Workspace{}, false
	}
	return table.Workspaces[index], true
}

// Keyed reports whether requests need a key at all.
func (table *Table) Keyed() bool { return len(table.Workspaces) > 0 }

// Service returns a service by name.
func (table *Table) Service(name string) (Service, bool) {
	service, ok := table.services[name]
	return service, ok
}

// Current is the table in force on a host. It is safe for concurrent use.
type Current struct {
	pointer atomic.Pointer[Table]
}

// Load returns the table in force, nil if there is none yet.
func (current *Current) Load() *Table { return current.pointer.Load() }

// Adopt puts a table in force unless it is older than the one in force, and
// reports whether it did.
func (current *Current) Adopt(table *Table) bool {
	for {
		known := current.pointer.Load()
		if known != nil && known.Version >= table.Version {
			return false
		}
		if current.pointer.CompareAndSwap(known, table) {
			return true
		}
	}
}
