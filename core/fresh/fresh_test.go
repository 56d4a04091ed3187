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

// exchange is two hosts whose clocks differ.
type exchange struct {
	asker, prover   *fresh.Peers
	asked, proven   *fresh.Proof
	offset          float64
	revision, other int64
}

func newExchange() *exchange {
	exchange := &exchange{asked: fresh.New(4 * time.Second), proven: fresh.New(4 * time.Second), offset: 5000, revision: 7, other: 7}
	exchange.asker, exchange.prover = fresh.NewPeers(exchange.asked, 11), fresh.NewPeers(exchange.proven, 22)
	return exchange
}

// hello delivers a word of the asker after a delay.
func (exchange *exchange) hello(sent, delay float64) {
	word := exchange.asker.Word("prover", exchange.revision, at(sent))
	exchange.prover.Hear("asker", word, exchange.other, at(sent+delay+exchange.offset))
}

// answer delivers a word of the prover after a delay.
func (exchange *exchange) answer(sent, delay float64) {
	word := exchange.prover.Word("asker", exchange.other, at(sent+exchange.offset))
	exchange.asker.Hear("prover", word, exchange.revision, at(sent+delay))
}

// Guards against a proof that is dated later than the store was asked, whatever
// the delays of the words are: a frozen host wakes up to old datagrams.
func TestPeersProofIsNeverTooYoung(t *testing.T) {
	for _, delays := range [][2]float64{{0, 0}, {0.1, 0.1}, {3, 0}, {0, 30}, {0.5, 6}} {
		exchange := newExchange()
		exchange.hello(1, delays[0])
		const provenAt = 1.3
		exchange.proven.Confirm(at(provenAt + exchange.offset))
		exchange.answer(1.5+delays[0], delays[1])
		age, known := exchange.asked.Age(at(40))
		require.True(t, known)
		require.GreaterOrEqual(t, age, time.Duration(at(40-provenAt)), "%v", delays)
	}
}

// Guards against a proof that is worth nothing to a peer in touch.
func TestPeersProofIsUseful(t *testing.T) {
	exchange := newExchange()
	exchange.hello(1, 0.01)
	exchange.proven.Confirm(at(1.05 + exchange.offset))
	exchange.answer(1.1, 0.01)
	age, known := exchange.asked.Age(at(1.2))
	require.True(t, known)
	require.LessOrEqual(t, age, 250*time.Millisecond)
}

// Guards against a proof of another configuration, and an echo of the process
// that ran before a restart.
func TestPeersProofMustFit(t *testing.T) {
	other := newExchange()
	other.other = 8
	other.hello(1, 0)
	other.proven.Confirm(at(1 + other.offset))
	other.answer(1.1, 0)
	_, known := other.asked.Age(at(2))
	require.False(t, known)

	restarted := newExchange()
	restarted.hello(1000, 0)
	restarted.proven.Confirm(at(1000 + restarted.offset))
	restarted.asker = fresh.NewPeers(restarted.asked, 12)
	restarted.answer(1001, 0)
	_, known = restarted.asked.Age(at(2000))
	require.False(t, known)
}
