package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/ending"
	"primrosegw/core/table"
)

// Guards against a length or a last chunk by which a caller takes a response for whole that was passed
// on as it came, and against one that is not passed on though no cuts are known.
func TestPlainResponseIsPassedOnWhileNoCutsAreKnown(t *testing.T) {
	for name, kind := range map[string]struct {
		path, body string
		status     int
	}{
		"body": {"/once/", "all of it", 200}, "empty body": {"/once/", "", 200}, "long": {"/once/", strings.Repeat("x", 100_000), 200},
		"repeatable": {"/safe/", "all of it", 200}, "bad request": {"/once/", "no", 400}, "failure": {"/safe/", "it failed", 500},
	} {
		harness := newHarness(t, withReports)
		harness.addServer("a", reporting(1, respondUntilEnd(kind.status, kind.body, "Content-Type: text/plain")))
		harness.startedAt("a", 1)
		content, err := harness.exchangeRaw(kind.path)
		require.NoError(t, err, "%s: %s", name, harness.log.String())
		head, body, _ := strings.Cut(content, "\r\n\r\n")
		require.True(t, strings.HasPrefix(head, fmt.Sprint("HTTP/1.1 ", kind.status, " ")), "%s: %s", name, head)
		require.Equal(t, kind.body, body, name)
		require.Contains(t, head, "Connection: close", name)
		require.NotContains(t, head, "Content-Length", name)
		require.NotContains(t, head, "Transfer-Encoding", name)
		require.Regexp(t, `"case":"no_cuts".*"verdict":"passed_on"`, harness.log.String(), name)
	}
}

// Guards against a whole stream without a length or chunks that is broken for its caller, whatever its
// server says of its process, and against an end of it that says more than the host knows.
func TestUnframedStreamIsPassedOnWhileNoCutsAreKnown(t *testing.T) {
	stream := respondUntilEnd(200, events(1, 3), eventStream)
	for name, test := range map[string]struct {
		path    string
		respond responder
		reports bool
	}{
		"reports its start": {"/stream/", reporting(1, stream), true},
		"may be resumed":    {"/resume/", reporting(1, stream), true},
		"names nothing":     {"/stream/", stream, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, withReports)
			harness.addServer("a", test.respond)
			if test.reports {
				harness.startedAt("a", 1)
			}
			content, err := harness.exchangeRaw(test.path)
			require.NoError(t, err, harness.log.String())
			head, body, _ := strings.Cut(content, "\r\n\r\n")
			require.Equal(t, events(1, 3), body, harness.log.String())
			require.Contains(t, head, "Connection: close")
			require.NotContains(t, head, "Content-Length")
			require.NotContains(t, head, "Transfer-Encoding")
			require.Equal(t, 1, harness.streamsAt("a"))
		})
	}
}

// Guards against a stream that is passed on without an event: it may have been cut behind its head.
func TestUnframedStreamWithoutEventsIsNotPassedOn(t *testing.T) {
	harness := newHarness(t, withReports)
	harness.addServer("a", reporting(1, respondUntilEnd(200, "", eventStream)))
	harness.startedAt("a", 1)
	require.Equal(t, http.StatusBadGateway, harness.post("/stream/", "x").status, harness.log.String())
	require.Contains(t, harness.log.String(), `"case":"no_events"`)
}

// Guards against a stream that looks complete though its process has been replaced.
func TestUnframedStreamOfAReplacedProcessIsNotPassedOn(t *testing.T) {
	harness := newHarness(t, withReports)
	started := "1"
	harness.addServer("a", harness.withQuestion("/report", func(request *http.Request, conn net.Conn) {
		respondWith(200, started)(request, conn)
	}, func(request *http.Request, conn net.Conn) {
		started = "2"
		respondUntilEnd(200, events(1, 3), eventStream)(request, conn)
	}))
	harness.startedAt("a", 1)
	require.Error(t, harness.post("/stream/", "x").err, harness.log.String())
	require.Contains(t, harness.log.String(), `"case":"other_process"`)
}

