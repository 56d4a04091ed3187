// Package table holds the routing table: the routes, services, workspaces and limits
// that the platform's operator configures for an environment, as one immutable version.
package table

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"primrosegw/core/fault"
)

// ErrorKind classifies table errors.
type ErrorKind string

// Invalid means that a field of the configuration is missing or out of range.
const Invalid ErrorKind = "invalid"

// Error is the error type of this package.
type Error = fault.Error[ErrorKind]

// Kind is the execution semantics of a route's requests.
type Kind string

// The kinds of routes.
const (
	// Idempotent requests may be executed more than once.
	Idempotent Kind = "idempotent"
	// Once requests are executed at most once per request ID.
	Once Kind = "once"
	// Stream requests are answered with server-sent events. They are executed at
	// most once unless their route is resumable.
	Stream Kind = "stream"
)

// Target is a service that receives a weighted part of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route configures the handling of requests for a host name and path prefix.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a request may wait.
	Timeout time.Duration
	// Objective is the latency target of the answer, or of the first event of a
	// stream. An answer within it has its full value.
	Objective time.Duration
	// GapObjective is the target for the longest gap between two events of a stream;
	// 0 for other routes.
	GapObjective time.Duration
	// Priority is the urgency of the requests, 0 being the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts is the number of backend servers that one request may be sent to.
	MaxAttempts int
	// Anonymous is set if requests need no key.
	Anonymous bool
	// HasPrompt is set if requests carry a prompt that model engines may have cached.
	HasPrompt bool
	// Resumable is set if a stream may continue on another engine after its first
	// event.
	Resumable bool
}

// Repeatable reports whether a request can be sent again that may have been executed.
func (route Route) Repeatable() bool {
	return route.Kind == Idempotent || route.Kind == Stream && route.Resumable
}

// Allows reports whether the route may send requests to a service.
func (route Route) Allows(service string) bool {
	return slices.ContainsFunc(route.Targets, func(target Target) bool {
		return target.Service == service && target.Weight > 0
	})
}

// Services returns the services to which the route may send requests, in order.
func (route Route) Services() []string {
	var services []string
	for _, target := range route.Targets {
		if target.Weight > 0 {
			services = append(services, target.Service)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// Pick selects a service by weight for a draw that is uniform over all uint64. It
// returns "" if no target has a positive weight.
func (route Route) Pick(draw uint64) string {
	total := 0
	for _, target := range route.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return ""
	}
	remaining := int(draw % uint64(total))
	for _, target := range route.Targets {
		remaining -= target.Weight
		if remaining < 0 {
			return target.Service
		}
	}
	return ""
}

// Engine holds the properties that all model engines of a service share.
type Engine struct {
	// Slots is the batch size in requests.
	Slots int
	// CacheTokens is the cache size for prompts and answers, in tokens.
	CacheTokens int
	// TokensPerEvent is the number of tokens per event of a stream.
	TokensPerEvent int
}

// Service is a group of interchangeable backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from
	// all hosts together.
	MaxConnections int
	// Engine is nil if the service has no model engines.
	Engine *Engine
	// Autoscale is nil if the number of the service's servers is not up to the hosts.
	Autoscale *Autoscale
}

// Autoscale bounds and prices the servers that the hosts order for a service.
type Autoscale struct {
	// Min and Max bound the servers in each failure domain, on-demand and spot ones together.
	Min int
	Max int
	// Boot is the time from an order until the new servers serve.
	Boot time.Duration
	// SpotPrice is the price of a spot server as a fraction of the on-demand price; 0: there are
	// no spot servers.
	SpotPrice float64
	// DomainPrices holds the price of a second of an on-demand server by failure domain.
	DomainPrices map[string]float64
}

// Workspace is a customer with its keys.
type Workspace struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds the size and timing of requests.
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

// Table is one version of the configuration, indexed for lookups. It is immutable and
// safe for concurrent use.
type Table struct {
	Data
	byHost   map[string][]Route
	byKey    map[string]int
	services map[string]Service
	ranks    ranks
}

// New validates and indexes a configuration. It fails with an Invalid error that names
// the field.
func New(data Data) (*Table, error) {
	table := &Table{
		Data:     data,
		byHost:   make(map[string][]Route),
		byKey:    make(map[string]int),
		services: make(map[string]Service, len(data.Services)),
	}
	for _, service := range data.Services {
		if service.Name == "" {
			return nil, invalid("services.name", "must not be empty")
		}
		table.services[service.Name] = service
	}
	for _, route := range data.Routes {
		if err := table.checkRoute(route); err != nil {
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

// checkRoute validates a route. The services are already indexed.
func (table *Table) checkRoute(route Route) error {
	field := "routes." + route.Name
	if route.Host == "" {
		return invalid(field+".host", "must not be empty")
	}
	if !strings.HasPrefix(route.PathPrefix, "/") || !strings.HasSuffix(route.PathPrefix, "/") {
		return invalid(field+".path_prefix", "must begin and end with a slash")
	}
	if len(route.Targets) == 0 {
		return invalid(field+".targets", "must list at least one service")
	}
	for _, target := range route.Targets {
		if _, ok := table.services[target.Service]; !ok {
			return invalid(field+".targets", "service does not exist: "+target.Service)
		}
		if target.Weight < 0 {
			return invalid(field+".targets", "weight must not be negative")
		}
	}
	switch route.Kind {
	case Idempotent, Once, Stream:
		return nil
	}
	return invalid(field+".kind", "unknown kind: "+string(route.Kind))
}

func invalid(field, detail string) error {
	return fault.Field("table.new", Invalid, field, detail)
}

// Match returns the route with the longest path prefix that matches, among the routes
// of the host name. A port in the host name is ignored.
func (table *Table) Match(host, path string) (Route, bool) {
	for _, route := range table.byHost[hostName(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return Route{}, false
}

// hostName returns a host name without its port, in lower case.
func hostName(host string) string {
	name, _, _ := strings.Cut(strings.ToLower(host), ":")
	return name
}

// Workspace returns the workspace that holds a key.
func (table *Table) Workspace(key string) (Workspace, bool) {
	index, ok := table.byKey[key]
	if !ok || key == "" {
		return Workspace{}, false
	}
	return table.Workspaces[index], true
}

// RequiresKey reports whether keys are checked at all, which is the case if there are
// workspaces.
func (table *Table) RequiresKey() bool { return len(table.Workspaces) > 0 }

// Service returns a service by name.
func (table *Table) Service(name string) (Service, bool) {
	service, ok := table.services[name]
	return service, ok
}
