package front_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/budget"
	"primrosegw/core/table"
)

// requireAllGivenBack waits until nothing is held any more: the handler may still run when the
// caller has left.
func (harness *harness) requireAllGivenBack() {
	harness.t.Helper()
	require.Eventually(harness.t, func() bool { return harness.budget.Used() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against memory that is not given back at some end of a request: success, error responses
// that are kept, broken and foreign responses, and callers that leave at any step.
func TestMemoryIsGivenBackAtEveryEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\n"
	large := strings.Repeat("x", 200_000)
	long := "X-Long: " + strings.Repeat("x", 20_000) + "\r\n"
	for name, answer := range map[string]string{
		"length":      head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(large)) + large,
		"chunked":     head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(large)) + large + "\r\n0\r\n\r\n",
		"until close": head + "Connection: close\r\n\r\n" + large,
		"long head":   head + long + "Content-Length: 4\r\n\r\nbody",
		"long":        head + fmt.Sprintf("Content-Length: %d\r\n\r\n", 5*len(large)) + strings.Repeat(large, 5),
		"long chunks": head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk(large), 5) + "0\r\n\r\n",
		"long broken": head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk(large), 5) + "x",
		"broken":      head + "Content-Length: 1000000\r\n\r\n" + large,
		"failure":     "HTTP/1.1 500 Failed\r\nX-Id: ID\r\nX-Signed: yes\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(large)) + large,
		"stream":      head + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\ndata: " + large + "\n\ndata: more\n\n",
		"cut stream":  head + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\ndata: " + large,
		"foreign":     "HTTP/1.1 200 OK\r\nX-Id: other\r\n" + long + "Content-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			if name == "until close" || name == "stream" || name == "cut stream" {
				harness := newHarness(t, nil).knowCuts()
				harness.addServer("a", answerAndClose(answer))
				got := harness.post("/safe/", large)
				require.True(t, got.err != nil || got.status == http.StatusBadGateway, "the end of a connection proves nothing where cuts are known")
				harness.requireAllGivenBack()
			}
			harness := newHarness(t, nil).trustEnds()
			harness.addServer("a", answerAndClose(answer))
			harness.addServer("b", answerAndClose(answer))
			got := harness.post("/safe/", large)
			if name == "long" || name == "long chunks" {
				require.Equal(t, strings.Repeat(large, 5), got.body)
			}
			if strings.HasPrefix(answer, head) && (name == "length" || name == "chunked" || name == "until close") {
				require.Equal(t, large, got.body)
			}
			harness.requireAllGivenBack()
			random := rand.New(rand.NewPCG(1, uint64(len(answer))))
			for range 10 {
				harness.leaveAt(large, random.IntN(len(large)+len(answer)))
			}
			harness.requireAllGivenBack()
		})
	}
}

// answerAndClose returns a responder that writes an answer and closes the connection.
func answerAndClose(answer string) responder {
	return func(request *http.Request, conn net.Conn) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(answer, "ID", request.Header.Get("X-Id")))
		_ = conn.Close()
	}
}

// leaveAt sends a request on a plain connection, and closes it after so many bytes of the body were
// sent or, beyond these, of the response read.
func (harness *harness) leaveAt(body string, at int) {
	conn, err := net.Dial("tcp4", harness.server.Listener.Addr().String())
	require.NoError(harness.t, err)
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Id: left\r\nX-Timeout-Ms: 2000\r\nContent-Length: %d\r\n\r\n%s",
		len(body), body[:min(at, len(body))])
	if at > len(body) {
		_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		_, _ = io.CopyN(io.Discard, conn, int64(at-len(body)))
	}
}

