package e2e_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/standin/engine"
)

func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// chat returns the body of a request and the answer that engines give to it.
func chat(t *testing.T, text string, tokens int) ([]byte, string) {
	t.Helper()
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": tokens, "x_output_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": text}},
	})
	require.NoError(t, err)
	answer, _, err := engine.Answer(body)
	require.NoError(t, err)
	return body, answer
}

// streamed returns the text of a streamed answer and whether it is whole.
func streamed(body string) (string, bool) {
	var text strings.Builder
	whole := false
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			whole = true
			continue
		}
		var part struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &part) != nil {
			return text.String(), false
		}
		for _, choice := range part.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String(), whole
}

// TestWholePath guards against a path that works in one process only: eight
// hosts, the key-value service and engines as separate processes.
func TestWholePath(t *testing.T) {
	fleet := newFleet(t, 8, 6)
	for index := range fleet.hosts {
		body, want := chat(t, fmt.Sprintf("question for host %d", index), 30)
		answer := post(t.Context(), fleet.url(index)+"/v1/chat/completions", body, nil)
		require.NoError(t, answer.err)
		require.Equal(t, http.StatusOK, answer.status, answer.body)
		text, whole := streamed(answer.body)
		assert.True(t, whole)
		assert.Equal(t, want, text)
	}
}

// traffic sends requests to the given hosts until it is stopped.
type traffic struct {
	sent, whole, wrong atomic.Int64
	mutex              sync.Mutex
	failures           []string
	stop               context.CancelFunc
	group              sync.WaitGroup
}

func startTraffic(t *testing.T, fleet *fleet, hosts []int, workers, tokens int) *traffic {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	traffic := &traffic{stop: cancel}
	for worker := range workers {
		traffic.group.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				host := hosts[(worker+number)%len(hosts)]
				body, want := chat(t, fmt.Sprintf("worker %d number %d", worker, number), tokens)
				traffic.sent.Add(1)
				answer := post(context.WithoutCancel(ctx), fleet.url(host)+"/v1/chat/completions", body, nil)
				traffic.judge(host, answer, want)
			}
		})
	}
	t.Cleanup(cancel)
	return traffic
}

func (traffic *traffic) judge(host int, answer reply, want string) {
	text, whole := streamed(answer.body)
	switch {
	case answer.err == nil && answer.status == http.StatusOK && whole && text == want:
		traffic.whole.Add(1)
	case !strings.HasPrefix(want, text):
		traffic.wrong.Add(1)
	default:
		traffic.mutex.Lock()
		defer traffic.mutex.Unlock()
		traffic.failures = append(traffic.failures, fmt.Sprintf("host %d: status %d, error %v, %q", host, answer.status, answer.err, tail(answer.body, 2)))
	}
}

// end stops sending and waits for the answers.
func (traffic *traffic) end() {
	traffic.stop()
	traffic.group.Wait()
}

// TestDrainCutsNothing guards against a graceful shutdown that cuts off a
// request in flight, and against a list that still names the leaving host.
func TestDrainCutsNothing(t *testing.T) {
	fleet := newFleet(t, 8, 6)
	traffic := startTraffic(t, fleet, []int{0, 1, 2, 3, 4, 5, 6, 7}, 16, 40)
	eventually(t, "traffic flows", func() bool { return traffic.whole.Load() > 20 })

	// The answer takes longer than the drain time, so it ends while the host
	// waits for its requests.
	long, want := chat(t, "a long annotation", 150)
	answered := make(chan reply, 1)
	go func() {
		answered <- post(context.Background(), fleet.url(3)+"/v1/chat/completions", long, map[string]string{"X-Request-Id": "long"})
	}()
	eventually(t, "the long request is routed", func() bool {
		return strings.Contains(fleet.hosts[3].output.String(), `"request_id":"long.`)
	})
	traffic.end()

	fleet.hosts[3].signal(t, syscall.SIGTERM)
	eventually(t, "no other host lists the leaving one", func() bool {
		for index := range fleet.hosts {
			if index != 3 && fleet.lists(index, "host-3") {
				return false
			}
		}
		return true
	})
	assert.Equal(t, 0, fleet.hosts[3].exited(t))
	answer := <-answered
	require.NoError(t, answer.err)
	text, whole := streamed(answer.body)
	assert.True(t, whole, "%d %s", answer.status, tail(answer.body, 3))
	assert.Equal(t, want, text)
	assert.Empty(t, traffic.failures)
	assert.Zero(t, traffic.wrong.Load())
}

