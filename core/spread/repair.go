package spread

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/host"
)

// Receive processes a message from another host, whose record comes from the
// membership.
func (distributor *Distributor) Receive(from host.Host, message Message) {
	if from.Name != message.From {
		return
	}
	from.Incarnation = message.Incarnation
	switch message.Kind {
	case DocumentReply:
		distributor.receiveDocument(from, message)
	case Repair:
		distributor.receiveRepair(from, message)
	}
	distributor.mutex.Lock()
	distributor.recordGeneration(from, message.Generation, time.Now())
	distributor.reply(from, message)
	distributor.mutex.Unlock()
	distributor.flushOutbox()
}

// receiveRepair processes heads from a peer.
func (distributor *Distributor) receiveRepair(from host.Host, message Message) {
	if message.Heads == nil {
		return
	}
	var document []byte
	if message.Compressed != nil {
		document = distributor.cacheReceived(message.Heads.Production.Digest, message.Compressed)
	}
	distributor.applyOrFetch(*message.Heads, from, document)
}

// receiveDocument processes the reply to a document request.
func (distributor *Distributor) receiveDocument(from host.Host, message Message) {
	distributor.mutex.Lock()
	var awaited *pendingHeads
	if distributor.pending != nil {
		copied := *distributor.pending
		awaited = &copied
	}
	distributor.mutex.Unlock()
	if awaited == nil || awaited.heads.Production.Digest != message.RequestedDigest {
		return
	}
	distributor.applyOrFetch(awaited.heads, from, distributor.cacheReceived(message.RequestedDigest, message.Compressed))
}

// reply sends the response that a message requires. A repair that is not newer
// than the generation in force is answered with a status report, since its
// sender believes this host to be behind.
func (distributor *Distributor) reply(from host.Host, message Message) {
	switch message.Kind {
	case StatusRequest:
		distributor.enqueue(from, Message{Kind: StatusReport})
	case Repair:
		if message.Heads != nil && message.Heads.Generation <= distributor.current.Generation {
			distributor.enqueue(from, Message{Kind: StatusReport})
		}
	case DocumentRequest:
		if compressed := distributor.findCompressed(message.RequestedDigest); compressed != nil {
			distributor.enqueue(from, Message{Kind: DocumentReply, RequestedDigest: message.RequestedDigest, Compressed: compressed})
		}
	}
}

// sendRepairs sends the repairs that are due. A repair stays scheduled until
// the host reports the generation or is dead.
func (distributor *Distributor) sendRepairs(now time.Time) {
	if len(distributor.repairs) == 0 {
		return
	}
	alive := map[string]host.Host{}
	for _, other := range distributor.options.Hosts() {
		if other.State != host.Dead {
			alive[other.Name] = other
		}
	}
	relay := distributor.IsRelay()
	for _, name := range slices.Sorted(maps.Keys(distributor.repairs)) {
		scheduled := distributor.repairs[name]
		if scheduled.awaitingHeartbeat || scheduled.due.After(now) {
			continue
		}
		other, found := alive[name]
		if !found {
			delete(distributor.repairs, name)
			continue
		}
		// Only relays retransmit on a timer. Other hosts wait for the next
		// heartbeat that shows the host behind.
		if scheduled.awaitingResult && !relay {
			scheduled.awaitingHeartbeat = true
			distributor.repairs[name] = scheduled
			continue
		}
		distributor.sendRepair(other)
		distributor.repairs[name] = repairState{
			due:      now.Add(repairTimeout(scheduled.attempts)),
			attempts: scheduled.attempts + 1, awaitingResult: true,
		}
	}
}

// repairTimeout returns how long to wait for confirmation after the given
// number of earlier attempts. It doubles once message loss is an unlikely
// cause, so that a host that rejects a generation is not flooded.
func repairTimeout(attempts int) time.Duration {
	return min(initialRepairTimeout<<max(0, min(attempts, 10)-attemptsBeforeBackoff), maxRepairTimeout)
}

// sendRepair sends the heads in force to a host, with the document if it is
// small.
func (distributor *Distributor) sendRepair(to host.Host) {
	current := distributor.current
	message := Message{Kind: Repair, Heads: &current}
	if compressed := distributor.findCompressed(current.Production.Digest); len(compressed) <= maxInlineBytes {
		message.Compressed = compressed
	}
	distributor.enqueue(to, message)
	distributor.options.Log.Log(event.SpreadRepaired(), logrus.Fields{
		"name": to.Name, "generation": current.Generation, "behind_at": distributor.reports[to.Name].generation,
	})
}

// retryDocumentRequest requests the missing document from a random host that
// has the generation.
func (distributor *Distributor) retryDocumentRequest(now time.Time) {
	if distributor.pending == nil || distributor.pending.due.After(now) {
		return
	}
	distributor.pending.due = now.Add(documentRetryInterval)
	var holders []host.Host
	for _, name := range slices.Sorted(maps.Keys(distributor.reports)) {
		if distributor.reports[name].generation >= distributor.pending.heads.Generation {
			holders = append(holders, distributor.reports[name].host)
		}
	}
	if len(holders) > 0 {
		distributor.requestDocument(holders[distributor.options.Random.IntN(len(holders))])
	}
}

// requestDocument requests the missing document from a host.
func (distributor *Distributor) requestDocument(from host.Host) {
	distributor.enqueue(from, Message{Kind: DocumentRequest, RequestedDigest: distributor.pending.heads.Production.Digest})
}

// enqueue fills in the sender's fields of a message and adds it to the outbox.
func (distributor *Distributor) enqueue(to host.Host, message Message) {
	self := distributor.options.Self()
	message.From, message.Incarnation = self.Name, self.Incarnation
	message.Generation, message.Digest = distributor.current.Generation, distributor.current.Production.Digest
	distributor.outbox = append(distributor.outbox, outgoingMessage{to, message})
}

// flushOutbox passes the queued messages to Options.Send without holding the
// mutex.
func (distributor *Distributor) flushOutbox() {
	distributor.mutex.Lock()
	outbox := distributor.outbox
	distributor.outbox = nil
	distributor.mutex.Unlock()
	for _, outgoing := range outbox {
		distributor.options.Send(outgoing.to, outgoing.message)
	}
}
