package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/poison"
)

// crashLimit is the number of crashes after which a request is refused.
const crashLimit = 3

// cluster is a set of hosts that exchange evidence, with engines that crash.
type cluster struct {
	t       *testing.T
	hosts   []*poison.CrashDetector
	now     time.Time
	crashes int
}

func newCluster(t *testing.T, hosts int) *cluster {
	cluster := &cluster{t: t, now: time.Now()}
	for range hosts {
		cluster.hosts = append(cluster.hosts, newDetector())
	}
	return cluster
}

func newDetector() *poison.CrashDetector {
	return poison.NewCrashDetector(poison.DetectorOptions{Recorded: true})
}

// advance lets time pass, in which the hosts exchange messages.
func (cluster *cluster) advance(duration time.Duration) {
	const step = 50 * time.Millisecond
	for end := cluster.now.Add(duration); cluster.now.Before(end); cluster.now = cluster.now.Add(step) {
		for _, from := range cluster.hosts {
			from.Advance(cluster.now)
			evidence := from.PendingEvidence(cluster.now)
			for _, to := range cluster.hosts {
				if evidence.Size() > 0 && to != from {
					to.ApplyEvidence(evidence, cluster.now)
				}
			}
		}
	}
}

// crash lets a new engine crash while hosts have requests in flight there, which were sent
// 100 ms before. It is given a host and the features of each request.
func (cluster *cluster) crash(requests map[int][]uint64) {
	cluster.crashes++
	process := fmt.Sprint("engine-", cluster.crashes)
	for host, features := range requests {
		detector := cluster.hosts[host]
		detector.ObserveBrokenResponse(process, poison.Features(features[0], features[1:]), cluster.now.Add(-100*time.Millisecond), cluster.now)
		require.Positive(cluster.t, detector.ObserveConnectionFailure(process, cluster.now))
	}
	cluster.advance(500 * time.Millisecond)
}

// complete lets a request complete at a host.
func (cluster *cluster) complete(host int, features ...uint64) {
	cluster.hosts[host].ObserveCompletion(poison.Features(features[0], features[1:]), cluster.now)
	cluster.advance(500 * time.Millisecond)
}

// refuses returns whether all hosts refuse a request; the hosts must agree.
func (cluster *cluster) refuses(features ...uint64) bool {
	refused := cluster.hosts[0].Refuses(poison.Features(features[0], features[1:]), cluster.now)
	for _, host := range cluster.hosts {
		require.Equal(cluster.t, refused, host.Refuses(poison.Features(features[0], features[1:]), cluster.now))
	}
	return refused
}

// Features of requests in the tests: unique ones, and parts of prompts.
const (
	firstPart uint64 = 1000 + iota
	otherFirstPart
	badPart
	soundPart
)

// Guards against a request that crashes one engine after another.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	cluster := newCluster(t, 1)
	for range crashLimit {
		require.False(t, cluster.refuses(7))
		cluster.crash(map[int][]uint64{0: {7}})
	}
	require.True(t, cluster.refuses(7))
	require.False(t, cluster.refuses(8))
}

// Guards against false suspects: when a server only loses responses, when it goes
// down long after a broken response, and when several connections observe the same
// crash.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	detector, now := newDetector(), time.Now()
	for range crashLimit {
		detector.ObserveBrokenResponse("a", []uint64{7}, now.Add(-time.Second), now)
	}
	require.False(t, detector.HasSuspects())
	require.Zero(t, detector.ObserveConnectionFailure("a", now.Add(time.Minute)))
	for range 2 * crashLimit {
		detector.ObserveBrokenResponse("a", []uint64{7}, now.Add(-time.Second), now)
		detector.ObserveConnectionFailure("a", now)
	}
	require.True(t, detector.HasSuspects())
	require.False(t, detector.Refuses([]uint64{7}, now.Add(time.Second)))
}

// Guards against a response that ends with its connection and hides the first broken response
// of a crash, so that nobody finds out whether the server is still there.
func TestAmbiguousEndHidesNoCrash(t *testing.T) {
	detector, now := newDetector(), time.Now()
	detector.ObserveAmbiguousEnd("a", []uint64{7}, now, now)
	require.True(t, detector.ObserveBrokenResponse("a", []uint64{8}, now, now.Add(100*time.Millisecond)))
	require.False(t, detector.ObserveBrokenResponse("a", []uint64{9}, now, now.Add(200*time.Millisecond)))
	require.Equal(t, 3, detector.ObserveConnectionFailure("a", now.Add(300*time.Millisecond)))
}

// Guards against a request that is refused for crashes that another request caused,
// although it completed on another server in between.
func TestRequestThatEndsWellIsCleared(t *testing.T) {
	cluster := newCluster(t, 2)
	for range crashLimit - 1 {
		cluster.crash(map[int][]uint64{0: {7}})
	}
	cluster.complete(1, 7)
	cluster.crash(map[int][]uint64{0: {7}})
	require.False(t, cluster.refuses(7))
}

