package spread

import (
	"slices"
	"time"

	"primrosegw/core/host"
)

// Confirmed returns the names of the hosts that are known to have applied at
// least a generation, and those of the live hosts that are not. Heartbeats tell
// of the own failure domain; while Confirmed is being called, the other hosts
// are asked directly. What a host said counts for its present incarnation only.
func (spread *Spread) Confirmed(generation uint64) (confirmed, waiting []string) {
	now := time.Now()
	spread.mutex.Lock()
	defer spread.mutex.Unlock()
	for _, other := range spread.options.Hosts() {
		switch {
		case spread.hasApplied(other, generation):
			confirmed = append(confirmed, other.Name)
		case other.State != host.Dead:
			waiting = append(waiting, other.Name)
		}
	}
	if generation != spread.asking || !now.Before(spread.askUntil) {
		spread.asking, spread.askNext = generation, now
		clear(spread.asked)
		spread.notify()
	}
	spread.askUntil = now.Add(askFor)
	return confirmed, waiting
}

// Unreached returns the names of the hosts that are taken for dead and have not
// confirmed a generation: if one of them runs, cut off from here, it may still
// have an older generation in force.
func (spread *Spread) Unreached(generation uint64) []string {
	spread.mutex.Lock()
	defer spread.mutex.Unlock()
	var names []string
	for _, other := range spread.options.Hosts() {
		if other.State == host.Dead && !spread.hasApplied(other, generation) {
			names = append(names, other.Name)
		}
	}
	return names
}

// hasApplied reports whether a host is known to have applied a generation.
func (spread *Spread) hasApplied(other host.Host, generation uint64) bool {
	if other.Name == spread.options.Self().Name {
		return spread.current.Generation >= generation
	}
	observation, found := spread.seen[other.Name]
	return found && observation.host.Incarnation == other.Incarnation && observation.generation >= generation
}

// sendAsks asks some of the hosts that have not confirmed.
func (spread *Spread) sendAsks(now time.Time) {
	if !now.Before(spread.askUntil) || spread.askNext.After(now) {
		return
	}
	spread.askNext = now.Add(askPeriod)
	sent := 0
	for _, other := range spread.options.Hosts() {
		lately := now.Sub(spread.asked[other.Name]) < askAgain
		if sent >= askBatch || lately || other.State == host.Dead || spread.hasApplied(other, spread.asking) {
			continue
		}
		spread.asked[other.Name] = now
		spread.send(other, Message{Kind: Ask})
		sent++
	}
}

// Behind returns the names of live hosts seen at an older generation than the
// one in force here, for metrics.
func (spread *Spread) Behind() []string {
	spread.mutex.Lock()
	defer spread.mutex.Unlock()
	var names []string
	for name, observation := range spread.seen {
		if observation.generation < spread.current.Generation {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
