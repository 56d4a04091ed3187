package front_test

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that its host cuts by stopping, and that looks whole to its caller.
func TestStreamCutByAStoppingHostLooksBroken(t *testing.T) {
	eachUnframedCaller(t, func(t *testing.T, harness *harness, caller plainCaller) {
		head := make([]byte, 1)
		_, err := caller.Read(head)
		require.NoError(t, err)
		// A host that is killed, or has no more time, ends its connections without a last word.
		_ = harness.server.Config.Close()
		content, err := io.ReadAll(caller)
		require.Error(t, err, "3 events of a stream that goes on: %s", content)
	})
}
