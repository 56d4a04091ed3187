package front_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/ending"
	"primrosegw/core/table"
)

// Guards against whole streams that are broken off because their server is silent for a moment when it is asked,
// while little time is left, also until their host stops, or while the copy of the registrations is late.
func TestSilenceAfterTheEndBreaksNoStream(t *testing.T) {
	for question, answer := range map[string]responder{"/report": respondWith(200, "1"), "/health": respondWith(200, "", "X-Instance: a")} {
		for name, test := range map[string]struct {
			timeout, lag, exit time.Duration
		}{
			"little time": {timeout: 1300 * time.Millisecond}, "late copy": {timeout: 5 * time.Second, lag: time.Minute},
			"both": {timeout: 900 * time.Millisecond, lag: time.Minute}, "host stops": {timeout: 5 * time.Second, exit: 700 * time.Millisecond},
			"host stops soon": {timeout: 5 * time.Second, exit: 300 * time.Millisecond},
		} {
			t.Run(question+" "+name, func(t *testing.T) {
				t.Parallel()
				harness := newHarness(t, withReports)
				harness.copyLag.Store(int64(test.lag))
				began := time.Now()
				harness.addServer("a", harness.withQuestion(question, func(request *http.Request, conn net.Conn) {
					time.Sleep(time.Until(began.Add(silentAfterEnd)))
					answer(request, conn)
				}, func(request *http.Request, conn net.Conn) {
					if test.exit > 0 {
						harness.handler.Drain(time.Now().Add(test.exit))
					}
					unframed(eventStream, events(1, 3))(request, conn)
				}))
				harness.startedAt("a", 1)
				got := harness.post("/stream/", "x", "X-Timeout-Ms", fmt.Sprint(test.timeout.Milliseconds()))
				require.NoError(t, got.err, harness.log.String())
				require.Equal(t, http.StatusOK, got.status)
				require.Equal(t, events(1, 3), got.body)
			})
		}
	}
}

// Guards against a whole stream that is broken off because its server was silent when it was asked, on a connection
// that a busy host had opened late, though it answers before time is up.
func TestStreamOfASilentServerThatWasAskedLateIsWhole(t *testing.T) {
	harness := newHarness(t, withReports)
	harness.copyLag.Store(int64(time.Minute))
	var endedAt atomic.Int64
	harness.whileDialing = func() {
		if endedAt.Load() > 0 {
			time.Sleep(2 * ending.MaxConnectTime)
		}
	}
	harness.addServer("a", harness.withQuestion("/report", func(request *http.Request, conn net.Conn) {
		time.Sleep(time.Until(time.UnixMilli(endedAt.Load()).Add(silentAfterEnd)))
		respondWith(200, "1")(request, conn)
	}, func(request *http.Request, conn net.Conn) {
		endedAt.Store(time.Now().UnixMilli())
		unframed(eventStream, events(1, 3))(request, conn)
	}))
	harness.startedAt("a", 1)
	got := harness.post("/resume/", "x")
	require.NoError(t, got.err, harness.log.String())
	require.Equal(t, events(1, 3), got.body)
}

// Guards against a cut stream that looks complete because its process answers nothing while it ends.
func TestStreamOfASilentProcessThatEndsIsNotPassedOn(t *testing.T) {
	for name, change := range map[string]func(*table.Data){"report": withReports, "health": nil} {
		for _, after := range []time.Duration{100 * time.Millisecond, 600 * time.Millisecond} {
			t.Run(fmt.Sprint(name, " after ", after), func(t *testing.T) {
				t.Parallel()
				harness := newHarness(t, change)
				harness.copyLag.Store(0)
				harness.scriptsHealth = true
				harness.addStoppableServer("a", func(request *http.Request, conn net.Conn, stop func()) {
					if request.Method != http.MethodPost {
						time.Sleep(silentAfterEnd)
						return
					}
					respondUntilEnd(200, events(1, 3), eventStream)(request, conn)
					time.Sleep(after)
					stop()
					harness.closeConns("a")
				})
				harness.startedAt("a", 1)
				require.Error(t, harness.post("/stream/", "x").err, harness.log.String())
			})
		}
	}
}