// Guards against a request that is refused for lack of memory after a server has it, without the
// time after which the caller may retry, or for longer than the memory is short.
func TestRequestThatDoesNotFitIsNotRun(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		harness := newHarness(t, func(data *table.Data) { data.Limits.BodyBytes = 4 << 20 })
		var runs atomic.Int32
		harness.addServer("a", func(request *http.Request, conn net.Conn) {
			runs.Add(1)
			respondWith(http.StatusOK, "fine", signed)(request, conn)
		})
		other := harness.budget.Open(budget.Workspace(""))
		require.NoError(t, other.Take(harnessBudget/3*2-100_000))
		body := io.Reader(strings.NewReader(strings.Repeat("x", 3_000_000)))
		if chunked {
			body = io.MultiReader(body)
		}
		request, err := http.NewRequest(http.MethodPost, harness.server.URL+"/once/x", body)
		require.NoError(t, err)
		request.Host = "h.example"
		request.Header.Set("X-Id", "large")
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, string(text))
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		require.Contains(t, string(text), `"memory_short"`)
		require.Contains(t, string(text), `"unsent"`)
		require.Zero(t, runs.Load())
		require.Equal(t, http.StatusOK, harness.post("/once/", "small").status)
		other.Release()
		require.Equal(t, http.StatusOK, harness.post("/once/", strings.Repeat("x", 3_000_000)).status)
		harness.requireAllGivenBack()
	}
}

// Guards against a response that is refused for lack of memory and then reported as not run.
func TestResponseThatDoesNotFitMayHaveRun(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", answerAndClose("HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\nConnection: close\r\n\r\n"+strings.Repeat("x", 900_000)))
	other := harness.budget.Open(budget.Server("a"))
	require.NoError(t, other.Take(harnessBudget/2-50_000))
	require.Equal(t, http.StatusBadGateway, harness.post("/once/", "body").status)
	require.Equal(t, map[budget.Kind]int{budget.ServerShare: 1}, harness.budget.TakeRefused())
	other.Release()
	harness.requireAllGivenBack()
}

// Guards against a server that sends bytes without end and goes on to get as many requests as the
// other two.
func TestServerWithoutEndGetsNothingForAWhile(t *testing.T) {
	for name, start := range map[string]string{
		"head":  "HTTP/1.1 200 ",
		"body":  "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\nConnection: close\r\n\r\n",
		"event": "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Signed: yes\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\ndata: ",
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, nil)
			closed := make(chan time.Duration, 1000)
			harness.addServer("faulty", endless(start, "OK", closed))
			harness.addServer("b", respondWith(http.StatusOK, "fine", signed))
			harness.addServer("c", respondWith(http.StatusOK, "fine", signed))
			const requests, callers = 400, 4
			var served atomic.Int32
			var group sync.WaitGroup
			for range callers {
				group.Go(func() {
					for range requests / callers {
						if got := harness.post("/safe/", "body"); got.status == http.StatusOK && got.body == "fine" {
							served.Add(1)
						}
					}
				})
			}
			group.Wait()
			t.Logf("%d of %d served, %d sent to the faulty server", served.Load(), requests, len(closed))
			require.Less(t, len(closed), requests/10)
			require.Greater(t, int(served.Load()), requests*9/10)
			harness.requireAllGivenBack()
		})
	}
}

// Guards against a large body that is changed on its way in segments.
func TestLargeBodiesAreWhole(t *testing.T) {
	harness := newHarness(t, nil)
	random := rand.NewChaCha8([32]byte{1})
	var got []byte
	var answer []byte
	harness.addServer("a", func(request *http.Request, conn net.Conn) {
		got, _ = io.ReadAll(request.Body)
		writeResponse(conn, http.StatusOK, request.Header.Get("X-Id"), []string{signed, fmt.Sprint("Content-Length: ", len(answer))}, string(answer))
	})
	for _, size := range []int{0, 1, 4095, 4096, 4097, 32 << 10, 32<<10 + 1, 1<<20 - 1, 1 << 20} {
		answer = make([]byte, size)
		_, _ = random.Read(answer)
		sent := bytes.Clone(answer)
		response := harness.post("/once/", string(sent))
		require.Equal(t, http.StatusOK, response.status)
		require.True(t, bytes.Equal(sent, got), size)
		require.Equal(t, string(answer), response.body, size)
	}
	harness.requireAllGivenBack()
}
