package spread

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/host"
)

// Receive takes a message of another host, whose record comes from the
// membership.
func (spread *Spread) Receive(from host.Host, message Message) {
	if from.Name != message.From {
		return
	}
	from.Incarnation = message.Incarnation
	switch message.Kind {
	case Page:
		spread.receivePage(from, message)
	case Repair:
		spread.receiveRepair(from, message)
	}
	spread.mutex.Lock()
	spread.observe(from, message.Generation, time.Now())
	spread.answer(from, message)
	spread.mutex.Unlock()
	spread.flush()
}

// receiveRepair takes heads from a peer.
func (spread *Spread) receiveRepair(from host.Host, message Message) {
	if message.Heads == nil {
		return
	}
	var document []byte
	if message.Packed != nil {
		document = spread.keep(message.Heads.Production.Digest, message.Packed)
	}
	spread.take(*message.Heads, from, document)
}

// receivePage takes a document that was asked for.
func (spread *Spread) receivePage(from host.Host, message Message) {
	spread.mutex.Lock()
	var waiting *pending
	if spread.pending != nil {
		copied := *spread.pending
		waiting = &copied
	}
	spread.mutex.Unlock()
	if waiting == nil || waiting.heads.Production.Digest != message.Wanted {
		return
	}
	spread.take(waiting.heads, from, spread.keep(message.Wanted, message.Packed))
}

// answer sends what a message asks for. A repair that brought nothing new is
// answered by a receipt, since its sender believes this host to be behind.
func (spread *Spread) answer(from host.Host, message Message) {
	switch message.Kind {
	case Ask:
		spread.send(from, Message{Kind: Receipt})
	case Repair:
		if message.Heads != nil && message.Heads.Generation <= spread.current.Generation {
			spread.send(from, Message{Kind: Receipt})
		}
	case Want:
		if packed := spread.find(message.Wanted); packed != nil {
			spread.send(from, Message{Kind: Page, Wanted: message.Wanted, Packed: packed})
		}
	}
}

// sendRepairs sends the repairs that are due. A repair stays in the queue
// until the host is seen at the generation, or is dead.
func (spread *Spread) sendRepairs(now time.Time) {
	if len(spread.repairs) == 0 {
		return
	}
	alive := map[string]host.Host{}
	for _, other := range spread.options.Hosts() {
		if other.State != host.Dead {
			alive[other.Name] = other
		}
	}
	relay := spread.IsRelay()
	for _, name := range slices.Sorted(maps.Keys(spread.repairs)) {
		planned := spread.repairs[name]
		if planned.resting || planned.due.After(now) {
			continue
		}
		other, found := alive[name]
		if !found {
			delete(spread.repairs, name)
			continue
		}
		// Only relays send again on their own; other hosts wait for the next
		// heartbeat that shows the host behind.
		if planned.sent && !relay {
			planned.resting = true
			spread.repairs[name] = planned
			continue
		}
		spread.repair(other)
		spread.repairs[name] = repair{due: now.Add(repairTimeout(planned.tries)), tries: planned.tries + 1, sent: true}
	}
}

// repairTimeout returns the wait for a sign of success after a number of earlier
// tries. It doubles once losses are no likely cause, so that a host that
// rejects a generation is not flooded.
func repairTimeout(tries int) time.Duration {
	return min(repairAgain<<max(0, min(tries, 10)-steadyTries), repairAgainMost)
}

// repair sends the heads in force to a host, with the document if it is small.
func (spread *Spread) repair(to host.Host) {
	current := spread.current
	message := Message{Kind: Repair, Heads: &current}
	if packed := spread.find(current.Production.Digest); len(packed) <= inlineLimit {
		message.Packed = packed
	}
	spread.send(to, message)
	spread.options.Log.Log(event.SpreadRepaired(), logrus.Fields{
		"name": to.Name, "generation": current.Generation, "behind_at": spread.seen[to.Name].generation,
	})
}

// seekDocument asks for the missing document again.
func (spread *Spread) seekDocument(now time.Time) {
	if spread.pending == nil || spread.pending.due.After(now) {
		return
	}
	spread.pending.due = now.Add(wantAgain)
	var holders []host.Host
	for _, name := range slices.Sorted(maps.Keys(spread.seen)) {
		if spread.seen[name].generation >= spread.pending.heads.Generation {
			holders = append(holders, spread.seen[name].host)
		}
	}
	if len(holders) > 0 {
		spread.want(holders[spread.options.Random.IntN(len(holders))])
	}
}

// want asks a host for the missing document.
func (spread *Spread) want(from host.Host) {
	spread.send(from, Message{Kind: Want, Wanted: spread.pending.heads.Production.Digest})
}

// send completes a message and puts it into the outbox.
func (spread *Spread) send(to host.Host, message Message) {
	self := spread.options.Self()
	message.From, message.Incarnation = self.Name, self.Incarnation
	message.Generation, message.Digest = spread.current.Generation, spread.current.Production.Digest
	spread.outbox = append(spread.outbox, envelope{to, message})
}

// flush hands the outbox to the options' Send, without the lock.
func (spread *Spread) flush() {
	spread.mutex.Lock()
	outbox := spread.outbox
	spread.outbox = nil
	spread.mutex.Unlock()
	for _, letter := range outbox {
		spread.options.Send(letter.to, letter.message)
	}
}