// lists reports whether a host names another one to callers.
func (fleet *fleet) lists(index int, name string) bool {
	response, err := http.Get(fleet.url(index) + "/v1/entry")
	if err != nil {
		return true
	}
	defer response.Body.Close()
	var list struct {
		Hosts []struct {
			Name string `json:"name"`
		} `json:"hosts"`
		TTLSeconds int `json:"ttl_seconds"`
	}
	if json.NewDecoder(response.Body).Decode(&list) != nil {
		return true
	}
	for _, host := range list.Hosts {
		if host.Name == name {
			return true
		}
	}
	return false
}

// TestKilledHostLosesNoOtherAnswer guards against answers of other hosts that
// are lost, doubled or crossed when the owner of their cell is killed.
func TestKilledHostLosesNoOtherAnswer(t *testing.T) {
	fleet := newFleet(t, 8, 6)
	callers := []int{0, 1, 2, 3, 4, 5}
	traffic := startTraffic(t, fleet, callers, 16, 60)
	eventually(t, "traffic flows", func() bool { return traffic.whole.Load() > 20 })
	fleet.hosts[6].signal(t, syscall.SIGKILL)
	before := traffic.whole.Load()
	eventually(t, "traffic flows on", func() bool { return traffic.whole.Load() > before+50 })
	fleet.hosts[7].signal(t, syscall.SIGKILL)
	before = traffic.whole.Load()
	eventually(t, "traffic flows on", func() bool { return traffic.whole.Load() > before+50 })
	traffic.end()
	assert.Empty(t, traffic.failures)
	assert.Zero(t, traffic.wrong.Load())
	assert.Equal(t, traffic.sent.Load(), traffic.whole.Load())
}

// TestFrozenOwnerLosesNoAnswer guards against requests that wait forever for a
// host that is stopped, and against its late frames after it wakes.
func TestFrozenOwnerLosesNoAnswer(t *testing.T) {
	fleet := newFleet(t, 8, 6)
	traffic := startTraffic(t, fleet, []int{0, 1, 2, 3}, 12, 60)
	eventually(t, "traffic flows", func() bool { return traffic.whole.Load() > 20 })
	for _, index := range []int{4, 5} {
		fleet.hosts[index].signal(t, syscall.SIGSTOP)
	}
	before := traffic.whole.Load()
	eventually(t, "traffic flows on", func() bool { return traffic.whole.Load() > before+50 })
	for _, index := range []int{4, 5} {
		fleet.hosts[index].signal(t, syscall.SIGCONT)
	}
	before = traffic.whole.Load()
	eventually(t, "traffic flows on", func() bool { return traffic.whole.Load() > before+50 })
	traffic.end()
	assert.Empty(t, traffic.failures)
	assert.Zero(t, traffic.wrong.Load())
	assert.Equal(t, traffic.sent.Load(), traffic.whole.Load())
}

