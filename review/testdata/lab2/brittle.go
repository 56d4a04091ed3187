package main

import (
	"sync"
	"time"
)

// The sizes of the play of a brittle service.
const (
	brittleEngines   = 4
	brittleNumber    = 3
	brittleQueue     = 2
	brittleConsumers = 48
	brittleBegins    = 2 * time.Second
	brittleCrash     = 14 * time.Second
	brittleLasts     = 40 * time.Second
	engineRestart    = 3 * time.Second
	brittlePause     = 50 * time.Millisecond
)

// brittlePlay is the state of the play.
type brittlePlay struct {
	lab     *lab
	options engineOptions
	mutex   sync.Mutex
	falls   int
	ends    time.Time
}

/*
playBrittle crashes one engine of a service whose engines are brittle. It is back after some seconds, under a new ID.
The rule: in one brittle time the engines fall over no more often than 2 + a tenth of their number.
*/
func playBrittle(lab *lab, trouble bool) (bool, error) {
	lab.store.put(wire("config_key"), config("brittle"))
	begins := time.Now().Add(8 * time.Second)
	play := &brittlePlay{lab: lab, ends: begins.Add(brittleLasts), options: engineOptions{
		Slots: 6, Queue: 24, WorkMs: 200, BodyBytes: 800, Brittle: brittleNumber, BrittleQueue: brittleQueue, BrittleFromMs: begins.Add(brittleBegins).UnixMilli(),
	}}
	first, err := play.startEngine(0)
	if err != nil {
		return false, err
	}
	for number := 1; number < brittleEngines; number++ {
		if _, err := play.startEngine(number); err != nil {
			return false, err
		}
	}
	if err := lab.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(time.Until(begins))
	var consumers sync.WaitGroup
	for number := range brittleConsumers {
		consumers.Go(func() {
			for time.Now().Before(play.ends) {
				lab.send(request{gateway: lab.gateways[number%3], method: "GET", path: "/lookup/" + newID(), deadline: 3 * time.Second})
				time.Sleep(brittlePause)
			}
		})
	}
	time.Sleep(time.Until(begins.Add(brittleCrash)))
	if trouble {
		lab.note("SIGKILL for engine %s", first.ID)
		first.kill()
	}
	consumers.Wait()
	play.mutex.Lock()
	defer play.mutex.Unlock()
	lab.note("%d engines fell over %d times", brittleEngines, play.falls)
	return 10*play.falls <= 20+brittleEngines, nil
}

// startEngine starts an engine, and starts it again whenever it ends.
func (play *brittlePlay) startEngine(number int) (*engineProcess, error) {
	engine, err := play.lab.startEngine(number, "ledger", play.options, func(fields []string) {
		if fields[1] == "falls" {
			play.mutex.Lock()
			defer play.mutex.Unlock()
			play.falls++
		}
	})
	if err != nil {
		return nil, err
	}
	go func() {
		<-engine.ended
		time.Sleep(engineRestart)
		if time.Now().Before(play.ends) {
			if _, err := play.startEngine(number); err != nil {
				play.lab.note("engine %d does not start: %v", number, err)
			}
		}
	}()
	return engine, nil
}
