package e2e_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// breaker stands before an engine. It breaks answers off after some events, and answers half of the
// calls that go on with one with an error in place of the rest.
type breaker struct {
	engine string
	mutex  sync.Mutex
	random *rand.Rand
	// broken counts the answers that were broken off, and errors the errors given as a rest.
	broken, errors int
}

func (breaker *breaker) draw(count int) int {
	breaker.mutex.Lock()
	defer breaker.mutex.Unlock()
	return breaker.random.IntN(count)
}

// ServeHTTP passes a call on to the engine.
func (breaker *breaker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	var call struct {
		Resume json.RawMessage `json:"resume"`
	}
	isChat := strings.HasPrefix(request.URL.Path, "/v1/") && json.Unmarshal(body, &call) == nil
	if isChat && len(call.Resume) > 0 && breaker.draw(2) == 0 {
		breaker.fail(writer)
		return
	}
	forwarded, err := http.NewRequestWithContext(request.Context(), request.Method, breaker.engine+request.RequestURI, bytes.NewReader(body))
	if err != nil {
		return
	}
	forwarded.Header = request.Header.Clone()
	response, err := http.DefaultClient.Do(forwarded)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer response.Body.Close()
	for name, values := range response.Header {
		writer.Header()[name] = values
	}
	writer.WriteHeader(response.StatusCode)
	if !isChat || response.StatusCode != http.StatusOK {
		_, _ = io.Copy(writer, response.Body)
		return
	}
	breaker.copyEvents(writer, response.Body)
}

// copyEvents copies an answer line by line, and breaks some answers off.
func (breaker *breaker) copyEvents(writer http.ResponseWriter, body io.Reader) {
	left := 4 + 2*breaker.draw(20)
	breaks := breaker.draw(5) == 0
	for lines := bufio.NewScanner(body); lines.Scan(); left-- {
		if breaks && left == 0 {
			breaker.mutex.Lock()
			breaker.broken++
			breaker.mutex.Unlock()
			_, _ = io.WriteString(writer, lines.Text()[:len(lines.Text())/2])
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(writer, "%s\n", lines.Text())
		writer.(http.Flusher).Flush()
	}
}

// fail answers with an error in one of several forms.
func (breaker *breaker) fail(writer http.ResponseWriter) {
	breaker.mutex.Lock()
	breaker.errors++
	breaker.mutex.Unlock()
	const text = `{"error":"it failed"}`
	switch breaker.draw(8) {
	case 0:
		writer.WriteHeader(http.StatusInternalServerError)
	case 1:
		writer.WriteHeader(http.StatusConflict)
	case 2:
		writer.WriteHeader(http.StatusNotFound)
	case 3:
		writer.WriteHeader(http.StatusTooManyRequests)
	case 4:
		writer.Header().Set("Location", "/elsewhere")
		writer.WriteHeader(http.StatusFound)
	case 5:
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(writer, "data: "+text+"\n\ndata: [DONE]\n\n")
		return
	case 6:
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(writer, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 21\r\n\r\n")
	}
	_, _ = io.WriteString(writer, text)
}

// TestErrorsDoNotStandInAnAnswer guards against an engine's error in the middle of an answer that had
// begun at another engine, and against an answer that ends as if it were whole.
func TestErrorsDoNotStandInAnAnswer(t *testing.T) {
	fleet := newFleet(t, 2, 4)
	var breakers []*breaker
	for index := range fleet.document.BackendServers {
		server := &fleet.document.BackendServers[index]
		added := &breaker{engine: server.Address, random: rand.New(rand.NewPCG(uint64(index), 4))}
		front := httptest.NewServer(added)
		t.Cleanup(front.Close)
		server.Address = front.URL
		breakers = append(breakers, added)
	}
	fleet.document.Lot = "lot-2"
	fleet.put(fleet.document)
	const callers, each = 8, 20
	var mutex sync.Mutex
	var group sync.WaitGroup
	whole := 0
	for caller := range callers {
		group.Go(func() {
			for number := range each {
				body, want := chat(t, fmt.Sprintf("caller %d number %d", caller, number), 30)
				answer := post(t.Context(), fleet.url(caller%2)+"/v1/chat/completions", body, nil)
				text, complete := streamed(answer.body)
				mutex.Lock()
				assert.True(t, strings.HasPrefix(want, text), "%q in place of %q", text, want)
				assert.NotContains(t, answer.body, "HTTP/1.1")
				if complete {
					assert.Equal(t, want, text, "ends as if it were whole")
					whole++
				}
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	broken, failed := 0, 0
	for _, one := range breakers {
		broken, failed = broken+one.broken, failed+one.errors
	}
	t.Logf("%d of %d answers whole, %d broken off, %d errors in place of the rest", whole, callers*each, broken, failed)
	require.Positive(t, whole)
	require.Greater(t, failed, 10)
}