// Guards against cut responses that are not taken for evidence, and against sound, reset and unsent ones
// that are.
func TestCutsOfResponsesAreSeen(t *testing.T) {
	cutAfter := func(text string, reset bool) responder {
		return func(request *http.Request, conn net.Conn) {
			_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", request.Header.Get("X-Id")))
			if reset {
				time.Sleep(20 * time.Millisecond)
				resetConnection(request, conn)
				return
			}
			_ = conn.Close()
		}
	}
	const head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\n" + signed + "\r\n"
	const stream = head + eventStream + "\r\n"
	for name, test := range map[string]struct {
		path, text string
		reset      bool
		evidence   string
	}{
		"within a length":              {"/once/", head + "Content-Length: 10\r\n\r\npart", false, "broken_framing"},
		"within a chunk":               {"/once/", head + "Transfer-Encoding: chunked\r\n\r\na\r\npart", false, "broken_framing"},
		"without the last chunk":       {"/once/", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false, "broken_framing"},
		"within a long body":           {"/once/", head + "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 100_000), false, "broken_framing"},
		"within the head":              {"/once/", head, false, "broken_framing"},
		"within a line of the head":    {"/once/", head + "Content-Le", false, "broken_framing"},
		"within the status line":       {"/once/", "HTTP/1.1 20", false, "broken_framing"},
		"a head that is none":          {"/once/", "no answer at all\r\n\r\n", false, ""},
		"a malformed head":             {"/once/", "HTTP/1.1 200 OK\r\nX-Id ID\r\n\r\n", false, ""},
		"reset within the head":        {"/once/", head + "Content-Le", true, ""},
		"a stream, no last chunk":      {"/stream/", stream + "Transfer-Encoding: chunked\r\n\r\n" + chunk(events(1, 2)), false, "broken_framing"},
		"an unframed stream, in event": {"/stream/", stream + "\r\n" + events(1, 2) + "id: 3\nda", false, "broken_framing"},
		"a framed stream, in event":    {"/stream/", stream + "Content-Length: 4\r\n\r\nid: ", false, ""},
		"an unframed stream":           {"/stream/", stream + "\r\n" + events(1, 2), false, ""},
		"an unframed body":             {"/once/", head + "\r\npart", false, ""},
		"before the first byte":        {"/once/", "", false, ""},
		"reset within a length":        {"/once/", head + "Content-Length: 10\r\n\r\npart", true, ""},
		"reset within a chunk":         {"/once/", head + "Transfer-Encoding: chunked\r\n\r\na\r\npart", true, ""},
		"no cut":                       {"/once/", head + "Content-Length: 4\r\n\r\npart", false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil)
			harness.addServer("a", cutAfter(test.text, test.reset))
			harness.post(test.path, "x")
			if test.evidence == "" {
				require.Equal(t, ending.Unseen, harness.cuts.Status("engines", "", true, time.Now()), harness.log.String())
				return
			}
			harness.awaitCut()
			// The cut counts before it is logged.
			isLogged := func() bool {
				return strings.Contains(harness.log.String(), `"event_name":"cut_seen","evidence":"`+test.evidence+`"`)
			}
			require.Eventually(t, isLogged, 5*time.Second, time.Millisecond, harness.log.String())
		})
	}
}

// awaitCut waits until it is known that the process which cut a response has not ended.
func (harness *harness) awaitCut() {
	harness.t.Helper()
	require.Eventually(harness.t, func() bool { return harness.cuts.Known("engines", "", true, time.Now()) }, 5*time.Second, time.Millisecond, harness.log.String())
}

// Guards against responses that ended with a crashed process and count as cut by a device: the crash of
// one server must not cost the responses of others.
func TestCrashIsNoCut(t *testing.T) {
	for name, text := range map[string]string{
		"within a length": "Content-Length: 10\r\n\r\npart", "within a chunk": "Transfer-Encoding: chunked\r\n\r\na\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil)
			harness.addStoppableServer("a", func(_ *http.Request, conn net.Conn, stop func()) {
				stop()
				harness.awaitRefusal("a")
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: 1\r\n"+text)
				_ = conn.Close()
			})
			harness.post("/once/", "x")
			require.Eventually(t, func() bool { return harness.cuts.Status("engines", "", true, time.Now()) == ending.Unseen }, time.Second, time.Millisecond)
			require.NotContains(t, harness.log.String(), "cut_seen")
		})
	}
}

// Guards against a part of a response that looks whole though its server has crashed: a server that can't be asked
// which process it is, as a busy one that has lately not answered, still shows by its listener that it has gone.
func TestResponseOfACrashedServerThatIsNotAskedIsNotWhole(t *testing.T) {
	harness := newHarness(t, func(data *table.Data) { data.Services[0].HealthPath = "" })
	harness.addStoppableServer("a", func(request *http.Request, conn net.Conn, stop func()) {
		stop()
		harness.awaitRefusal("a")
		respondUntilEnd(200, "a part")(request, conn)
	})
	require.Equal(t, http.StatusBadGateway, harness.post("/once/", "x").status, harness.log.String())
	require.Regexp(t, `"case":"refused".*"verdict":"ended"`, harness.log.String())
}

// Guards against an unframed stream that is shown to have been cut, as it goes on elsewhere, and leaves
// no evidence, and against one without a rest that does.
func TestStreamThatGoesOnShowsACut(t *testing.T) {
	for name, rest := range map[string]string{"more events": events(4, 6), "nothing more": ""} {
		harness := newHarness(t, withReports).knowCuts()
		respond := firstThen(respondUntilEnd(200, events(1, 3), eventStream), respondWithStream(true, rest))
		for _, id := range []string{"a", "b"} {
			harness.addVersion(id, "v1", reporting(1, respond))
			harness.startedAt(id, 1)
		}
		got := harness.post("/resume/", "x")
		require.Equal(t, events(1, 3)+rest, got.body, harness.log.String())
		isSeen := func() bool { return strings.Contains(harness.log.String(), `"evidence":"went_on"`) }
		if rest != "" {
			require.Eventually(t, isSeen, 5*time.Second, time.Millisecond, name)
			continue
		}
		// The stream that brings nothing more may be the one of either server.
		require.Equal(t, ending.Unseen, harness.cuts.Status("another", harness.servers["a"].FailureDomain, false, time.Now()))
		require.Equal(t, ending.Unseen, harness.cuts.Status("another", harness.servers["b"].FailureDomain, false, time.Now()))
		require.False(t, isSeen(), name)
	}
}