// Guards against hosts that each count only the crashes that they observed themselves,
// and that send reports for ever.
func TestCrashesAreToldToOtherHosts(t *testing.T) {
	cluster := newCluster(t, 4)
	for host := range crashLimit {
		cluster.crash(map[int][]uint64{host: {uint64(host), firstPart, badPart}})
	}
	require.True(t, cluster.refuses(50, firstPart, badPart))
	evidence := cluster.hosts[0].PendingEvidence(cluster.now.Add(time.Minute))
	require.Zero(t, evidence.Size())
}

// Guards against messages lost: one of four copies is enough.
func TestLostReportsAreSentAgain(t *testing.T) {
	local, other, now := newDetector(), newDetector(), time.Now()
	for crash := range crashLimit {
		process := fmt.Sprint("engine-", crash)
		now = now.Add(20 * time.Millisecond)
		local.ObserveBrokenResponse(process, []uint64{7}, now.Add(-10*time.Millisecond), now)
		local.ObserveConnectionFailure(process, now)
	}
	for range 3 {
		lost := local.PendingEvidence(now)
		require.Positive(t, lost.Size())
		now = now.Add(600 * time.Millisecond)
	}
	other.ApplyEvidence(local.PendingEvidence(now), now)
	require.True(t, other.Refuses([]uint64{7}, now))
}

// Guards against requests that crash engines because of one part of their prompts and
// differ in all else, sent through different hosts.
func TestPartThatCrashesServersIsRefused(t *testing.T) {
	cluster := newCluster(t, 8)
	for crash := range crashLimit {
		require.False(t, cluster.refuses(100, firstPart, badPart))
		cluster.crash(map[int][]uint64{crash: {uint64(crash), firstPart, badPart}, 7: {uint64(20 + crash), firstPart, soundPart}})
		cluster.complete(6, 60, firstPart)
		cluster.complete(6, 61, soundPart)
	}
	require.True(t, cluster.refuses(100, firstPart, badPart))
	require.True(t, cluster.refuses(101, otherFirstPart, badPart))
	require.False(t, cluster.refuses(102, firstPart, soundPart))
}

// Guards against refusing all requests that share another part with those that crash
// engines, when hardly any other requests have that part.
func TestCompanionsOfABadPartAreNotRefused(t *testing.T) {
	cluster := newCluster(t, 2)
	for crash := range crashLimit {
		cluster.crash(map[int][]uint64{0: {uint64(crash), firstPart, badPart}})
	}
	require.True(t, cluster.refuses(100, firstPart, badPart))
	require.False(t, cluster.refuses(101, firstPart, soundPart))
	cluster.complete(1, 101, firstPart, soundPart)
	require.True(t, cluster.refuses(102, otherFirstPart, badPart), "the quarantine is not narrowed")
}

// Guards against a quarantine of one request that hides a bad part of its prompt: the
// first crashes are those of a request that is sent again.
func TestRepeatedRequestDoesNotHideItsPart(t *testing.T) {
	cluster := newCluster(t, 2)
	for range crashLimit {
		cluster.crash(map[int][]uint64{0: {7, firstPart, badPart}})
	}
	require.True(t, cluster.refuses(7, firstPart, badPart))
	cluster.crash(map[int][]uint64{1: {8, firstPart, badPart}})
	require.True(t, cluster.refuses(9, firstPart, badPart))
	require.False(t, cluster.refuses(9, firstPart, soundPart))
}

// Guards against blaming a part that many requests share when engines go down together
// for a reason outside the requests.
func TestEnginesThatGoDownTogetherAreOneCrash(t *testing.T) {
	cluster := newCluster(t, 2)
	for engine := range 3 * crashLimit {
		process := fmt.Sprint("engine-", engine)
		for _, host := range cluster.hosts {
			features := poison.Features(uint64(engine), []uint64{firstPart})
			host.ObserveBrokenResponse(process, features, cluster.now.Add(-time.Second), cluster.now.Add(time.Duration(engine)*20*time.Millisecond))
		}
	}
	cluster.advance(300 * time.Millisecond)
	for engine := range 3 * crashLimit {
		for _, host := range cluster.hosts {
			require.Positive(t, host.ObserveConnectionFailure(fmt.Sprint("engine-", engine), cluster.now))
		}
	}
	cluster.advance(time.Second)
	require.False(t, cluster.refuses(100, firstPart))
}

// Guards against a decision between two parts that explain the crashes equally well, and
// against none when they go on.
func TestDoubtEndsWithMoreCrashes(t *testing.T) {
	cluster := newCluster(t, 2)
	for crash := range crashLimit {
		cluster.crash(map[int][]uint64{0: {uint64(crash), badPart}, 1: {uint64(50 + crash), soundPart}})
	}
	require.False(t, cluster.refuses(100, badPart))
	require.False(t, cluster.refuses(101, soundPart))
	cluster.crash(map[int][]uint64{0: {9, badPart}})
	require.True(t, cluster.refuses(100, badPart))
	require.False(t, cluster.refuses(101, soundPart))
}

