package e2e_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// stopReadTime is how soon before its connection is closed a request may be written without being read.
const stopReadTime = 300 * time.Millisecond

// stopTally counts what callers got in TestPlannedStopsCutNothing.
type stopTally struct {
	mutex                        sync.Mutex
	whole, late, unread, refused int
	violations                   []string
	stopped                      time.Time
}

// TestPlannedStopsCutNothing guards against requests that hosts cut off while two of them are stopped, for
// callers that use the leaving hosts until they are gone, also on kept connections and with bodies that
// come slowly.
func TestPlannedStopsCutNothing(t *testing.T) {
	fleet := newFleet(t, 4, 4)
	tally := &stopTally{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	for caller := range 24 {
		group.Go(func() { tally.runCaller(ctx, t, fleet, caller) })
	}
	eventually(t, "traffic flows", func() bool { tally.mutex.Lock(); defer tally.mutex.Unlock(); return tally.whole > 40 })
	tally.mutex.Lock()
	tally.stopped = time.Now()
	tally.mutex.Unlock()
	for index := range 2 {
		fleet.hosts[index].signal(t, syscall.SIGTERM)
		time.Sleep(150 * time.Millisecond)
		fleet.hosts[index].signal(t, syscall.SIGHUP)
		time.Sleep(150 * time.Millisecond)
	}
	for index := range 2 {
		assert.Equal(t, 0, fleet.hosts[index].exited(t))
	}
	time.Sleep(500 * time.Millisecond)
	cancel()
	group.Wait()
	t.Logf("%d whole, %d of them sent after the first signal, %d refused, %d not read", tally.whole, tally.late, tally.refused, tally.unread)
	assert.Empty(t, tally.violations)
	assert.Greater(t, tally.late, 50)
}

// runCaller sends requests to one host until it is gone or the context is canceled.
func (tally *stopTally) runCaller(ctx context.Context, t *testing.T, fleet *fleet, caller int) {
	random := rand.New(rand.NewPCG(uint64(caller), 9))
	address := fleet.settings[caller%4].Host.EntryAddress
	var conn net.Conn
	var reader *bufio.Reader
	for number := 0; ctx.Err() == nil; number++ {
		if conn == nil {
			dialed, err := net.DialTimeout("tcp4", address, time.Second)
			if err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			conn, reader = dialed, bufio.NewReader(dialed)
		}
		body, want := chat(t, fmt.Sprintf("caller %d number %d", caller, number), 4+random.IntN(40))
		head := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", callerKey, len(body))
		if random.IntN(3) == 0 {
			_, _ = io.WriteString(conn, head)
			time.Sleep(time.Duration(random.IntN(800)) * time.Millisecond)
			head = ""
		}
		_, writeErr := io.WriteString(conn, head+string(body))
		goesOn := tally.read(conn, reader, caller, want, writeErr)
		if !goesOn || random.IntN(3) == 0 {
			_ = conn.Close()
			conn = nil
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// read reads an answer and judges it. It reports whether the connection may be used again.
func (tally *stopTally) read(conn net.Conn, reader *bufio.Reader, caller int, want string, writeErr error) bool {
	written := time.Now()
	_ = conn.SetReadDeadline(written.Add(60 * time.Second))
	response, err := http.ReadResponse(reader, nil)
	var content []byte
	status := 0
	if err == nil {
		status = response.StatusCode
		content, err = io.ReadAll(response.Body)
	}
	text, whole := streamed(string(content))
	tally.mutex.Lock()
	defer tally.mutex.Unlock()
	switch {
	case err == nil && status == http.StatusOK && whole && text == want:
		tally.whole++
		if !tally.stopped.IsZero() && written.After(tally.stopped) {
			tally.late++
		}
	case err == nil && status == http.StatusServiceUnavailable:
		tally.refused++
	case status == 0 && caller%4 < 2 && (writeErr != nil || time.Since(written) < stopReadTime) && !tally.stopped.IsZero():
		tally.unread++
	default:
		tally.violations = append(tally.violations, fmt.Sprintf("caller %d of host %d: status %d, error %v, write %v, after %v, whole %v, %q in place of %q", caller, caller%4, status, err, writeErr,
			time.Since(written), whole, strings.TrimSpace(tail(string(content), 2)), want))
	}
	return err == nil && !response.Close
}
