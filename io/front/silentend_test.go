package front_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// silentAfterEnd is how long the server of askWhileSilent is silent, and silentRequests how many requests it gets
	// meanwhile.
	silentAfterEnd = 1800 * time.Millisecond
	silentRequests = 6
)

// Guards against whole responses of a trusted service that are lost because their server is silent for a moment
// when it is asked, or was for others.
func TestSilenceAfterTheEndLosesNoTrustedResponse(t *testing.T) {
	for question, answer := range map[string]responder{"/report": respondWith(200, "1"), "/health": respondWith(200, "", "X-Instance: a")} {
		for _, path := range []string{"/once/", "/safe/", "/stream/"} {
			t.Run(question+" "+path, func(t *testing.T) {
				t.Parallel()
				harness := askWhileSilent(t, question, answer, path)
				// On a busy machine the connection may be open too late for an ID to prove anything.
				for tries := 0; tries < 5 && strings.Contains(harness.log.String(), `"case":"connected_late"`); tries++ {
					harness = askWhileSilent(t, question, answer, path)
				}
				require.Equal(t, silentRequests, strings.Count(harness.log.String(), `"verdict":"whole"`), harness.log.String())
				require.NotContains(t, harness.log.String(), `"verdict":"unknown"`)
			})
		}
	}
}

// askWhileSilent sends requests to a server of a trusted service that answers no question for a time.
func askWhileSilent(t *testing.T, question string, answer responder, path string) *harness {
	t.Helper()
	harness := newHarness(t, withReports).trustEnds()
	harness.copyLag.Store(0)
	respond := unframed("Content-Type: text/plain", "all of it")
	if path == "/stream/" {
		respond = unframed(eventStream, events(1, 3))
	}
	began := time.Now()
	harness.addServer("a", harness.withQuestion(question, func(request *http.Request, conn net.Conn) {
		time.Sleep(time.Until(began.Add(silentAfterEnd)))
		answer(request, conn)
	}, respond))
	harness.startedAt("a", 1)
	var group sync.WaitGroup
	for number := range silentRequests {
		group.Go(func() {
			time.Sleep(time.Duration(number) * silentAfterEnd / (silentRequests - 1))
			harness.post(path, "x", "X-Id", fmt.Sprint("id-", number))
		})
	}
	group.Wait()
	return harness
}

// Guards against a part of a response that looks whole, as a process that has taken the listener over under the same
// ID answers the question in place of one that was silent and ended.
func TestLateAnswerUnderTheSameIDProvesNothingByItself(t *testing.T) {
	for _, started := range []int64{0, 1} {
		t.Run(fmt.Sprint("started ", started), func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil).trustEnds()
			harness.copyLag.Store(0)
			harness.scriptsHealth = true
			harness.addServer("a", harness.withQuestion("/health", func(request *http.Request, conn net.Conn) {
				time.Sleep(silentAfterEnd / 2)
				if started > 0 {
					harness.startedAt("a", started+1)
				}
				respondWith(200, "", "X-Instance: a")(request, conn)
			}, unframed(eventStream, events(1, 3))))
			if started > 0 {
				harness.startedAt("a", started)
			}
			require.Error(t, harness.post("/stream/", "x").err, harness.log.String())
		})
	}
}
