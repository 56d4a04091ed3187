package reach_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"primrosegw/core/reach"
)

// Guards against a silence of all servers that is reported like a cut that another host has shown.
func TestEvidenceTellsACutFromSilence(t *testing.T) {
	paths := reach.New()
	require.Equal(t, reach.Evidence{TunnelAgeMs: -1, RefutedAgeMs: -1, ByteAgeMs: -1}, paths.EvidenceOf("a", at(0)))
	paths.RecordByte("c", at(10))
	paths.RecordMute("a", false, at(250), at(400))
	require.True(t, paths.RecordMute("b", false, at(300), at(450)).CutOff)
	paths.RecordRefuted("a", at(700))
	require.Equal(t, reach.Evidence{TunnelAgeMs: -1, RefutedAgeMs: 50, ByteAgeMs: 740}, paths.EvidenceOf("a", at(750)), "only silence")
	paths.RecordTunnel(at(800))
	require.Equal(t, reach.Evidence{IsReachedElsewhere: true, TunnelAgeMs: 100, RefutedAgeMs: 200, ByteAgeMs: 890}, paths.EvidenceOf("a", at(900)))
	paths.RecordByte("b", at(950))
	require.False(t, paths.EvidenceOf("a", at(1000)).IsReachedElsewhere, "the evidence is older than the byte")
	paths.RecordDown("d", at(1100))
	require.True(t, paths.EvidenceOf("d", at(1100)).IsReachedElsewhere)
	require.False(t, paths.EvidenceOf("b", at(1100)).IsReachedElsewhere)
}
