package main

import "fmt"

// route is a route of a config.
type route struct {
	name, prefix, kind, service string
	timeoutMs, sloMs            int
	priority, attempts          int
	resumable, sticky           bool
}

// tenant is a tenant of a config.
type tenant struct {
	name     string
	keys     []string
	priority int
}

// document returns a config as the operator writes it.
func document(version int, routes []route, services []map[string]any, tenants []tenant) map[string]any {
	var list []map[string]any
	for _, one := range routes {
		entry := map[string]any{
			"name": one.name, "host": "ficu95.example", "path_prefix": one.prefix, wire("{route kind}"): one.kind, "timeout_ms": one.timeoutMs,
			wire("{slo ms}"): one.sloMs, "priority": one.priority, "service": one.service, "max_attempts": one.attempts, "anonymous": false,
			"sticky": one.sticky,
		}
		if one.kind == "streaming" {
			entry["resumable"], entry[wire("{itl target ms}")] = one.resumable, 600
		}
		list = append(list, entry)
	}
	var tenantList []map[string]any
	for _, one := range tenants {
		tenantList = append(tenantList, map[string]any{"name": one.name, wire("{api keys}"): one.keys, "priority": one.priority})
	}
	return map[string]any{
		"version": version, "routes": list, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenantList,
	}
}

// modelService is a service of model engines.
func modelService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/healthz", wire("{max conns}"): 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, wire("{kv capacity}"): 438022, "kv_token_bytes": 18432, "link_mbps": 550000.0, "moves": true, "backups": true, "stride": 5,
			"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "kv_handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
		},
	}
}

// plainService is a service without model engines.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/healthz", wire("{max conns}"): 110, "protocol": "h1", "tls": false}
}

// idleRoutes returns routes that get no requests, as a config that has grown has them.
func idleRoutes(count int, service string) []route {
	var routes []route
	for number := range count {
		routes = append(routes, route{
			name: fmt.Sprintf("r-%06x", 0x9a0000+number), prefix: fmt.Sprintf("/idle%05d/", number), kind: "idempotent", service: service,
			timeoutMs: 2000, sloMs: 300, priority: 2, attempts: 2,
		})
	}
	return routes
}
