package event_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"

	"primrosegw/core/event"
)

// TestFrequentEventIsLimited guards against an event that floods the log under load,
// against a limit that suppresses other events too, and against suppressed lines that
// are not counted.
func TestFrequentEventIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger := event.New(&out, "host-1", logrus.InfoLevel, nil)
		logger.SetLineLimit(10)
		for range 25 {
			logger.Log(event.RequestSent(), logrus.Fields{})
		}
		logger.Log(event.RequestEnded(), logrus.Fields{})
		assert.Equal(t, 10, strings.Count(out.String(), "request_sent"))
		assert.Contains(t, out.String(), "request_ended")
		assert.Equal(t, map[string]int{"request_sent": 15}, logger.TakeSuppressed())
		assert.Empty(t, logger.TakeSuppressed())
		time.Sleep(time.Second)
		out.Reset()
		logger.Log(event.RequestSent(), logrus.Fields{})
		assert.Contains(t, out.String(), "request_sent")
	})
}
