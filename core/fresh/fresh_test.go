package fresh_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fresh"
)

func at(seconds float64) fresh.Instant { return fresh.Instant(seconds * float64(time.Second)) }

// Keys must not be trusted before the first confirmation, nor for longer than a
// revoked key may work.
func TestProofLapses(t *testing.T) {
	proof := fresh.New(4 * time.Second)
	require.False(t, proof.Valid(at(1)))
	proof.Confirm(at(10))
	require.True(t, proof.Valid(at(13.9)))
	require.False(t, proof.Valid(at(14)))
}

// A delayed confirmation must not move the proof back to an earlier instant.
func TestLateConfirmationDoesNotShorten(t *testing.T) {
	proof := fresh.New(4 * time.Second)
	proof.Confirm(at(10))
	proof.Confirm(at(8))
	age, known := proof.Age(at(11))
	require.True(t, known)
	require.Equal(t, time.Second, age)
}

// In a deployment without a maximum age, hosts must keep working in a store outage.
func TestZeroMaxAgeNeverLapses(t *testing.T) {
	proof := fresh.New(0)
	require.False(t, proof.Valid(at(1)))
	proof.Confirm(at(1))
	require.True(t, proof.Valid(at(1e6)))
}

// exchange simulates two hosts with different clocks.
type exchange struct {
	requester, prover           *fresh.Peers
	requesterProof, proverProof *fresh.Proof
	clockOffset                 float64
	version, proverVersion      int64
}

func (exchange *exchange) requesterVersion() int64 { return exchange.version }

func newExchange() *exchange {
	exchange := &exchange{requesterProof: fresh.New(4 * time.Second), proverProof: fresh.New(4 * time.Second), clockOffset: 5000, version: 7, proverVersion: 7}
	exchange.requester, exchange.prover = fresh.NewPeers(exchange.requesterProof, 11), fresh.NewPeers(exchange.proverProof, 22)
	return exchange
}

// deliverRequest delivers a message of the requester after a delay.
func (exchange *exchange) deliverRequest(sent, delay float64) {
	message := exchange.requester.Message("prover", exchange.requesterVersion, at(sent))
	exchange.prover.Receive("requester", message, exchange.proverVersion, at(sent+delay+exchange.clockOffset))
}

// deliverAnswer delivers a message of the prover after a delay.
func (exchange *exchange) deliverAnswer(sent, delay float64) {
	message := exchange.prover.Message("requester", func() int64 { return exchange.proverVersion }, at(sent+exchange.clockOffset))
	exchange.requester.Receive("prover", message, exchange.version, at(sent+delay))
}

// A received proof must never be dated later than the query to the store, whatever
// the delays of the messages: a host that resumes after a freeze reads old datagrams.
func TestPeersProofIsNeverTooYoung(t *testing.T) {
	for _, delays := range [][2]float64{{0, 0}, {0.1, 0.1}, {3, 0}, {0, 30}, {0.5, 6}} {
		exchange := newExchange()
		exchange.deliverRequest(1, delays[0])
		const provenAt = 1.3
		exchange.proverProof.Confirm(at(provenAt + exchange.clockOffset))
		exchange.deliverAnswer(1.5+delays[0], delays[1])
		age, known := exchange.requesterProof.Age(at(40))
		require.True(t, known)
		require.GreaterOrEqual(t, age, time.Duration(at(40-provenAt)), "%v", delays)
	}
}

// Between hosts that exchange messages promptly, a received proof must be recent.
func TestPeerProofIsRecent(t *testing.T) {
	exchange := newExchange()
	exchange.deliverRequest(1, 0.01)
	exchange.proverProof.Confirm(at(1.05 + exchange.clockOffset))
	exchange.deliverAnswer(1.1, 0.01)
	age, known := exchange.requesterProof.Age(at(1.2))
	require.True(t, known)
	require.LessOrEqual(t, age, 250*time.Millisecond)
}

// A proof for another revision, or one that echoes the process before a restart,
// must be ignored.
func TestPeerProofMustMatchVersionAndIncarnation(t *testing.T) {
	mismatched := newExchange()
	mismatched.proverVersion = 8
	mismatched.deliverRequest(1, 0)
	mismatched.proverProof.Confirm(at(1 + mismatched.clockOffset))
	mismatched.deliverAnswer(1.1, 0)
	_, known := mismatched.requesterProof.Age(at(2))
	require.False(t, known)

	restarted := newExchange()
	restarted.deliverRequest(1000, 0)
	restarted.proverProof.Confirm(at(1000 + restarted.clockOffset))
	restarted.requester = fresh.NewPeers(restarted.requesterProof, 12)
	restarted.deliverAnswer(1001, 0)
	_, known = restarted.requesterProof.Age(at(2000))
	require.False(t, known)
}

// Guards against a proof of a newer version that is sent as one of the version before, because the
// host was paused between reading the two.
func TestProofIsNotOlderThanItsVersion(t *testing.T) {
	proof := fresh.New(4 * time.Second)
	proof.Confirm(at(10))
	message := fresh.NewPeers(proof, 1).Message("other", func() int64 {
		// The new version is read, and with it the proof.
		proof.Confirm(at(12))
		return 8
	}, at(12))
	require.Equal(t, int64(8), message.Version)
	require.Equal(t, 2*time.Second, message.Age)
}

// Guards against an answer that is taken for one to a later message, and against a host without a
// valid proof that is taken for one in touch with the store.
func TestAnswersAreOfTheirMessage(t *testing.T) {
	exchange, hosts := newExchange(), map[string]bool{"prover": true, "silent": true}
	answers := func(since float64) []any {
		answered, inTouch := exchange.requester.AnsweredSince(at(since), hosts)
		return []any{answered, inTouch}
	}
	exchange.deliverRequest(1, 0.01)
	exchange.deliverAnswer(1.1, 0.01)
	require.Equal(t, []any{1, false}, answers(1))
	require.Equal(t, []any{0, false}, answers(1.05))
	exchange.proverProof.Confirm(at(1.2 + exchange.clockOffset))
	exchange.deliverRequest(2, 0.01)
	exchange.deliverAnswer(2.1, 0.01)
	require.Equal(t, []any{1, true}, answers(2))
	exchange.deliverRequest(6, 0.01)
	exchange.deliverAnswer(6.1, 0.01)
	require.Equal(t, []any{1, false}, answers(6))
}
