package front_test

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/budget"
	"primrosegw/core/table"
)

const (
	// shortBytes is the size up to which a response is held until it is whole.
	shortBytes = 64 << 10
	// heldBytes is what may be held of a long response while it is passed on.
	heldBytes = 16 << 10
)

func randomBody(size int) []byte {
	body := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{byte(size)}).Read(body)
	// Some responders replace these letters.
	return bytes.ReplaceAll(body, []byte("ID"), []byte("xx"))
}

// writeParts sends a response in parts, in chunks or with its length.
func writeParts(conn net.Conn, id string, chunked bool, body []byte) {
	const part = 100_000
	framing := fmt.Sprint("Content-Length: ", len(body))
	if chunked {
		framing = "Transfer-Encoding: chunked"
	}
	writeResponse(conn, http.StatusOK, id, []string{signed, framing}, "")
	for rest := body; len(rest) > 0; rest = rest[min(part, len(rest)):] {
		text := rest[:min(part, len(rest))]
		if chunked {
			text = []byte(chunk(string(text)))
		}
		if _, err := conn.Write(text); err != nil {
			return
		}
	}
	if chunked {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
}

// Guards against long responses that are refused, or changed on their way, and against slow callers
// that lose theirs.
func TestLongResponsesAreWhole(t *testing.T) {
	for _, size := range []int{shortBytes - 1, shortBytes, shortBytes + 1, 1 << 20, 8 << 20, 64 << 20} {
		for _, chunked := range []bool{false, true} {
			for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
				t.Run(fmt.Sprint(size, " chunked ", chunked, " pause ", pause), func(t *testing.T) {
					requireLongResponses(t, randomBody(size), chunked, pause)
				})
			}
		}
	}
}

// requireLongResponses requires two responses in a row on the same connections to be whole.
func requireLongResponses(t *testing.T, body []byte, chunked bool, pause time.Duration) {
	t.Helper()
	harness := newHarness(t, nil)
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		writeParts(conn, request.Header.Get("X-Id"), chunked, body)
	})
	conn := harness.dial()
	for range 2 {
		_, err := io.WriteString(conn, requestHead("/once/", "long", 10_000, 0))
		require.NoError(t, err)
		length, err := readSlowly(conn, sha256.Sum256(body), 1<<20, pause)
		require.NoError(t, err)
		if !chunked || len(body) <= shortBytes-1 {
			require.Equal(t, int64(len(body)), length)
		}
	}
	harness.requireAllGivenBack()
	require.Len(t, harness.conns, 1, "the connection to the server is used again")
}

// Guards against a caller that gets the first byte of a long response only at its end.
func TestLongResponseIsPassedOnWhileItIsRead(t *testing.T) {
	harness := newHarness(t, nil)
	body := randomBody(1 << 20)
	goOn := make(chan struct{})
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		writeResponse(conn, http.StatusOK, request.Header.Get("X-Id"), []string{signed, fmt.Sprint("Content-Length: ", len(body))}, string(body[:100_000]))
		<-goOn
		_, _ = conn.Write(body[100_000:])
	})
	conn := harness.dial()
	_, err := io.WriteString(conn, requestHead("/once/", "long", 5000, 0))
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	got := make([]byte, len(body))
	_, err = io.ReadFull(response.Body, got[:100_000])
	require.NoError(t, err)
	close(goOn)
	_, err = io.ReadFull(response.Body, got[100_000:])
	require.NoError(t, err)
	require.True(t, bytes.Equal(body, got))
}

