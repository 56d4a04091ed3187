package poison_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/poison"
)

const crashLimit = 3

func newDetector() *poison.CrashDetector {
	return poison.NewCrashDetector(poison.New(poison.Options{CrashLimit: crashLimit}))
}

// Guards against a request that crashes one engine after another.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	detector, now := newDetector(), time.Now()
	for crash := range crashLimit {
		require.NotEqual(t, poison.Refused, detector.Verdict(7), crash)
		server := string(rune('a' + crash))
		detector.ObserveBrokenResponse(server, 7, now)
		require.Equal(t, 1, detector.ObserveConnectionFailure(server, now.Add(time.Second)))
	}
	require.Equal(t, poison.Refused, detector.Verdict(7))
}

// Guards against false suspects: when a server only loses responses, when it goes
// down long after a broken response, and when several connections observe the same
// crash.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	detector, now := newDetector(), time.Now()
	for range crashLimit {
		detector.ObserveBrokenResponse("a", 7, now)
	}
	require.False(t, detector.HasSuspects())
	require.Zero(t, detector.ObserveConnectionFailure("a", now.Add(time.Minute)))
	for range crashLimit {
		detector.ObserveBrokenResponse("a", 7, now)
		detector.ObserveConnectionFailure("a", now)
	}
	require.Equal(t, poison.Exclusive, detector.Verdict(7))
}

// Guards against a request that is refused for crashes that another request caused,
// although it completed on another server in between.
func TestRequestThatEndsWellIsCleared(t *testing.T) {
	detector, now := newDetector(), time.Now()
	for crash := range crashLimit - 1 {
		server := string(rune('a' + crash))
		detector.ObserveBrokenResponse(server, 7, now)
		detector.ObserveConnectionFailure(server, now)
	}
	detector.ObserveCompletion(7, now)
	detector.ObserveBrokenResponse("z", 7, now)
	detector.ObserveConnectionFailure("z", now)
	require.NotEqual(t, poison.Refused, detector.Verdict(7))
}

// Guards against a host that runs a request that has crashed the servers of other
// hosts, also when some of the update messages are lost.
func TestCrashesAreToldToOtherHosts(t *testing.T) {
	local, other, now := newDetector(), newDetector(), time.Now()
	for crash := range crashLimit {
		server := string(rune('a' + crash))
		local.ObserveBrokenResponse(server, 7, now)
		local.ObserveConnectionFailure(server, now)
		local.PendingUpdates(now)
	}
	other.ApplyUpdates(local.PendingUpdates(now.Add(time.Second)))
	require.Equal(t, poison.Refused, other.Verdict(7))
	require.Empty(t, local.PendingUpdates(now.Add(time.Minute)))
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
