package poison_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/poison"
)

// seedFlag selects the random choices of the detectors, so that a failure can be repeated.
var seedFlag = flag.Uint64("poison-seed", 0, "seed of TestCrashingPartAmongSoundRequests; 0: a random one")

const (
	// contactTime is the time after the fifth crash from which at most maxLate requests that
	// crash servers may still be sent.
	contactTime = 3 * time.Second
	maxLate     = 3
	// timeToCrash is the time from sending a request to the crash.
	timeToCrash = 150 * time.Millisecond
)

// disturbance is what happens to the hosts while requests crash servers.
type disturbance struct {
	name string
	// lost is the share of the messages that are lost.
	lost float64
	// frozen hosts neither send nor receive from the second crash to four seconds later,
	// restarted ones lose what they know at the second crash.
	frozen, restarted int
	// allRestart is set if all hosts lose what they know 8 s after the first crash.
	allRestart bool
}

// storm plays requests with a bad part, no two alike, and sound ones that share its other
// parts, sent through random hosts.
type storm struct {
	*cluster
	random      *rand.Rand
	disturbance disturbance
	// badFirst is set if the bad part is the first one of its requests.
	badFirst    bool
	unique      uint64
	fifthCrash  time.Time
	late        int
	frozenUntil time.Time
	records     []poison.QuarantineRecord
	// seed and started make the random choices of each detector repeatable.
	seed, started uint64
}

func newStorm(t *testing.T, hosts int, seed uint64) *storm {
	storm := &storm{cluster: &cluster{t: t, now: time.Now()}, seed: seed}
	for range hosts {
		storm.hosts = append(storm.hosts, storm.newDetector())
	}
	return storm
}

// newDetector returns the detector of a host that starts, with choices of its own.
func (storm *storm) newDetector() *poison.CrashDetector {
	storm.started++
	random := rand.New(rand.NewPCG(storm.seed, storm.started))
	return poison.NewCrashDetector(poison.DetectorOptions{Recorded: true, Random: random})
}

// features returns the features of a new request: a session, a first part and a document
// that sound requests have, too, and the bad part if bad is set.
func (storm *storm) features(bad bool) []uint64 {
	storm.unique++
	parts := []uint64{2000 + storm.random.Uint64N(3), 3000 + storm.random.Uint64N(40), 4000 + storm.random.Uint64N(6)}
	switch {
	case bad && storm.badFirst:
		parts[0] = badPart
	case bad:
		parts = append(parts, badPart)
	}
	return poison.Features(1_000_000+storm.unique, parts)
}

func (storm *storm) isFrozen(host int) bool {
	return host < storm.disturbance.frozen && storm.now.Before(storm.frozenUntil)
}

// sendBad sends a request with the bad part, which crashes a server on which a sound request
// of another host runs, unless its host refuses it.
func (storm *storm) sendBad() {
	host, other := storm.random.IntN(len(storm.hosts)), storm.random.IntN(len(storm.hosts))
	features := storm.features(true)
	if storm.isFrozen(host) || storm.hosts[host].Refuses(features, storm.now) {
		return
	}
	if !storm.fifthCrash.IsZero() && storm.now.Sub(storm.fifthCrash) > contactTime {
		storm.late++
	}
	sentAt := storm.now
	storm.exchange(timeToCrash)
	storm.crashes++
	process := fmt.Sprint("engine-", storm.crashes)
	storm.hosts[other].ObserveBrokenResponse(process, storm.features(false), sentAt, storm.now)
	storm.hosts[host].ObserveBrokenResponse(process, features, sentAt, storm.now)
	for _, at := range []int{host, other} {
		if !storm.isFrozen(at) {
			storm.hosts[at].ObserveConnectionFailure(process, storm.now)
		}
	}
	if storm.crashes == 5 {
		storm.fifthCrash = storm.now
	}
	if storm.crashes == 2 {
		storm.frozenUntil = storm.now.Add(4 * time.Second)
		storm.restart(storm.disturbance.restarted)
	}
}

// restart lets the first hosts start anew, with the records that the store has.
func (storm *storm) restart(count int) {
	for host := range min(count, len(storm.hosts)) {
		storm.hosts[host] = storm.newDetector()
		for _, record := range storm.records {
			storm.hosts[host].ApplyRecord(record, storm.now)
		}
	}
}

// exchange lets time pass, in which hosts send messages and write records.
func (storm *storm) exchange(duration time.Duration) {
	const step = 50 * time.Millisecond
	for end := storm.now.Add(duration); storm.now.Before(end); storm.now = storm.now.Add(step) {
		for index, from := range storm.hosts {
			if storm.isFrozen(index) {
				continue
			}
			from.Advance(storm.now)
			evidence := from.PendingEvidence(storm.now)
			for to := range storm.hosts {
				if evidence.Size() > 0 && to != index && !storm.isFrozen(to) && storm.random.Float64() >= storm.disturbance.lost {
					storm.hosts[to].ApplyEvidence(evidence, storm.now)
				}
			}
			for _, record := range from.RecordsToWrite(storm.now) {
				storm.write(record)
			}
		}
	}
}

// write adds a record to the store, from which all hosts learn of it.
func (storm *storm) write(record poison.QuarantineRecord) {
	storm.records = append(storm.records, record)
	for _, host := range storm.hosts {
		host.ApplyRecord(record, storm.now)
	}
}

// Guards against requests with a bad part that go on crashing servers, in fleets of all sizes,
// whatever else the requests have and whatever happens to the hosts meanwhile; and against
// refusing sound requests that share a part or a session with them.
func TestCrashingPartAmongSoundRequests(t *testing.T) {
	disturbances := []disturbance{
		{name: "none"},
		{name: "messages lost", lost: 0.3},
		{name: "hosts frozen", frozen: 2},
		{name: "hosts restarted", restarted: 2},
		{name: "all restart", allRestart: true},
		{name: "all of it", lost: 0.3, frozen: 1, restarted: 2, allRestart: true},
	}
	seed := *seedFlag
	if seed == 0 {
		seed = 1 + rand.Uint64()
	}
	for _, hosts := range []int{3, 8, 91, 195} {
		for _, badFirst := range []bool{false, true} {
			for index, disturbance := range disturbances {
				name := fmt.Sprintf("-poison-seed %d: %d hosts, bad part first %t, %s", seed, hosts, badFirst, disturbance.name)
				storm := newStorm(t, hosts, seed)
				storm.disturbance, storm.badFirst = disturbance, badFirst
				storm.random = rand.New(rand.NewPCG(uint64(hosts), uint64(index)))
				storm.play(t, name)
			}
		}
	}
}

func (storm *storm) play(t *testing.T, name string) {
	const rounds, roundTime = 24, 800 * time.Millisecond
	refused, restartAt := 0, storm.now.Add(8*time.Second)
	for range rounds {
		storm.sendBad()
		for range 6 {
			host, features := storm.random.IntN(len(storm.hosts)), storm.features(false)
			if storm.hosts[host].Refuses(features, storm.now) {
				refused++
				continue
			}
			storm.hosts[host].ObserveCompletion(features, storm.now.Add(time.Millisecond))
		}
		storm.exchange(roundTime)
		if storm.disturbance.allRestart && storm.now.After(restartAt) {
			storm.restart(len(storm.hosts))
			restartAt = restartAt.Add(time.Hour)
		}
	}
	require.LessOrEqual(t, storm.late, maxLate, name)
	require.LessOrEqual(t, storm.crashes, 5+maxLate, name)
	require.Zero(t, refused, "%s: sound requests refused", name)
}
