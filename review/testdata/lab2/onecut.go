package main

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The sizes of the play of one answer that an engine breaks off.
const (
	cutEngines    = 4
	cutStreamers  = 12
	cutLookers    = 6
	cutBreak      = 2 * time.Second
	cutSignal     = 12 * time.Second
	cutLasts      = 18 * time.Second
	cutEvents     = 5
	cutGapMs      = 250
	cutPause      = 100 * time.Millisecond
	configApply   = 2 * time.Second
	streamPatient = 6 * time.Second
)

// cutPlay is the state of the play.
type cutPlay struct {
	lab *lab
	// busiest is the ID of the engine that got the last request that is no stream.
	busiest atomic.Value
	// brokeAt and signalledAt are Unix nanoseconds; 0: not yet.
	brokeAt, signalledAt atomic.Int64
	// lost counts the streams that count for the rule, of which an engine had written all events.
	lost, whole, afterBreak atomic.Int64
}

/*
playOneCut lets one engine break off one answer with a length, and live on. More than contact_ms later all gateways get
SIGHUP. The rule: around planned work, with no unplanned disturbance from contact_ms before a request to its end, no
request that was passed on ends without a complete answer.
*/
func playOneCut(lab *lab, trouble bool) (bool, error) {
	play := &cutPlay{lab: lab}
	lab.store.put(wire("config_key"), config("onecut"))
	for number := range cutEngines {
		options := engineOptions{IsModel: true, Slots: 64, Queue: 64, WorkMs: 20, BodyBytes: 800, Events: cutEvents, GapMs: cutGapMs, Step: 1, Unframed: true}
		if _, err := lab.startEngine(number, "sketch", options, play.observe); err != nil {
			return false, err
		}
	}
	if err := lab.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	began := time.Now()
	var consumers sync.WaitGroup
	for number := range cutStreamers + cutLookers {
		consumers.Go(func() {
			for time.Since(began) < cutLasts {
				if number < cutStreamers {
					play.stream(lab.gateways[number%3])
				} else {
					lab.send(request{gateway: lab.gateways[number%3], method: "GET", path: "/lookup/" + newID(), deadline: 3 * time.Second})
				}
				time.Sleep(cutPause)
			}
		})
	}
	time.Sleep(time.Until(began.Add(cutBreak)))
	if id, known := play.busiest.Load().(string); known && trouble {
		lab.note("engine %s is to break off its next answer that is no stream", id)
		_ = lab.engines[id].command.Process.Signal(syscall.SIGUSR1)
	}
	time.Sleep(time.Until(began.Add(cutSignal)))
	if trouble && play.brokeAt.Load() == 0 {
		return false, errors.New("no answer was broken off")
	}
	for _, made := range lab.gateways {
		lab.note("SIGHUP for %s", made.name)
		_ = made.command.Process.Signal(syscall.SIGHUP)
	}
	play.signalledAt.Store(time.Now().UnixNano())
	consumers.Wait()
	lab.note("whole streams %d; broken off later than contact_ms after the broken answer %d, of which around SIGHUP %d",
		play.whole.Load(), play.afterBreak.Load(), play.lost.Load())
	return play.lost.Load() == 0, nil
}

// observe notes which engine gets plain requests, and when one breaks off its answer.
func (play *cutPlay) observe(fields []string) {
	switch fields[1] {
	case "breaks":
		play.brokeAt.Store(time.Now().UnixNano())
	case "plain":
		play.busiest.Store(fields[2])
	}
}

// stream reads a stream to its end and judges it.
func (play *cutPlay) stream(to *gateway) {
	sentAt := time.Now()
	events := 0
	got := play.lab.send(request{
		gateway: to, method: "POST", path: "/question/" + newID(), body: "what is this spot", deadline: streamPatient,
		parts: "5c1e07a2:60," + newID() + ":40", onEvent: func(string) { events++ },
	})
	broke, signalled := play.brokeAt.Load(), play.signalledAt.Load()
	switch {
	case got.isWhole && events == cutEvents:
		play.whole.Add(1)
		return
	case events < cutEvents || broke > 0 && sentAt.UnixNano()-broke < contactTime.Nanoseconds():
		return
	}
	play.afterBreak.Add(1)
	isAround := signalled > 0 && time.Now().UnixNano() > signalled && sentAt.UnixNano()-signalled < configApply.Nanoseconds()
	if isAround {
		play.lost.Add(1)
		play.lab.note("LOST: consumer %s has all events and no end of the answer", got.id)
	}
}
