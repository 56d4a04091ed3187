package poison

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// confirmWithin is the time after a broken answer within which a server that
	// takes no connection counts as crashed by the request.
	confirmWithin = 3 * time.Second
	// sameCrash is the time between the broken answers of one crash.
	sameCrash = 500 * time.Millisecond
	// mostLosses bounds the broken answers kept for one server.
	mostLosses = 128
	// toldFor is the time for which a changed record is told to other hosts, so
	// that a lost message does not matter.
	toldFor = 2 * time.Second
	// mostToldRecords bounds the records in one message.
	mostToldRecords = 4
)

/*
Witness finds crashes of servers from what a host sees of them: an answer that
breaks off, and a refused connection to the same server soon afterwards. Either
alone says little, as servers lose single answers and also crash by themselves.

A server that crashes breaks off all its answers at once; each of their requests
is a suspect, and the requests that end well elsewhere are cleared. It is safe for
concurrent use.
*/
type Witness struct {
	registry *Registry
	mutex    sync.Mutex
	losses   map[string][]loss
	fresh    []told
}

// loss is an answer that a server broke off.
type loss struct {
	fingerprint uint64
	at          time.Time
}

// told is a changed record that other hosts are still told.
type told struct {
	record Record
	until  time.Time
}

// NewWitness returns a witness that records crashes in a registry.
func NewWitness(registry *Registry) *Witness {
	return &Witness{registry: registry, losses: make(map[string][]loss)}
}

// Fingerprint identifies a request that comes again: by method, target, caller
// and body. It is never 0.
func Fingerprint(method, target, caller string, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{method, target, caller} {
		// The digest takes all bytes and never fails.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return max(1, digest.Sum64())
}

// Broke records that a server broke off the answer to a request. It reports
// whether that is the first answer of what may be a crash: then the server should
// be asked for a connection.
func (witness *Witness) Broke(server string, fingerprint uint64, now time.Time) bool {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	losses := recent(witness.losses[server], now)
	first := len(losses) == 0 || now.Sub(losses[len(losses)-1].at) > sameCrash
	losses = append(losses, loss{fingerprint, now})
	witness.losses[server] = losses[max(0, len(losses)-mostLosses):]
	return first
}

// Down records that a server takes no connection. The requests whose answers it
// broke off last are suspects from now on; their number is returned.
func (witness *Witness) Down(server string, now time.Time) int {
	witness.mutex.Lock()
	losses := recent(witness.losses[server], now)
	delete(witness.losses, server)
	witness.mutex.Unlock()
	if len(losses) == 0 {
		return 0
	}
	crashed := losses[len(losses)-1].at
	id := xxhash.Sum64String(server + crashed.UTC().String())
	suspects := 0
	for _, lost := range losses {
		if crashed.Sub(lost.at) <= sameCrash {
			suspects++
			witness.tell(witness.registry.Crash(lost.fingerprint, id), now)
		}
	}
	return suspects
}

// Ended records that a request ran to its end.
func (witness *Witness) Ended(fingerprint uint64, now time.Time) {
	if record, changed := witness.registry.Clear(fingerprint); changed {
		witness.tell([]Record{record}, now)
	}
}

// Known reports whether there are suspects at all. Without any, fingerprints need
// not be computed.
func (witness *Witness) Known() bool { return witness.registry.Size() > 0 }

// Verdict says how a request with the fingerprint may be run.
func (witness *Witness) Verdict(fingerprint uint64) Verdict {
	return witness.registry.Verdict(fingerprint)
}

// Tell returns the records that other hosts are to be told now.
func (witness *Witness) Tell(now time.Time) []Record {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	witness.fresh = slices.DeleteFunc(witness.fresh, func(told told) bool { return now.After(told.until) })
	var records []Record
	for _, told := range witness.fresh[max(0, len(witness.fresh)-mostToldRecords):] {
		records = append(records, told.record)
	}
	return records
}

// Hear takes over what another host tells.
func (witness *Witness) Hear(records []Record) { witness.registry.Merge(records) }

func (witness *Witness) tell(records []Record, now time.Time) {
	witness.mutex.Lock()
	defer witness.mutex.Unlock()
	for _, record := range records {
		witness.fresh = slices.DeleteFunc(witness.fresh, func(told told) bool {
			return told.record.Fingerprint == record.Fingerprint
		})
		witness.fresh = append(witness.fresh, told{record, now.Add(toldFor)})
	}
}

// recent leaves out losses that are too old to be put down to a crash.
func recent(losses []loss, now time.Time) []loss {
	return slices.DeleteFunc(losses, func(lost loss) bool { return now.Sub(lost.at) > confirmWithin })
}
