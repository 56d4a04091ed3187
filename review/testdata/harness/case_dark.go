package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["dark"] = caseDark }

// crashLog holds the times at which a request crashed an engine.
type crashLog struct {
	mutex sync.Mutex
	at    []time.Time
}

// crash ends the engine's process as a request makes it crash: for a time it does nothing at all,
// then it is back. If dark is set, its connections stay silent until then; otherwise they are
// reset, and its port refuses new ones.
func (engine *engine) crash(log *crashLog, dark bool, away time.Duration) {
	engine.mutex.Lock()
	if engine.silent {
		engine.mutex.Unlock()
		return
	}
	engine.silent = true
	engine.mutex.Unlock()
	log.mutex.Lock()
	log.at = append(log.at, time.Now())
	record("crash %d: engine %s", len(log.at), engine.id)
	log.mutex.Unlock()
	reset := func() {
		engine.mutex.Lock()
		defer engine.mutex.Unlock()
		_ = engine.listener.Close()
		for conn := range engine.conns {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}
	if !dark {
		reset()
	}
	time.AfterFunc(away, func() {
		if dark {
			reset()
		}
		listener, err := net.Listen("tcp4", engine.address)
		fatalIf(err)
		engine.mutex.Lock()
		engine.listener, engine.silent, engine.born, engine.seq = listener, false, time.Now().UnixMilli(), 0
		engine.mutex.Unlock()
		go engine.accept()
		engine.Register()
	})
}

// isSilent reports whether the engine is down.
func (engine *engine) isSilent() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.silent
}

// caseDark: a request crashes each engine that runs it, and the engine goes dark for some seconds.
// The request must not go on reaching engines.
func caseDark() int {
	const key, away, contact = "n2ctnfzs989anu6wsjnb", 3 * time.Second, 3 * time.Second
	store := newStore()
	routes := []route{{name: "r-6y7z5k6", prefix: "/pufi791/", kind: "streaming", service: "huvo11a", timeoutMs: 3000, sloMs: 400, priority: 1, attempts: 2, resumable: true, sticky: true}}
	store.Put(wire("{op config}"), document(7, routes, []map[string]any{modelService("huvo11a")}, []tenant{{"hule930", []string{key}, 1}}))
	log := &crashLog{}
	serve := func(engine *engine, conn net.Conn, request *http.Request, body []byte) bool {
		time.Sleep(50 * time.Millisecond)
		if strings.HasPrefix(string(body), "deadly") {
			engine.crash(log, trouble, away)
		}
		for engine.isSilent() {
			time.Sleep(20 * time.Millisecond)
		}
		return streamAnswer(0, 40*time.Millisecond, 5)(engine, conn, request, body)
	}
	var engines []*engine
	for number := range 9 {
		engines = append(engines, newEngine(store, fmt.Sprintf("i-%08x", number+1), "huvo11a", "v1", 64, serve))
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

	begin := time.Now()
	const length = 40 * time.Second
	var mutex sync.Mutex
	deadly, sound, whole := map[string]bool{}, 0, 0
	var group sync.WaitGroup
	attempt := func(body string, parts string) request {
		return request{
			method: http.MethodPost, path: "/pufi791/2f", id: newID(), key: key, deadline: 3 * time.Second, body: body,
			headers: []string{"Model: m", wire("{token usage}: 2368,25"), wire("{prefix hash}: ") + parts},
		}
	}
	// Sound requests, 40 a second.
	group.Go(func() {
		for time.Since(begin) < length {
			time.Sleep(25 * time.Millisecond)
			group.Go(func() {
				one := attempt("sound "+newID(), fmt.Sprintf("5c1e07a2:341,%x:227,%x:1800", 0x91000000+rand.Intn(40), rand.Uint32()))
				status, body := do(hosts[rand.Intn(len(hosts))].entry, one)
				mutex.Lock()
				defer mutex.Unlock()
				sound++
				if status == http.StatusOK && strings.Contains(body, "token-5") {
					whole++
				}
			})
		}
	})
	// The deadly request comes again every 1.5 s, with the same path, caller and body, at any host.
	for time.Since(begin) < length {
		one := attempt("deadly", "5c1e07a2:341,77777777:227,88888888:1800")
		mutex.Lock()
		deadly[one.id] = true
		mutex.Unlock()
		group.Go(func() {
			status, _ := do(hosts[rand.Intn(len(hosts))].entry, one)
			record("deadly request %s: status %d", one.id, status)
		})
		time.Sleep(1500 * time.Millisecond)
	}
	group.Wait()

	log.mutex.Lock()
	crashes := append([]time.Time(nil), log.at...)
	log.mutex.Unlock()
	if len(crashes) < 3 {
		record("%d crashes", len(crashes))
		return notRun
	}
	late := 0
	for _, one := range engines {
		for _, arrival := range one.Arrivals() {
			if deadly[arrival.id] && arrival.at.After(crashes[2].Add(contact)) {
				late++
				record("engine %s got deadly request %s %d ms after the third crash", one.id, arrival.id, arrival.at.Sub(crashes[2]).Milliseconds())
			}
		}
	}
	record("%d crashes; %d of %d sound requests were answered whole; %d retries of the deadly request reached engines later than contact_ms (3,000) after the third crash; the rule allows 3", len(crashes), whole, sound, late)
	if late > 3 {
		return broken
	}
	return held
}
