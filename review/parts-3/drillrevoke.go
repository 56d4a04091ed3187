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

// Times of a drill that the cases share.
const (
	revokeAfter = 5000 * time.Millisecond
	againAfter  = 1900 * time.Millisecond
	awayAfter   = 10 * time.Millisecond
)

// playDrill plays a drill in which the store is away for a time, for the last part of which it answers 503.
func playDrill(world *world, away, loading time.Duration) ([]string, error) {
	routes := []map[string]any{route("r-1", "/puxa403/", "idempotent", "wuno96b", 2, 2000, false)}
	if err := startSmall(world, routes); err != nil {
		return nil, err
	}
	time.Sleep(6 * time.Second)
	copied := world.store.snapshot()
	time.Sleep(time.Second)
	without := config(9, routes, "kept-key")
	world.store.awaitPause()
	world.store.put(wire("config_key"), without)
	confirmedAt := time.Now()
	world.record.note("the store confirms version 9 without taken-key")
	if world.trouble {
		time.Sleep(awayAfter)
		world.store.goAway()
		world.record.note("the store goes away")
	}
	var group sync.WaitGroup
	var calls []sent
	group.Go(func() { calls = sendBothKeys(world, confirmedAt.Add(away+4*time.Second)) })
	if world.trouble {
		bringBack(world, confirmedAt, away, loading, copied, without)
	}
	group.Wait()
	return lateRuns(world, calls, confirmedAt), nil
}

// startSmall writes the first config, and starts six engines and three hosts.
func startSmall(world *world, routes []map[string]any) error {
	world.store.put(wire("config_key"), config(7, routes, "kept-key", "taken-key"))
	for range 6 {
		if _, err := world.addEngine("wuno96b", "v1", false); err != nil {
			return err
		}
	}
	if err := world.addHosts(3); err != nil {
		return err
	}
	return world.awaitReady(20 * time.Second)
}

// bringBack ends the drill: the store returns from the copy, and the operator writes the newest config again.
func bringBack(world *world, confirmedAt time.Time, away, loading time.Duration, copied *content, without any) {
	if loading > 0 {
		time.Sleep(time.Until(confirmedAt.Add(away - loading)))
		world.store.load()
		world.record.note("the store answers 503 in its new era, and reads the copy")
	}
	time.Sleep(time.Until(confirmedAt.Add(away)))
	world.store.comeBack(copied)
	world.record.note("the store is back from a copy")
	time.Sleep(time.Until(confirmedAt.Add(away + againAfter)))
	world.store.put(wire("config_key"), without)
	world.record.note("the operator has written version 9 again")
}

// sendBothKeys sends requests with both keys to all hosts until a time, and returns those with the key taken away.
func sendBothKeys(world *world, stop time.Time) []sent {
	var mutex sync.Mutex
	var calls []sent
	var group sync.WaitGroup
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
	group.Wait()
	return calls
}

// lateRuns names the requests with the key taken away that were sent later than the bound and ran.
func lateRuns(world *world, calls []sent, confirmedAt time.Time) []string {
	var violations []string
	for _, call := range calls {
		late := call.at.Sub(confirmedAt)
		if runs := world.record.runsOf(call.id); late > revokeAfter && len(runs) > 0 {
			violations = append(violations, fmt.Sprintf("%s was sent to %s %d ms after the confirmation with the key that it took away, and ran at %s (status %d)", call.id, call.host, late.Milliseconds(), runs[0].engine, call.status))
		}
	}
	return violations
}
