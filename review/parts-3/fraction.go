package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

/*
fractionBounds: the platform writes the settings files anew, with one of the bounds as a fraction, and signals it with
SIGHUP. Later it stops and starts the machines in turn. All programs must start.
*/
func fractionBounds(world *world) ([]string, error) {
	routes := []map[string]any{route("r-1", "/puxa403/", "idempotent", "wuno96b", 2, 2000, false)}
	world.store.put(wire("config_key"), config(7, routes, "kept-key"))
	for range 3 {
		if _, err := world.addEngine("wuno96b", "v1", false); err != nil {
			return nil, err
		}
	}
	if err := world.addHosts(3); err != nil {
		return nil, err
	}
	if err := world.awaitReady(20 * time.Second); err != nil {
		return nil, err
	}
	servedBefore := world.countServed(routes[0]["path_prefix"].(string))
	for _, host := range world.hosts {
		if err := host.rewrite("drain_ms = 2000\n", "drain_ms = 2000.5\n", world.trouble); err != nil {
			return nil, err
		}
		host.signal(syscall.SIGHUP)
		world.record.note("%s has its settings file anew, and SIGHUP", host.name)
	}
	time.Sleep(2 * time.Second)
	var violations []string
	for _, host := range world.hosts {
		ends, err := world.restart(host)
		if err != nil {
			return nil, err
		}
		if ends >= 3 {
			violations = append(violations, fmt.Sprintf("the program of %s does not start: it ended by itself %d times", host.name, ends))
		}
	}
	served := world.countServed(routes[0]["path_prefix"].(string))
	world.record.note("%d of 30 requests are served before, %d after", servedBefore, served)
	if len(violations) < 2 {
		violations = nil
	}
	return violations, nil
}

// rewrite replaces a line of the settings file, or writes it as it is.
func (host *gatewayHost) rewrite(line, with string, isChanged bool) error {
	data, err := os.ReadFile(host.settings)
	if err != nil {
		return err
	}
	text := string(data)
	if !strings.Contains(text, line) {
		return fmt.Errorf("the settings of %s have no %q", host.name, line)
	}
	if isChanged {
		text = strings.Replace(text, line, with, 1)
	}
	return os.WriteFile(host.settings, []byte(text), 0o600)
}

// restart stops a host with SIGTERM and starts it, again after each end of its own, three times at most. It returns
// how often the process ended by itself.
func (world *world) restart(host *gatewayHost) (ends int, err error) {
	host.signal(syscall.SIGTERM)
	select {
	case <-host.exited:
	case <-time.After(9 * time.Second):
		host.kill()
	}
	for ends < 3 {
		if err := host.start(world.root); err != nil {
			return ends, err
		}
		select {
		case <-host.exited:
			ends++
			world.record.note("the process of %s ended by itself", host.name)
			time.Sleep(300 * time.Millisecond)
		case <-time.After(2 * time.Second):
			world.record.note("the process of %s runs", host.name)
			return ends, nil
		}
	}
	return ends, nil
}

// countServed sends ten requests to each host and returns how many are served.
func (world *world) countServed(prefix string) (served int) {
	for range 10 {
		for _, host := range world.hosts {
			if call := send(world.record, host.frontend, http.MethodGet, prefix+"2f", "kept-key", 2*time.Second, "", nil); call.status == http.StatusOK {
				served++
			}
		}
	}
	return served
}
