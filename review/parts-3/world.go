package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Bounds of the settings.
const (
	contactTime = 3 * time.Second
	applyTime   = 2 * time.Second
)

// world is a small deployment with its platform.
type world struct {
	root, folder string
	record       *record
	store        *platformStore
	hosts        []*gatewayHost
	engines      []*engine
	net          string
	bounds       string
	tables       string
	trouble      bool
}

// newWorld prepares a store on loopback addresses that nothing else uses.
func newWorld(root, recordPath string, trouble bool) (*world, error) {
	folder, err := os.MkdirTemp("", "parts3-")
	if err != nil {
		return nil, err
	}
	record, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	one := &world{root: root, folder: folder, record: record, trouble: trouble, net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))}
	one.store, err = newStore(one.net + ".1:0")
	return one, err
}

// addHosts starts hosts, in two zones by turns.
func (world *world) addHosts(count int) error {
	for range count {
		number := len(world.hosts) + 1
		host, err := newHost(world.folder, fmt.Sprintf("edge-%d", number), fmt.Sprintf("%s.%d", world.net, 10+number), []string{"bilbao-a", "bilbao-b"}[number%2], world.store.address, world.bounds, world.tables)
		if err != nil {
			return err
		}
		world.hosts = append(world.hosts, host)
		if err := host.start(world.root); err != nil {
			return err
		}
	}
	return nil
}

// addEngine starts an engine.
func (world *world) addEngine(service, version string, isModel bool) (*engine, error) {
	number := len(world.engines) + 1
	one := &engine{
		store: world.store, record: world.record, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: []string{"bilbao-a", "bilbao-b"}[number%2],
		version: version, isModel: isModel, work: 20 * time.Millisecond,
	}
	world.engines = append(world.engines, one)
	return one, one.start(fmt.Sprintf("%s.%d:0", world.net, 100+number))
}

// awaitReady waits until all hosts say that they are ready.
func (world *world) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, host := range world.hosts {
			response, err := client.Get("http://" + host.readiness + wire("ready_path"))
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(world.hosts) {
			world.record.note("%d hosts are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the hosts are not ready after %s", limit)
}

// end ends all processes, keeps the hosts' logs if asked to, and removes the folder.
func (world *world) end() {
	for _, host := range world.hosts {
		host.kill()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		logs, _ := filepath.Glob(filepath.Join(world.folder, "*.log"))
		for _, log := range logs {
			if data, err := os.ReadFile(log); err == nil {
				_ = os.WriteFile(filepath.Join(keep, filepath.Base(log)), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(world.folder)
	_ = world.record.file.Close()
}

// route is a route of the configuration.
func route(name, prefix, kind, service string, attempts int, timeoutMs float64, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": frontName, "path_prefix": prefix, wire("kind_field"): kind, "timeout_ms": timeoutMs, wire("objective_field"): 300, "priority": 1, "service": service,
		"max_attempts": attempts, "anonymous": false, "sticky": kind == "streaming", "resumable": resumable, wire("gap_field"): 250,
	}
}

// config returns a configuration with one tenant that has keys.
func config(version int, routes []map[string]any, keys ...string) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "huvo11a", "health_path": "/healthz", wire("connections_field"): 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, wire("memory_field"): 438022, "kv_token_bytes": 18432, "link_mbps": 550000.0, "stride": 5, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "kv_handle_s": 5.0,
				"models": []any{map[string]any{"name": "m"}},
			}},
			map[string]any{"name": "wuno96b", "health_path": "/healthz", wire("connections_field"): 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", wire("keys_field"): keys}, map[string]any{"name": "fida11", wire("keys_field"): []string{"other-key"}}},
	}
}
