package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// The sizes of the play of streams that are taken up before their last event.
const (
	modelEngines  = 4
	streamsPerWay = 16
	streamEvents  = 3
	eventStep     = 20
	eventGapMs    = 700
	streamTimeout = 8 * time.Second
)

// takenStream is a stream of one consumer.
type takenStream struct {
	begun, takenUp, wentOn atomic.Bool
	// seen is the number of events that the consumer has.
	seen atomic.Int64
}

/*
playLastStep kills the gateway of streams whose events have IDs that increase by more than one, when one event is
left of each. The rule: of the streams that consumers take up again, the share that goes on is not under half of the
share of new streams that begin.
*/
func playLastStep(lab *lab, trouble bool) (bool, error) {
	lab.store.put(wire("config_key"), config("laststep"))
	for number := range modelEngines {
		options := engineOptions{IsModel: true, Slots: 64, Queue: 64, WorkMs: 20, Events: streamEvents, GapMs: eventGapMs, Step: eventStep}
		if _, err := lab.startEngine(number, "sketch", options, nil); err != nil {
			return false, err
		}
	}
	if err := lab.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var consumers sync.WaitGroup
	streams := make([]*takenStream, 2*streamsPerWay)
	oneLeft := make(chan struct{}, len(streams))
	for number := range streams {
		streams[number] = &takenStream{}
		// Half of the streams go through the gateway that is killed, the others through the next one.
		consumers.Go(func() { lab.consume(streams[number], number%2, oneLeft) })
	}
	for range streams {
		<-oneLeft
	}
	if trouble {
		lab.note("SIGKILL for %s", lab.gateways[0].name)
		lab.gateways[0].kill()
	}
	consumers.Wait()
	begun, takenUp, wentOn := 0, 0, 0
	for _, stream := range streams {
		begun += count(stream.begun.Load())
		takenUp += count(stream.takenUp.Load())
		wentOn += count(stream.wentOn.Load())
	}
	lab.note("new streams %d, of which began %d; taken up again %d, of which went on %d", len(streams), begun, takenUp, wentOn)
	if takenUp < 12 {
		if trouble {
			return false, fmt.Errorf("only %d streams were taken up", takenUp)
		}
		return true, nil
	}
	return 2*wentOn*len(streams) >= begun*takenUp, nil
}

// count returns 1 for true.
func count(holds bool) int {
	if holds {
		return 1
	}
	return 0
}

// consume reads a stream, and takes it up once at the last gateway if it breaks off.
func (lab *lab) consume(stream *takenStream, first int, oneLeft chan<- struct{}) {
	last := ""
	began := time.Now()
	attempt := request{
		gateway: lab.gateways[first], method: "POST", path: "/report/" + newID(), body: "draw the disc", deadline: streamTimeout, parts: "5c1e07a2:60," + newID() + ":40",
	}
	attempt.onEvent = func(id string) {
		last = id
		stream.begun.Store(true)
		if stream.seen.Add(1) == streamEvents-1 {
			oneLeft <- struct{}{}
		}
	}
	got := lab.send(attempt)
	if stream.seen.Load() < streamEvents-1 {
		oneLeft <- struct{}{}
	}
	if got.isWhole || last == "" {
		return
	}
	stream.takenUp.Store(true)
	attempt.gateway, attempt.lastEventID, attempt.resumes = lab.gateways[2], last, got.id
	attempt.deadline = streamTimeout - time.Since(began)
	attempt.onEvent = func(string) { stream.wentOn.Store(true) }
	lab.send(attempt)
}
