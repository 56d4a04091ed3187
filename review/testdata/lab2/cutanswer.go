package main

import (
	"sync"
	"sync/atomic"
	"time"
)

// The sizes of the play of an engine that is killed within its answers.
const (
	ledgerEngines   = 4
	ledgerConsumers = 92
	killAfter       = 5 * time.Second
	loadLasts       = 8 * time.Second
	ledgerPause     = 20 * time.Millisecond
)

/*
playCutAnswer kills an engine of a plain service whose answers have neither a length nor chunks, while all
engines are busy. The rule: no consumer gets a success with a part of the engine's body that looks complete.
*/
func playCutAnswer(lab *lab, trouble bool) (bool, error) {
	lab.store.put(wire("config_key"), config("cutanswer"))
	options := engineOptions{Slots: 6, Queue: 24, WorkMs: 30, BodyBytes: 4000, HalfMs: 180, Unframed: true}
	var engines []*engineProcess
	halves := make(chan struct{}, 1)
	for number := range ledgerEngines {
		engine, err := lab.startEngine(number, "ledger", options, func(fields []string) {
			if number == 0 && fields[1] == "half" {
				select {
				case halves <- struct{}{}:
				default:
				}
			}
		})
		if err != nil {
			return false, err
		}
		engines = append(engines, engine)
	}
	if err := lab.startGateways(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var cut, whole, other atomic.Int64
	var consumers sync.WaitGroup
	ends := time.Now().Add(loadLasts)
	for number := range ledgerConsumers {
		consumers.Go(func() {
			for time.Now().Before(ends) {
				got := lab.send(request{gateway: lab.gateways[number%2], method: "POST", path: "/entry/" + newID(), body: "a sketch", deadline: 4 * time.Second})
				switch {
				case got.status == 200 && got.isWhole && got.isUnframed && !isWhole(got.signed, got.body):
					cut.Add(1)
					lab.note("MIXED: consumer %s got a success that ended in order with a part of the body, signature %s, %d bytes", got.id, got.signed, len(got.body))
				case got.status == 200 && got.isWhole:
					whole.Add(1)
				default:
					other.Add(1)
				}
				time.Sleep(ledgerPause)
			}
		})
	}
	time.Sleep(killAfter)
	if trouble {
		<-halves
		<-halves
		lab.note("SIGKILL for engine %s", engines[0].ID)
		engines[0].kill()
	}
	consumers.Wait()
	lab.note("whole answers %d, parts that look complete %d, others %d", whole.Load(), cut.Load(), other.Load())
	return cut.Load() == 0, nil
}
