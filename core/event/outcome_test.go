package event_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"primrosegw/core/event"
)

// Guards against outcomes that are suppressed because starts, attempts or refusals are many.
func TestOutcomesOutlastStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		logger := event.New(&out, "host-1", logrus.InfoLevel, nil)
		logger.SetLineLimit(event.DefaultLinesPerSecond)
		// A host at 20 times the mean rate of the two-year target, with a retry for each other request.
		const requests = 1400
		for number := range requests {
			logger.Log(event.RequestSent(), logrus.Fields{"request_id": number})
			if number%2 == 0 {
				logger.Log(event.AttemptEnded(), logrus.Fields{"request_id": number})
				logger.Log(event.RequestSent(), logrus.Fields{"request_id": number})
			}
			logger.Log(event.RequestEnded(), logrus.Fields{"request_id": number})
		}
		require.Equal(t, event.DefaultLinesPerSecond, strings.Count(out.String(), "request_sent"))
		require.Equal(t, requests, strings.Count(out.String(), "request_ended"))
		require.Equal(t, map[string]int{"request_sent": 1500, "attempt_ended": 100}, logger.TakeSuppressed())
		require.Empty(t, logger.TakeSuppressedOutcomes())
	})
}

// Guards against outcomes that are missing without a line that says how many, of which event and when.
func TestSuppressedOutcomesAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out, reserved bytes.Buffer
		logger := event.New(&out, "host-1", logrus.InfoLevel, nil)
		logger.SetLineLimit(10)
		dropping := false
		logger.SetOutcomeOutput(func(onDropped func()) io.Writer {
			return writerFunc(func(line []byte) (int, error) {
				if dropping {
					onDropped()
					return len(line), nil
				}
				return reserved.Write(line)
			})
		})
		start := time.Now().UTC().Truncate(time.Second)
		for range 45 {
			logger.Log(event.RequestEnded(), logrus.Fields{})
		}
		time.Sleep(time.Second)
		dropping = true
		for range 3 {
			logger.Log(event.AnswerBroken(), logrus.Fields{})
		}
		dropping = false
		require.Equal(t, []event.SuppressedOutcomes{
			{Event: "request_ended", Cause: event.ByLimit, Second: start, Lines: 5},
			{Event: "answer_broken", Cause: event.ByOutput, Second: start.Add(time.Second), Lines: 3},
		}, logger.TakeSuppressedOutcomes())
		require.Empty(t, logger.TakeSuppressedOutcomes())
		require.Empty(t, logger.TakeSuppressed())
		require.Equal(t, 40, strings.Count(reserved.String(), "request_ended"))
		require.Empty(t, out.String(), "all of these lines use the reserve")
	})
}

type writerFunc func(line []byte) (int, error)

func (writerFunc writerFunc) Write(line []byte) (int, error) { return writerFunc(line) }

// Guards against a level that is changed for a part of the events only.
func TestSetLevelAppliesToOutcomes(t *testing.T) {
	var out, reserved bytes.Buffer
	logger := event.New(&out, "host-1", logrus.InfoLevel, nil)
	logger.SetOutcomeOutput(func(func()) io.Writer { return &reserved })
	logger.SetLevel(logrus.ErrorLevel)
	logger.Log(event.AnswerBroken(), logrus.Fields{})
	logger.SetLevel(logrus.InfoLevel)
	logger.Log(event.RequestEnded(), logrus.Fields{})
	require.NotContains(t, reserved.String(), "answer_broken")
	require.Contains(t, reserved.String(), "request_ended")
}
