package main

import (
	"fmt"
	"sync"
	"time"
)

/*
drillRevoke: the operator takes a key away. Right after the store has confirmed that, it is away for a moment and
comes back from a copy a second old. 1.9 s after its return the operator has written again. A request with the key
that is sent later than revoke_ms after the confirmation must not run.
*/
func drillRevoke(world *world) ([]string, error) { return playDrill(world, 3600*time.Millisecond, 0) }

/*
drillLoading is drillRevoke with a longer drill: for the last seconds before its return the store answers 503, in its
new era, while it reads the copy.
*/
func drillLoading(world *world) ([]string, error) {
	return playDrill(world, 8*time.Second, 2900*time.Millisecond)
}

// playDrill plays a drill in which the store is away for a time, for the last part of which it answers 503.
func playDrill(world *world, away, loading time.Duration) ([]string, error) {
	const (
		revoke = 5000 * time.Millisecond
		again  = 1900 * time.Millisecond
		gap    = 10 * time.Millisecond
	)
	routes := []map[string]any{route("r-1", "/puxa403/", "idempotent", "wuno96b", 2, 2000, false)}
	world.store.put("op/config", config(7, routes, "kept-key", "taken-key"))
	for range 6 {
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
	time.Sleep(6 * time.Second)
	copied := world.store.snapshot()
	time.Sleep(time.Second)
	without := config(9, routes, "kept-key")
	world.store.awaitPause()
	var confirmedAt time.Time
	if world.trouble {
		world.store.put("op/config", without)
		confirmedAt = time.Now()
		world.record.note("the store confirms version 9 without taken-key")
		time.Sleep(gap)
		world.store.goAway()
		world.record.note("the store goes away")
	} else {
		world.store.put("op/config", without)
		confirmedAt = time.Now()
		world.record.note("the store confirms version 9 without taken-key")
	}
	var mutex sync.Mutex
	var calls []sent
	var group sync.WaitGroup
	stop := confirmedAt.Add(away + 4*time.Second)
	for _, host := range world.hosts {
		for _, key := range []string{"taken-key", "kept-key"} {
			group.Go(func() {
				for time.Now().Before(stop) {
					call := send(world.record, host.frontend, "GET", "/puxa403/2f", key, 2*time.Second, "", nil)
					mutex.Lock()
					if key == "taken-key" {
						calls = append(calls, call)
					}
					mutex.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	if world.trouble {
		if loading > 0 {
			time.Sleep(time.Until(confirmedAt.Add(away - loading)))
			world.store.load()
			world.record.note("the store answers 503 in its new era, and reads the copy")
		}
		time.Sleep(time.Until(confirmedAt.Add(away)))
		world.store.comeBack(copied)
		world.record.note("the store is back from a copy")
		time.Sleep(time.Until(confirmedAt.Add(away + again)))
		world.store.put("op/config", without)
		world.record.note("the operator has written version 9 again")
	}
	group.Wait()
	var violations []string
	for _, call := range calls {
		late := call.at.Sub(confirmedAt)
		if runs := world.record.runsOf(call.id); late > revoke && len(runs) > 0 {
			violations = append(violations, fmt.Sprintf("%s was sent to %s %d ms after the confirmation with the key that it took away, and ran at %s (status %d)", call.id, call.host, late.Milliseconds(), runs[0].engine, call.status))
		}
	}
	return violations, nil
}
