package fresh_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fresh"
)

func at(seconds float64) fresh.Moment { return fresh.Moment(seconds * float64(time.Second)) }

// Guards against a host that trusts keys before it has heard from the store, or
// for longer than a key that was taken away may work.
func TestProofLapses(t *testing.T) {
	proof := fresh.New(4 * time.Second)
	require.False(t, proof.Holds(at(1)))
	proof.Confirm(at(10))
	require.True(t, proof.Holds(at(13.9)))
	require.False(t, proof.Holds(at(14)))
}

// Guards against an answer that is late and takes the proof back to its older
// moment.
func TestLateConfirmationDoesNotShorten(t *testing.T) {
	proof := fresh.New(4 * time.Second)
	proof.Confirm(at(10))
	proof.Confirm(at(8))
	age, known := proof.Age(at(11))
	require.True(t, known)
	require.Equal(t, time.Second, age)
}

// Guards against a deployment without the rule whose hosts stop in an outage.
func TestNoLimitNeverLapses(t *testing.T) {
	proof := fresh.New(0)
	require.False(t, proof.Holds(at(1)))
	proof.Confirm(at(1))
	require.True(t, proof.Holds(at(1e6)))
}
