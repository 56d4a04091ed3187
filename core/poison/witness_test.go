package poison_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/poison"
)

const refusedFrom = 3

func newWitness() *poison.Witness {
	return poison.NewWitness(poison.New(poison.Options{RefusedFrom: refusedFrom}))
}

// Guards against a request that crashes one engine after the other.
func TestRequestThatCrashesServersIsRefused(t *testing.T) {
	witness, now := newWitness(), time.Now()
	for crash := range refusedFrom {
		require.NotEqual(t, poison.Refuse, witness.Verdict(7), crash)
		server := string(rune('a' + crash))
		witness.Broke(server, 7, now)
		require.Equal(t, 1, witness.Down(server, now.Add(time.Second)))
	}
	require.Equal(t, poison.Refuse, witness.Verdict(7))
}

// Guards against suspects where servers only lose answers, where a server went
// down long afterwards, and where one crash is seen by many connections.
func TestLostAnswersAreNoCrashes(t *testing.T) {
	witness, now := newWitness(), time.Now()
	for range refusedFrom {
		witness.Broke("a", 7, now)
	}
	require.False(t, witness.Known())
	require.Zero(t, witness.Down("a", now.Add(time.Minute)))
	for range refusedFrom {
		witness.Broke("a", 7, now)
		witness.Down("a", now)
	}
	require.Equal(t, poison.Alone, witness.Verdict(7))
}

// Guards against a request that is refused for crashes that it only shared.
func TestRequestThatEndsWellIsCleared(t *testing.T) {
	witness, now := newWitness(), time.Now()
	for crash := range refusedFrom - 1 {
		server := string(rune('a' + crash))
		witness.Broke(server, 7, now)
		witness.Down(server, now)
	}
	witness.Ended(7, now)
	witness.Broke("z", 7, now)
	witness.Down("z", now)
	require.NotEqual(t, poison.Refuse, witness.Verdict(7))
}

// Guards against a host that runs what has crashed servers before other hosts,
// also when some of their messages are lost.
func TestCrashesAreToldToOtherHosts(t *testing.T) {
	seen, other, now := newWitness(), newWitness(), time.Now()
	for crash := range refusedFrom {
		server := string(rune('a' + crash))
		seen.Broke(server, 7, now)
		seen.Down(server, now)
		seen.Tell(now)
	}
	other.Hear(seen.Tell(now.Add(time.Second)))
	require.Equal(t, poison.Refuse, other.Verdict(7))
	require.Empty(t, seen.Tell(now.Add(time.Minute)))
}

// Guards against requests of different callers or with different bodies that are
// taken for the same one.
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
