package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["revoked"] = caseRevoked }

// caseRevoked: a key is revoked; later the store comes back from a copy of before, while a host
// starts again in planned work. No request with the key may run.
func caseRevoked() int {
	store := newStore()
	routes := []route{{name: "r-puxa403", prefix: "/puxa403/", kind: "non_idempotent", service: "wuno96b", timeoutMs: 2000, sloMs: 300, priority: 2, attempts: 1}}
	config := func(version int, keys ...string) map[string]any {
		return document(version, routes, []map[string]any{plainService("wuno96b")}, []tenant{{"hule930", keys, 1}})
	}
	const kept, taken = "n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"
	store.Put(wire("{op config}"), config(7, kept, taken))
	var engines []*engine
	for number := range 4 {
		engines = append(engines, newEngine(store, fmt.Sprintf("i-%08x", number+1), "wuno96b", "v1", 6, plainAnswer(60*time.Millisecond, 800)))
	}
	var hosts []*host
	for number := range 3 {
		one := newHost(number+1, store.address)
		one.Start()
		hosts = append(hosts, one)
	}
	if !waitReady(15*time.Second, hosts...) {
		record("the hosts did not become ready")
		return notRun
	}
	time.Sleep(4 * time.Second)
	status, _ := do(hosts[0].entry, request{method: http.MethodPost, path: "/puxa403/1", id: newID(), key: taken, deadline: 4 * time.Second, body: "notice"})
	record("before the revocation a request with the key gets %d", status)
	if status != http.StatusOK {
		return notRun
	}
	copied := store.Copy()
	copiedAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	confirmed := store.Put(wire("{op config}"), config(9, kept))
	record("the config of version 9 takes the key away; confirmed by the store")

	// A consumer that still has the key goes on with it, at the three hosts in turn.
	var mutex sync.Mutex
	sent := map[string]time.Time{}
	stop := make(chan struct{})
	var group sync.WaitGroup
	for _, one := range hosts {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				attempt := request{method: http.MethodPost, path: "/puxa403/1", id: newID(), key: taken, deadline: 4 * time.Second, body: "notice"}
				sentAt := time.Now()
				mutex.Lock()
				sent[attempt.id] = sentAt
				mutex.Unlock()
				status, _ := do(one.entry, attempt)
				if status != 0 && time.Since(confirmed) > 5*time.Second {
					record("%s: request %s, sent %d ms after the confirmation, gets %d", one.settings.name, attempt.id, sentAt.Sub(confirmed).Milliseconds(), status)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	record("roll_term: host %s gets SIGTERM", hosts[0].settings.name)
	hosts[0].Signal(syscall.SIGTERM)
	<-hosts[0].exited
	record("host %s has ended", hosts[0].settings.name)
	if trouble {
		record("drill: the store is away")
		store.SetDown(true)
		time.Sleep(300 * time.Millisecond)
		store.Restore(copied)
		store.SetDown(false)
		restored := time.Now()
		record("the store is back from a copy that is %d ms old; host %s starts again", time.Since(copiedAt).Milliseconds(), hosts[0].settings.name)
		hosts[0].Start()
		time.Sleep(time.Until(restored.Add(time.Second)))
		store.Put(wire("{op config}"), config(9, kept))
		record("the operator has written version 9 again, %d ms after the store's return", time.Since(restored).Milliseconds())
	} else {
		time.Sleep(300 * time.Millisecond)
		record("host %s starts again", hosts[0].settings.name)
		hosts[0].Start()
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	group.Wait()

	runs := 0
	for _, one := range engines {
		for _, arrival := range one.Arrivals() {
			at, ok := sent[arrival.id]
			if ok && at.After(confirmed.Add(5*time.Second)) {
				runs++
				record("engine %s ran request %s, sent %d ms after the confirmation", one.id, arrival.id, at.Sub(confirmed).Milliseconds())
			}
		}
	}
	record("%d requests with the key ran that were sent later than revoke_ms (5000) after the confirmation", runs)
	if runs > 0 {
		return broken
	}
	return held
}