// Guards against a plain response that is passed on though the host has seen a cut while it asked the
// server, as a device that restarts cuts all of its connections at once.
func TestCutThatIsSeenWhileTheServerIsAskedCounts(t *testing.T) {
	harness := newHarness(t, withReports)
	harness.addServer("a", harness.withQuestion("/report", func(request *http.Request, conn net.Conn) {
		harness.knowCuts()
		respondWith(200, "1")(request, conn)
	}, respondUntilEnd(200, "a part")))
	harness.startedAt("a", 1)
	require.Equal(t, http.StatusBadGateway, harness.post("/once/", "x").status, harness.log.String())
}

// Guards against a service that never frames, shows no cuts of its own and is passed on behind a device
// that cuts another service, and against one that frames and is judged by another service's cuts.
func TestCutOfAnotherServiceCountsForOneThatNeverFrames(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		if strings.HasPrefix(request.Header.Get("X-Id"), "framed") {
			respondWith(200, "framed", signed)(request, conn)
			return
		}
		respondUntilEnd(200, "all of it")(request, conn)
	})
	harness.cuts.Record(ending.Place{Service: "another", FailureDomain: harness.servers["a"].FailureDomain}, time.Now())
	require.Equal(t, http.StatusBadGateway, harness.post("/once/", "x").status)
	require.Equal(t, http.StatusOK, harness.post("/once/", "x", "X-Id", "framed").status)
	require.Equal(t, http.StatusOK, harness.post("/once/", "x").status, harness.log.String())
	harness.knowCuts()
	require.Equal(t, http.StatusBadGateway, harness.post("/once/", "x").status, "a cut of its own")
}

// Guards against an answer to the host's own question that is cut, also within its head, and leaves no
// evidence for a service that frames nothing else.
func TestCutOfAQuestionsAnswerIsSeen(t *testing.T) {
	for name, test := range map[string]struct {
		answer string
		seen   bool
	}{
		"head": {"HTTP/1.1 200 OK\r\nContent-Le", true}, "body": {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n1", true},
		"nothing": {"", false}, "all": {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1", false},
	} {
		harness := newHarness(t, withReports)
		harness.addServer("a", harness.withQuestion("/report", func(_ *http.Request, conn net.Conn) {
			_, _ = io.WriteString(conn, test.answer)
			_ = conn.Close()
		}, respondUntilEnd(200, "all of it")))
		harness.startedAt("a", 1)
		got := harness.post("/once/", "x")
		require.Equal(t, test.seen, got.status == http.StatusBadGateway, "%s: %s", name, harness.log.String())
		isLogged := func() bool { return strings.Contains(harness.log.String(), `"evidence":"broken_report"`) }
		if test.seen {
			require.Eventually(t, isLogged, 5*time.Second, time.Millisecond, name)
			continue
		}
		require.Equal(t, ending.Unseen, harness.cuts.Status("engines", harness.servers["a"].FailureDomain, true, time.Now()), name)
		require.False(t, isLogged(), name)
	}
}

// Guards against a cut that costs a service its unframed responses though framed ones end whole since, among them
// streams that began while the cut counted.
func TestCutIsClearedByFramedResponses(t *testing.T) {
	harness := newHarness(t, withReports)
	began, isCleared := make(chan struct{}), make(chan struct{})
	harness.addServer("a", reporting(1, func(request *http.Request, conn net.Conn) {
		id := request.Header.Get("X-Id")
		if strings.HasPrefix(id, "framed") {
			respondWith(200, "framed", signed)(request, conn)
			return
		}
		select {
		case <-began:
			t.Errorf("a second stream is asked for: %s %s %v from %v\n%s", request.Method, request.RequestURI, request.Header, conn.RemoteAddr(), harness.log.String())
			return
		default:
		}
		writeResponse(conn, 200, id, []string{signed, eventStream}, events(1, 2))
		close(began)
		<-isCleared
		_, _ = io.WriteString(conn, events(3, 3))
		_ = conn.Close()
	}))
	harness.startedAt("a", 1)
	harness.cuts.Record(ending.Place{Service: "engines", FailureDomain: "elsewhere", Plain: true}, time.Now())
	var content string
	var err error
	done := make(chan struct{})
	go func() {
		defer close(done)
		content, err = harness.exchangeRaw("/stream/")
	}()
	<-began
	for number := range ending.ClearingResponses {
		require.True(t, harness.cuts.Known("engines", "", true, time.Now()))
		require.Equal(t, http.StatusOK, harness.post("/once/", "x", "X-Id", fmt.Sprint("framed-", number)).status)
	}
	require.Contains(t, harness.log.String(), `"event_name":"cut_cleared"`)
	close(isCleared)
	<-done
	require.NoError(t, err, harness.log.String())
	_, body, _ := strings.Cut(content, "\r\n\r\n")
	require.Equal(t, events(1, 3), body, harness.log.String())
}
