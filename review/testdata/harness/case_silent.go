package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["silent"] = caseSilent }

// caseSilent: an engine turns slow, so that the first event of streams comes after the timeout of
// their route. The consumers must get an answer then.
func caseSilent() int {
	const key, normal, slow = "n2ctnfzs989anu6wsjnb", 1, 4
	store := newStore()
	routes := []route{{name: "r-hvz3pfi", prefix: "/lohu930/", kind: "streaming", service: "huvo11a", timeoutMs: 2000, sloMs: 1200, priority: 2, attempts: 1, sticky: true}}
	store.Put(wire("{op config}"), document(7, routes, []map[string]any{modelService("huvo11a")}, []tenant{{"hule930", []string{key}, 1}}))
	var factor atomic.Int64
	factor.Store(normal)
	const slowID = "i-00000001"
	// An engine sends the headers of a stream when it admits the request, its first event when it
	// has read the prompt, and stops work at the time limit that it got.
	serve := func(engine *engine, conn net.Conn, request *http.Request, _ []byte) bool {
		limitMs, _ := strconv.Atoi(request.Header.Get(wire("{deadline ms}")))
		limit := time.Now().Add(time.Duration(limitMs) * time.Millisecond)
		wait := func(work time.Duration) bool {
			if engine.id == slowID {
				work *= time.Duration(factor.Load())
			}
			if left := time.Until(limit); work > left {
				time.Sleep(left)
				return false
			}
			time.Sleep(work)
			return true
		}
		if !engine.streamHead(conn, request) || !wait(600*time.Millisecond) {
			return false
		}
		for number := 1; number <= 9; number++ {
			if !engine.event(conn, number) || !wait(50*time.Millisecond) {
				return false
			}
		}
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
	for number := range 7 {
		newEngine(store, fmt.Sprintf("i-%08x", number+1), "huvo11a", "v1", 64, serve)
	}
	var hosts []*host
	for number := range 2 {
		one := newHost(number+1, store.address)
		one.Start()
		hosts = append(hosts, one)
	}
	if !waitReady(15*time.Second, hosts...) {
		record("the hosts did not become ready")
		return notRun
	}
	time.Sleep(4 * time.Second)
	var mutex sync.Mutex
	var group sync.WaitGroup
	silent, answered, asked, late, lateUnanswered := 0, 0, 0, 0, 0
	const consumers = 160
	begin := time.Now()
	if trouble {
		time.AfterFunc(3*time.Second, func() {
			record("srv_slow: engine %s, one of 7, takes %d times as long", slowID, slow)
			factor.Store(slow)
		})
		time.AfterFunc(8*time.Second, func() {
			record("engine %s takes as long as usual", slowID)
			factor.Store(normal)
		})
	}
	for number := range consumers {
		group.Go(func() {
			time.Sleep(time.Duration(number) * 7 * time.Millisecond)
			var connection *consumer
			used := 0
			for time.Since(begin) < 9*time.Second {
				if connection == nil {
					var err error
					if connection, err = connect(hosts[number%len(hosts)].entry); err != nil {
						record("no connection: %v", err)
						return
					}
					used = 0
				}
				attempt := request{
					method: http.MethodPost, path: "/lohu930/2f", id: newID(), key: key, deadline: 4 * time.Second, body: "prompt",
					headers: []string{"Model: m", wire("{token usage}: 9190,45"), fmt.Sprintf(wire("{prefix hash}: 5c1e07a2:2520,%x:3780,%x:2890"), 0x91000000+number, time.Now().UnixNano()&0xffffffff)},
				}
				sentAt := time.Now()
				fatalIf(connection.Send(attempt))
				_ = connection.conn.SetReadDeadline(time.Now().Add(4 * time.Second))
				_, peekErr := connection.reader.Peek(1)
				events, status, complete := 0, 0, false
				if peekErr == nil {
					if response, err := connection.Head(http.MethodPost); err == nil {
						status = response.StatusCode
						complete = readEvents(response.Body, func(event) { events++ })
					}
				}
				mutex.Lock()
				asked++
				if peekErr != nil && used > 0 {
					silent++
				}
				if peekErr == nil {
					answered++
				}
				if took := time.Since(sentAt); took > 1990*time.Millisecond {
					late++
					if peekErr != nil {
						lateUnanswered++
					}
				}
				mutex.Unlock()
				record("request %s, number %d of its connection: status %d, %d events, complete %v, after %d ms, first byte: %v", attempt.id, used+1, status, events, complete, time.Since(sentAt).Milliseconds(), peekErr)
				used++
				if !complete {
					connection.Close()
					connection = nil
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	group.Wait()
	record("of %d requests %d were answered, at least in part; %d on kept connections got no byte before their connection was closed; the rule allows 3", asked, answered, silent)
	record("%d requests lasted as long as their route's timeout_ms (2,000), %d of them have no answer; CONFIG allows 7, or a quarter", late, lateUnanswered)
	if silent > 3 && lateUnanswered >= 8 && 4*lateUnanswered > late {
		return broken
	}
	return held
}