// Guards against hosts that forget quarantines when they all restart, and against a record
// that every host writes.
func TestRecordedQuarantineSurvivesARestart(t *testing.T) {
	cluster := newCluster(t, 20)
	for crash := range crashLimit {
		cluster.crash(map[int][]uint64{crash: {uint64(crash), badPart}})
	}
	var records []poison.QuarantineRecord
	for _, host := range cluster.hosts {
		records = append(records, host.RecordsToWrite(cluster.now)...)
	}
	require.Len(t, records, 1)
	for _, host := range cluster.hosts {
		host.ApplyRecord(records[0], cluster.now)
		require.Empty(t, host.RecordsToWrite(cluster.now.Add(time.Minute)))
	}
	restarted := newDetector()
	restarted.ApplyRecord(records[0], cluster.now)
	require.True(t, restarted.Refuses(poison.Features(50, []uint64{badPart}), cluster.now))
	require.False(t, restarted.Refuses(poison.Features(50, []uint64{soundPart}), cluster.now))
}

// Guards against a record that is never written because its writer is lost.
func TestRecordIsWrittenByAnotherHost(t *testing.T) {
	cluster := newCluster(t, 2)
	for crash := range crashLimit {
		cluster.crash(map[int][]uint64{0: {uint64(crash), badPart}})
	}
	require.Len(t, cluster.hosts[1].RecordsToWrite(cluster.now.Add(10*time.Second)), 1)
}

// Guards against a quarantine that never ends.
func TestQuarantineExpires(t *testing.T) {
	cluster := newCluster(t, 2)
	for crash := range crashLimit {
		cluster.crash(map[int][]uint64{0: {uint64(crash), badPart}})
	}
	require.True(t, cluster.refuses(100, badPart))
	for _, host := range cluster.hosts {
		host.Advance(cluster.now.Add(poison.CrashTTL))
		require.Len(t, host.RecordsToRemove(), 1)
		require.Empty(t, host.RecordsToRemove())
		require.False(t, host.HasSuspects())
	}
	require.False(t, cluster.refuses(100, badPart))
}

// Guards against requests with a different method, target, caller or body that get
// the same fingerprint.
func TestFingerprint(t *testing.T) {
	one := poison.Fingerprint("POST", "/a", "space", []byte("body"))
	require.Equal(t, one, poison.Fingerprint("POST", "/a", "space", []byte("body")))
	for _, other := range []uint64{
		poison.Fingerprint("PUT", "/a", "space", []byte("body")),
		poison.Fingerprint("POST", "/as", "pace", []byte("body")),
		poison.Fingerprint("POST", "/a", "spaceb", []byte("ody")),
		poison.Fingerprint("POST", "/a", "space", nil),
	} {
		require.NotEqual(t, one, other)
	}
}

// Guards against blaming a sound part a second time, alone, for crashes that a quarantine of
// it together with the bad part explains.
func TestCompanionIsNotBlamedForExplainedCrashes(t *testing.T) {
	cluster := newCluster(t, 2)
	cluster.crash(map[int][]uint64{0: {7, badPart, soundPart}, 1: {8, soundPart}})
	cluster.crash(map[int][]uint64{0: {9, badPart, soundPart}})
	cluster.crash(map[int][]uint64{0: {10, badPart, soundPart}})
	require.True(t, cluster.refuses(11, badPart, soundPart))
	require.False(t, cluster.refuses(12, soundPart))
}

// Guards against a decision between two parts by a crash of which only one host has reported its
// requests.
func TestUnsettledCrashDoesNotDecideBetweenParts(t *testing.T) {
	cluster := newCluster(t, 2)
	for number := range uint64(3) {
		cluster.crash(map[int][]uint64{0: {100 + number, soundPart}, 1: {200 + number, badPart}})
	}
	cluster.crash(map[int][]uint64{0: {103, soundPart}, 1: {203, badPart}})
	require.False(t, cluster.refuses(104, soundPart))
}

// Guards against blaming a sound part of a quarantine by a crash of which only one host has reported
// its requests.
func TestUnsettledCrashDoesNotBlameACompanion(t *testing.T) {
	cluster := newCluster(t, 2)
	for number := range uint64(3) {
		cluster.crash(map[int][]uint64{0: {100 + number, badPart, soundPart}, 1: {200 + number, soundPart}})
	}
	require.True(t, cluster.refuses(110, badPart, soundPart))
	cluster.crash(map[int][]uint64{0: {103, soundPart}, 1: {203, badPart}})
	require.False(t, cluster.refuses(104, soundPart))
}
