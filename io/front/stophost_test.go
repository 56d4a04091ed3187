package front_test

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that its host cuts by stopping, and that looks whole to its caller.
func TestStreamCutByAStoppingHostLooksBroken(t *testing.T) {
	for name, kind := range unframedCallers {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, withReports)
			harness.trusted["engines"] = kind.trusted
			ended := make(chan struct{})
			defer close(ended)
			harness.addServer("a", reporting(1, beginStream(kind.trusted, ended)))
			harness.startedAt("a", 1)
			caller := harness.call("/stream/", kind.version, 5000)
			head := make([]byte, 1)
			_, err := caller.Read(head)
			require.NoError(t, err)
			// A host that is killed, or has no more time, ends its connections without a last word.
			_ = harness.server.Config.Close()
			content, err := io.ReadAll(caller)
			require.Error(t, err, "3 events of a stream that goes on: %s", content)
		})
	}
}