// Guards against a host that holds long responses for callers that read slowly.
func TestSlowCallersOfLongResponsesHoldLittle(t *testing.T) {
	const callers, size = 100, 8 << 20
	harness := newHarness(t, nil)
	body := randomBody(size)
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		writeParts(conn, request.Header.Get("X-Id"), false, body)
	})
	before := heapInUse()
	errs := make(chan error, callers)
	for range callers {
		conn := harness.dial()
		// Else the system may take the whole response for the caller.
		require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
		go func() {
			_, err := io.WriteString(conn, requestHead("/once/", "slow", 10_000, 0))
			if err == nil {
				_, err = readSlowly(conn, sha256.Sum256(body), 256<<10, 100*time.Millisecond)
			}
			errs <- err
		}()
	}
	require.Eventually(t, func() bool { return harness.handler.InFlight() == callers }, 10*time.Second, time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	heap, held := heapInUse()-before, harness.budget.Used()
	t.Logf("%d callers: %d bytes of the budget, %d bytes of heap more, %d requests in flight", callers, held, heap, harness.handler.InFlight())
	require.Greater(t, harness.handler.InFlight(), callers*9/10)
	require.LessOrEqual(t, held, int64(callers*heldBytes))
	// 100 kB a caller: connections, stacks and buffers of callers, the host and the server are in this process.
	require.Less(t, heap, int64(callers*100_000+len(body)))
	for range callers {
		require.NoError(t, <-errs)
	}
	harness.requireAllGivenBack()
}

func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// readSlowly reads a response in parts with pauses, checks its status and digest, and returns the
// length that it names.
func readSlowly(conn net.Conn, want [32]byte, part int64, pause time.Duration) (int64, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	digest := sha256.New()
	for err == nil {
		_, err = io.CopyN(digest, response.Body, part)
		time.Sleep(pause)
	}
	if err != io.EOF || response.StatusCode != http.StatusOK || [32]byte(digest.Sum(nil)) != want {
		return 0, fmt.Errorf("not whole: %d %w", response.StatusCode, err)
	}
	return response.ContentLength, nil
}

// Guards against a long response that breaks off, or does not fit its framing, and looks whole to
// its caller, and against one that is tried again after its caller has got a part of it.
func TestCutLongResponsesNeverLookWhole(t *testing.T) {
	body := string(randomBody(200_000))
	const head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\n"
	length := head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	chunks := head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(body[:100_000]) + chunk(body[100_000:]) + "0\r\n\r\n"
	cuts := func(answer string) (at []int) {
		random := rand.New(rand.NewPCG(3, uint64(len(answer))))
		for range 20 {
			at = append(at, len(answer)-len(body)+random.IntN(len(body)))
		}
		return append(at, len(answer)-1, len(answer)-2, len(answer)-5, len(answer)-7, len(head)+70_000)
	}
	var answers []string
	for _, answer := range []string{length, chunks} {
		for _, at := range cuts(answer) {
			answers = append(answers, answer[:at])
		}
	}
	answers = append(
		answers, length+"x", length+length, length+strings.Repeat("x", 100_000),
		head+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)+1)+body,
		head+"Transfer-Encoding: chunked\r\n\r\n"+chunk(body)+"xyz\r\nbroken",
		head+"Transfer-Encoding: chunked\r\n\r\n"+chunk(body)+"0\r\nno trailer\r\n\r\n",
		head+"Transfer-Encoding: chunked\r\n\r\n"+strings.Replace(chunk(body), "\r\n", "\r\nmore", 1)+"0\r\n\r\n",
	)
	for _, version := range []string{"1.1", "1.0"} {
		for index, answer := range answers {
			harness := newHarness(t, nil)
			harness.addServer("a", answerAndClose(answer))
			harness.addServer("b", answerAndClose(answer))
			conn := harness.dial()
			_, err := io.WriteString(conn, strings.Replace(requestHead("/safe/", "cut", 5000, 0), "HTTP/1.1", "HTTP/"+version, 1))
			require.NoError(t, err)
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				continue
			}
			content, err := io.ReadAll(response.Body)
			runs := harness.requestsReceived()
			if response.StatusCode == http.StatusOK {
				require.Error(t, err, "HTTP/%s, answer %d of %d bytes: %d bytes look whole", version, index, len(answer), len(content))
				require.Len(t, runs, 1, "tried again after a part was sent")
			} else {
				require.Equal(t, http.StatusBadGateway, response.StatusCode)
				require.Len(t, runs, 2)
				require.Less(t, len(answer), len(head)+100+shortBytes, "a long response is passed on")
			}
			harness.requireAllGivenBack()
		}
	}
}

