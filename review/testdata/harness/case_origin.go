package main

import (
	"fmt"
	"math/rand"
	"sync"
	"time"
)

func init() { cases["origin"] = caseOrigin }

// caseOrigin: the last engine of an old software version leaves while all hosts are killed and
// start again. Streams that began at the old version must not go on at the new one.
func caseOrigin() int {
	const hostCount, streams = 3, 40
	store := newStore()
	keys := []string{"n2ctnfzs989anu6wsjnb"}
	routes := []route{{
		name: "r-6y7z5k6", prefix: "/pufi791/", kind: "streaming", service: "huvo11a", timeoutMs: 15000, sloMs: 1200, priority: 1, attempts: 2,
		resumable: true, sticky: true,
	}}
	store.Put(wire("{op config}"), document(7, routes, []map[string]any{modelService("huvo11a")}, []tenant{{"hule930", keys, 1}}))
	serve := streamAnswer(50*time.Millisecond, 300*time.Millisecond, 40)
	old := newEngine(store, "i-old00001", "huvo11a", "v1", 64, serve)
	engines := []*engine{old}
	for number := range 6 {
		engines = append(engines, newEngine(store, fmt.Sprintf("i-new%05d", number), "huvo11a", "v2", 64, serve))
	}
	var hosts []*host
	for number := range hostCount {
		one := newHost(number+1, store.address)
		one.Start()
		hosts = append(hosts, one)
	}
	if !waitReady(15*time.Second, hosts...) {
		record("the hosts did not become ready")
		return notRun
	}
	time.Sleep(4 * time.Second)

	record("%d consumers begin a stream each", streams)
	random := rand.New(rand.NewSource(time.Now().UnixNano()))
	var group sync.WaitGroup
	var all []*streamer
	for number := range streams {
		first := random.Intn(hostCount)
		one := &streamer{number: number, hosts: hosts, key: keys[0], limit: 15 * time.Second, versions: map[string]int{}}
		all = append(all, one)
		group.Go(func() { one.run(func(try int) *host { return hosts[(first+try)%hostCount] }) })
		time.Sleep(15 * time.Millisecond)
	}
	time.Sleep(900 * time.Millisecond)
	record("planned work: engine %s, the last of v1, says draining; confirmed", old.id)
	draining := old.Drain()
	if trouble {
		time.Sleep(time.Second)
		record("herd_kill: all %d hosts are killed", hostCount)
		for _, one := range hosts {
			one.Signal(9)
		}
		killed := time.Now()
		for _, one := range hosts {
			one.Kill()
		}
		time.Sleep(time.Until(draining.Add(2300 * time.Millisecond)))
		old.Leave()
		record("engine %s has left, %d ms after it said draining", old.id, time.Since(draining).Milliseconds())
		time.Sleep(time.Until(killed.Add(2 * time.Second)))
		for _, one := range hosts {
			one.Start()
		}
		record("the hosts start again, %d ms after the kill", time.Since(killed).Milliseconds())
	} else {
		time.Sleep(time.Until(draining.Add(2300 * time.Millisecond)))
		old.Leave()
		record("engine %s has left, %d ms after it said draining", old.id, time.Since(draining).Milliseconds())
	}
	group.Wait()

	mixed, begunOld := 0, 0
	for _, one := range all {
		record("stream %2d: events by version %v, last event %d, complete %v, statuses %v", one.number, one.versions, one.last, one.complete, one.statuses)
		if one.versions["v1"] > 0 {
			begunOld++
		}
		if len(one.versions) > 1 {
			mixed++
		}
	}
	record("%d streams began at v1; %d streams hold events of both versions; the rule allows 2", begunOld, mixed)
	if trouble && begunOld < 3 {
		return notRun
	}
	if mixed > 2 {
		return broken
	}
	return held
}
