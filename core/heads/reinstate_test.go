package heads_test

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosegw/core/heads"
	"primrosegw/standin/kv"
)

// promote brings a document through its trial into production.
func promote(t *testing.T, client *heads.Client, document heads.Document) heads.Heads {
	t.Helper()
	_, err := client.Trial(t.Context(), document, "ana", "test")
	require.NoError(t, err)
	verdict := heads.Verdict{Digest: document.Digest, Checks: []heads.Check{{Name: "valid", Passed: true}}}
	_, err = client.Verdict(t.Context(), verdict, "ana", "test")
	require.NoError(t, err)
	result, err := client.Promote(t.Context(), document.Digest, "ana", "test")
	require.NoError(t, err)
	return result.Heads.HostView()
}

func newKVClient(t *testing.T, service *kv.Service) *heads.Client {
	t.Helper()
	client, err := heads.New(heads.Options{Store: service, Environment: environment, Host: "host", Random: rand.New(rand.NewPCG(1, 2))})
	require.NoError(t, err)
	return client
}

// Guards against a promotion and a recall that are lost with the store's latest writes.
func TestLostGenerationIsWrittenAgain(t *testing.T) {
	subjects := documents()
	service := kv.New(kv.Options{})
	client := newKVClient(t, service)
	promote(t, client, subjects[0])
	copied := service.Copy()
	promote(t, client, subjects[1])
	result, err := client.Recall(t.Context(), subjects[0].Lot, "ana", "faulty")
	require.NoError(t, err)
	applied := result.Heads.HostView()
	service.Restore(copied)
	written, err := client.Reinstate(t.Context(), applied, subjects[1].Data)
	require.NoError(t, err)
	require.True(t, written)
	stored, _, err := client.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, applied.Generation, stored.Generation)
	require.Equal(t, subjects[1].Digest, stored.Production.Digest)
	require.Equal(t, applied.RecalledLots, stored.RecalledLots)
	require.Len(t, stored.Accepted, 1, "the recalled document is gone")
	data, err := client.Document(t.Context(), subjects[1].Digest)
	require.NoError(t, err)
	require.Equal(t, subjects[1].Data, data)
	written, err = client.Reinstate(t.Context(), applied, subjects[1].Data)
	require.NoError(t, err)
	require.False(t, written, "nothing is missing")
}

// Guards against a promotion that hosts take for known, because its generation was given out
// before the store was restored.
func TestGenerationThatWasGivenOutTwiceIsRaised(t *testing.T) {
	subjects := documents()
	service := kv.New(kv.Options{})
	client := newKVClient(t, service)
	promote(t, client, subjects[0])
	copied := service.Copy()
	applied := promote(t, client, subjects[1])
	service.Restore(copied)
	again := promote(t, client, subjects[2])
	require.Equal(t, applied.Generation, again.Generation)
	written, err := client.Reinstate(t.Context(), applied, subjects[1].Data)
	require.NoError(t, err)
	require.True(t, written)
	stored, _, err := client.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, applied.Generation+1, stored.Generation)
	require.Equal(t, subjects[2].Digest, stored.Production.Digest)
}
