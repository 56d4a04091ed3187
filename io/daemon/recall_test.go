package daemon_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/io/admin"
	"primrosegw/io/demo"
)

// TestRecallOfTheOnlyLot guards against an environment that nobody can change
// any more: a recall of the only accepted lot leaves no document, and with it no
// operator but those of the settings; and against hosts that seem ready then.
func TestRecallOfTheOnlyLot(t *testing.T) {
	fleet := startFleet(t, nil)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	operator := admin.NewClient(fleet.Nodes[0].AdminURL(), demo.OperatorKey)
	_, err := operator.Recall(ctx, fleet.Document.Lot, "test")
	require.NoError(t, err)
	for _, node := range fleet.Nodes {
		settle(ctx, t, node, false)
	}
	_, err = operator.Status(ctx)
	require.NoError(t, err, "the operator of the settings")
	_, err = admin.NewClient(fleet.Nodes[0].AdminURL(), "another key").Status(ctx)
	require.Error(t, err)

	document := fleet.Document
	document.Lot = "another-lot"
	data, err := demo.Encode(document)
	require.NoError(t, err)
	_, err = fleet.Put(ctx, data)
	require.NoError(t, err)
	for _, node := range fleet.Nodes {
		settle(ctx, t, node, true)
	}
	answer := call(t, fleet.Nodes[0], 1, 5)
	await(t, answer.ended, "an answer")
	assert.True(t, answer.done)
	assert.Equal(t, answer.want, answer.text, answer.failed)
}

// settle waits until a host takes work, or none.
func settle(ctx context.Context, t *testing.T, node *demo.Node, ready bool) {
	t.Helper()
	for node.Daemon.Ready() != ready {
		select {
		case <-ctx.Done():
			t.Fatalf("%s: ready is not %v", node.Daemon.Host().Name, ready)
		case <-time.After(10 * time.Millisecond):
		}
	}
}