// Guards against a cut start of a long response that is reported though another server can serve it.
func TestCutStartOfALongResponseIsTriedAgain(t *testing.T) {
	body := randomBody(1 << 20)
	harness := newHarness(t, nil)
	respond := firstThen(
		answerAndClose("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\nContent-Length: 1048576\r\n\r\n"+string(body[:shortBytes-1])),
		func(request *http.Request, conn net.Conn) { writeParts(conn, request.Header.Get("X-Id"), false, body) },
	)
	harness.addServer("a", respond)
	harness.addServer("b", respond)
	got := harness.post("/safe/", "x")
	require.NoError(t, got.err)
	require.Equal(t, string(body), got.body)
}

// Guards against a long response that is refused because its start does not fit into memory.
func TestLongResponsePassesWhileMemoryIsShort(t *testing.T) {
	body := randomBody(1 << 20)
	for _, chunked := range []bool{false, true} {
		harness := newHarness(t, nil)
		harness.addServer("a", func(request *http.Request, conn net.Conn) {
			writeParts(conn, request.Header.Get("X-Id"), chunked, body)
		})
		other := harness.budget.Open(budget.Server("a"))
		require.NoError(t, other.Take(harnessBudget/2))
		got := harness.post("/once/", "x")
		require.NoError(t, got.err)
		require.Equal(t, string(body), got.body)
		other.Release()
		harness.requireAllGivenBack()
	}
}

// Guards against an endless body that goes on after the deadline, fills memory or looks whole: until
// then it is like any long response.
func TestEndlessBodyEndsAtTheDeadline(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\n"
	for name, test := range map[string]struct{ start, repeated string }{
		"length": {head + "Content-Length: 1000000000000\r\n\r\n", "body"},
		"chunks": {head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nbody.\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, nil)
			closed := make(chan time.Duration, 4)
			harness.addServer("a", endless(test.start, test.repeated, closed))
			conn := harness.dial()
			_, err := io.WriteString(conn, requestHead("/once/", "endless", 500, 0))
			require.NoError(t, err)
			before := allocated()
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.Error(t, err)
			require.Less(t, <-closed, 2*time.Second)
			require.Less(t, allocated()-before, uint64(maxAllocated))
			harness.requireAllGivenBack()
		})
	}
}

// Guards against a caller that stops reading a long response and so holds a connection to a server.
func TestCallerThatDoesNotReadALongResponse(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, nil)
	closed := make(chan time.Duration, 1)
	harness.addServer("a", endless("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\nContent-Length: 1000000000000\r\n\r\n", "body", closed))
	_, err := io.WriteString(harness.dial(), requestHead("/safe/", "slow", 500, 0))
	require.NoError(t, err)
	ended := <-closed
	require.Greater(t, ended, 5*time.Second)
	require.Less(t, ended, 7*time.Second)
	harness.requireAllGivenBack()
	require.Len(t, harness.requestsReceived(), 1)
	require.Zero(t, harness.fleet.SuspendedFor("a", time.Now()))
}

// Guards against a slow caller that loses, at the deadline, a response that its server has sent before.
func TestSlowCallerGetsTheRestAfterTheDeadline(t *testing.T) {
	t.Parallel()
	harness := newHarness(t, func(data *table.Data) { data.Routes[0].Timeout = 500 * time.Millisecond })
	body := randomBody(8 << 20)
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		writeParts(conn, request.Header.Get("X-Id"), false, body)
	})
	conn := harness.dial()
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(64<<10))
	_, err := io.WriteString(conn, requestHead("/once/", "slow", 500, 0))
	require.NoError(t, err)
	_, err = readSlowly(conn, sha256.Sum256(body), 256<<10, 40*time.Millisecond)
	require.NoError(t, err)
	harness.requireAllGivenBack()
}