// TestOutageOfTheService guards against traffic that stops while the key-value
// service is down, and against a non-idempotent call that runs without its
// intent.
func TestOutageOfTheService(t *testing.T) {
	fleet := newFleet(t, 8, 6)
	fleet.fault("down", true)
	body, want := chat(t, "while the service is down", 20)
	answer := post(t.Context(), fleet.url(2)+"/v1/chat/completions", body, nil)
	require.NoError(t, answer.err)
	text, _ := streamed(answer.body)
	assert.Equal(t, want, text)

	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	entry := post(ctx, fleet.url(3)+"/v1/services/archive/entries", []byte(`{"n":1}`), map[string]string{"Idempotency-Key": "n1"})
	require.NoError(t, entry.err)
	assert.Contains(t, entry.body, `"run":"not_run"`)
	assert.Empty(t, fleet.runs())

	fleet.fault("down", false)
	entry = post(ctx, fleet.url(4)+"/v1/services/archive/entries", []byte(`{"n":1}`), map[string]string{"Idempotency-Key": "n1"})
	require.NoError(t, entry.err)
	assert.Equal(t, http.StatusOK, entry.status, entry.body)
	assert.Equal(t, map[string]int{"n1": 1}, fleet.runs())
}

func (fleet *fleet) fault(name string, value any) {
	fleet.t.Helper()
	data, err := json.Marshal(map[string]any{name: value})
	require.NoError(fleet.t, err)
	answer := post(fleet.t.Context(), fleet.kvURL+"/control/faults", data, nil)
	require.NoError(fleet.t, answer.err)
	require.Less(fleet.t, answer.status, 300, answer.body)
}

// runs returns how often the archive ran each call.
func (fleet *fleet) runs() map[string]int {
	fleet.t.Helper()
	response, err := http.Get(fleet.archive + "/runs")
	require.NoError(fleet.t, err)
	defer response.Body.Close()
	var runs []struct {
		Key   string `json:"key"`
		Count int    `json:"count"`
	}
	require.NoError(fleet.t, json.NewDecoder(response.Body).Decode(&runs))
	counts := make(map[string]int)
	for _, run := range runs {
		counts[run.Key] += run.Count
	}
	return counts
}

// TestEntriesRunOnce guards against archive entries that run twice when hosts
// are killed and frozen and callers send them again through other hosts.
func TestEntriesRunOnce(t *testing.T) {
	fleet := newFleet(t, 8, 4)
	const entries = 60
	var group sync.WaitGroup
	var done, notRun, unknown atomic.Int64
	states := make([]string, entries)
	for number := range entries {
		group.Go(func() {
			key := fmt.Sprintf("entry-%d", number)
			ctx, cancel := context.WithTimeout(context.Background(), deadline)
			defer cancel()
			for try := 0; ctx.Err() == nil; try++ {
				attempt, end := context.WithTimeout(ctx, 8*time.Second)
				answer := post(attempt, fleet.url((number+try)%8)+"/v1/services/archive/entries",
					fmt.Appendf(nil, `{"n":%d}`, number), map[string]string{"Idempotency-Key": key})
				end()
				switch {
				case answer.err == nil && answer.status == http.StatusOK:
					done.Add(1)
					states[number] = "done"
					return
				case strings.Contains(answer.body, `"outcome_unknown"`):
					unknown.Add(1)
					states[number] = "unknown"
					return
				case strings.Contains(answer.body, `"run":"not_run"`):
					notRun.Add(1)
				}
				time.Sleep(100 * time.Millisecond)
			}
			states[number] = "gave up"
		})
		switch number {
		case 20:
			fleet.hosts[1].signal(t, syscall.SIGKILL)
		case 30:
			fleet.hosts[2].signal(t, syscall.SIGSTOP)
			fleet.fault("lose_after", 2)
		case 50:
			fleet.hosts[2].signal(t, syscall.SIGCONT)
		}
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	runs := fleet.runs()
	for number, state := range states {
		count := runs[fmt.Sprintf("entry-%d", number)]
		assert.LessOrEqual(t, count, 1, "entry %d ran more than once", number)
		if state == "done" {
			assert.Equal(t, 1, count, "entry %d was answered and did not run", number)
		}
		assert.NotEqual(t, "gave up", state, "entry %d", number)
	}
	t.Logf("%d done, %d unknown, %d answers of not run", done.Load(), unknown.Load(), notRun.Load())
}
