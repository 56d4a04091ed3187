package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["forgotten"] = caseForgotten }

// caseForgotten: engines of two software versions serve side by side, three of each, and all hosts
// are killed and start again. Consumers take their streams up when the hosts are in touch again.
func caseForgotten() int {
	const hostCount, streams = 3, 30
	const key = "n2ctnfzs989anu6wsjnb"
	store := newStore()
	routes := []route{{
		name: "r-6y7z5k6", prefix: "/pufi791/", kind: "streaming", service: "huvo11a", timeoutMs: 15000, sloMs: 1200, priority: 1, attempts: 2,
		resumable: true, sticky: true,
	}}
	store.Put(wire("{op config}"), document(7, routes, []map[string]any{modelService("huvo11a")}, []tenant{{"hule930", []string{key}, 1}}))
	serve := streamAnswer(50*time.Millisecond, 300*time.Millisecond, 40)
	for number := range 6 {
		newEngine(store, fmt.Sprintf("i-%08x", number+1), "huvo11a", fmt.Sprintf("v%d", number%2+1), 64, serve)
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
	var group sync.WaitGroup
	var mutex sync.Mutex
	taken, went, begun, asked := 0, 0, 0, 0
	var inTouch time.Time
	cut := make(chan struct{})
	for number := range streams {
		one := &streamer{number: number, hosts: hosts, key: key, limit: 15 * time.Second, versions: map[string]int{}}
		group.Go(func() {
			time.Sleep(time.Duration(number) * 15 * time.Millisecond)
			one.began = time.Now()
			one.tryUntil(hosts[number%hostCount], cut)
			// Four more tries, each after twice the time of the one before.
			wait := 300 * time.Millisecond
			for try := 1; try <= 5 && !one.complete; try++ {
				time.Sleep(wait)
				wait *= 2
				left := one.limit - time.Since(one.began)
				if left < time.Second {
					break
				}
				mutex.Lock()
				counts := !inTouch.IsZero() && time.Now().After(inTouch)
				mutex.Unlock()
				before, statuses := one.last, len(one.statuses)
				one.try(hosts[(number+try)%hostCount], left)
				record("stream %2d: try %d after %d ms: events %d to %d, statuses %v", number, try, time.Since(one.began).Milliseconds(), before, one.last, one.statuses[statuses:])
				if counts && before > 0 && !one.complete || counts && one.last > before {
					mutex.Lock()
					taken++
					if one.last > before {
						went++
					}
					mutex.Unlock()
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		record("herd_kill: all %d hosts are killed", hostCount)
		for _, one := range hosts {
			one.Signal(9)
		}
		for _, one := range hosts {
			one.Kill()
		}
		close(cut)
		time.Sleep(2 * time.Second)
		for _, one := range hosts {
			one.Start()
		}
		started := time.Now()
		record("the hosts start again")
		mutex.Lock()
		inTouch = started.Add(3 * time.Second)
		mutex.Unlock()
		if !waitReady(5*time.Second, hosts...) {
			record("the hosts did not become ready")
			return notRun
		}
	} else {
		record("the consumers' connections break off")
		mutex.Lock()
		inTouch = time.Now()
		mutex.Unlock()
		close(cut)
		time.Sleep(2 * time.Second)
	}
	// New streams at the hosts when they are in touch.
	time.Sleep(time.Until(inTouch.Add(100 * time.Millisecond)))
	for number := range 20 {
		fresh := &streamer{number: 1000 + number, key: key, limit: 3 * time.Second, versions: map[string]int{}}
		group.Go(func() {
			time.Sleep(time.Duration(number) * 100 * time.Millisecond)
			fresh.began = time.Now()
			fresh.try(hosts[number%hostCount], fresh.limit)
			mutex.Lock()
			defer mutex.Unlock()
			asked++
			if fresh.last > 0 {
				begun++
			}
		})
	}
	group.Wait()
	record("at hosts in touch: %d streams taken up, %d went on; %d new streams, %d began", taken, went, asked, begun)
	if taken < 12 || asked == 0 || begun == 0 {
		if !trouble {
			return held
		}
		return notRun
	}
	if float64(went)/float64(taken) < 0.5*float64(begun)/float64(asked) {
		return broken
	}
	return held
}
