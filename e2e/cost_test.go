package e2e_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestDataCost measures what a request and a token cost an entry host: two
// loads with different lengths give both slopes. The calls enter at host 0 and
// are served by the cells of host 1 and host 2, so that the figure of host 0 is
// the entry role's and that of the others is the cell owner's. It prints
// figures and checks only that every answer arrived.
func TestDataCost(t *testing.T) {
	fleet := newFleet(t, 4, 8, "--step", "4ms")
	idle := fleet.cpu(t, 4*time.Second, 0, 0)
	short := fleet.cpu(t, 6*time.Second, 50, 10)
	long := fleet.cpu(t, 6*time.Second, 50, 60)
	for index := range 4 {
		perToken := (long[index].busy - short[index].busy) / (long[index].tokens - short[index].tokens)
		perRequest := (short[index].busy - idle[index].busy - perToken*short[index].tokens) / short[index].requests
		t.Logf("measure=data_cost role=host-%d idle=%.2f%% per_request=%.0fus per_token=%.1fus memory=%dkB",
			index, 100*idle[index].busy/idle[index].elapsed, 1e6*perRequest, 1e6*perToken, long[index].memory)
	}
}

// TestIdleControl measures what hosts send each other with no callers, over
// real links: bytes of QUIC packets and 28 bytes of UDP and IP headers each. The
// bound is the target's budget of 13 KB/s.
func TestIdleControl(t *testing.T) {
	const bound, headerBytes, seconds = 13_000, 28, 10
	fleet := newFleet(t, 8, 4)
	// The connections are set up in the first seconds.
	time.Sleep(5 * time.Second)
	before := make([]map[string]float64, len(fleet.hosts))
	for index := range fleet.hosts {
		before[index] = fleet.metrics(t, index)
	}
	time.Sleep(seconds * time.Second)
	for index := range fleet.hosts {
		after := fleet.metrics(t, index)
		per := func(name string) float64 {
			key := "primrosegw_" + name + `{direction="sent"}`
			return (after[key] - before[index][key]) / seconds
		}
		sent := per("link_bytes") + headerBytes*per("link_packets")
		t.Logf("measure=idle_control role=host-%d hosts=8 value=%.0f unit=B/s bound=%d messages=%.1f packets=%.1f connections=%.0f", index,
			sent, bound, per("link_messages"), per("link_packets"), after[`primrosegw_link_connections{state="open"}`])
		require.LessOrEqual(t, sent, float64(bound))
	}
}

// metrics reads the metrics of a host.
func (fleet *fleet) metrics(t *testing.T, index int) map[string]float64 {
	t.Helper()
	response, err := http.Get("http://" + fleet.settings[index].Host.AdminAddress + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	values := make(map[string]float64)
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, text, found := strings.Cut(scanner.Text(), " ")
		value, err := strconv.ParseFloat(text, 64)
		if found && err == nil {
			values[name] = value
		}
	}
	return values
}

// usage is what a host used during one load.
type usage struct {
	busy, elapsed    float64
	requests, tokens float64
	memory           int
}

// cpu sends requests of one length at a rate to host 0 and returns what each
// host used, in seconds of processor time.
func (fleet *fleet) cpu(t *testing.T, duration time.Duration, rate, tokens int) []usage {
	t.Helper()
	before := make([]float64, len(fleet.hosts))
	for index, host := range fleet.hosts {
		before[index], _ = processTime(t, host.command.Process.Pid)
	}
	started := time.Now()
	sent := 0
	if rate == 0 {
		time.Sleep(duration)
	} else {
		sent = fleet.steady(t, duration, rate, tokens)
	}
	used := make([]usage, len(fleet.hosts))
	for index, host := range fleet.hosts {
		after, memory := processTime(t, host.command.Process.Pid)
		used[index] = usage{
			busy: after - before[index], elapsed: time.Since(started).Seconds(),
			requests: float64(sent), tokens: float64(sent * tokens), memory: memory,
		}
	}
	return used
}

// steady sends requests at a fixed rate and waits for their answers.
func (fleet *fleet) steady(t *testing.T, duration time.Duration, rate, tokens int) int {
	t.Helper()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var group sync.WaitGroup
	var mutex sync.Mutex
	var failed []string
	sent := 0
	for end := time.Now().Add(duration); time.Now().Before(end); sent++ {
		<-ticker.C
		body, want := chat(t, fmt.Sprintf("cost %d of %d tokens", sent, tokens), tokens)
		group.Go(func() {
			answer := post(context.Background(), fleet.url(0)+"/v1/chat/completions", body, nil)
			if text, whole := streamed(answer.body); !whole || text != want {
				mutex.Lock()
				defer mutex.Unlock()
				failed = append(failed, fmt.Sprintf("%d %v %s", answer.status, answer.err, tail(answer.body, 1)))
			}
		})
	}
	group.Wait()
	require.Empty(t, failed)
	return sent
}

// processTime returns the processor time that a process has used, in seconds,
// and its resident memory in kB.
func processTime(t *testing.T, id int) (float64, int) {
	t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
	require.NoError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	ticks := 0.0
	// Fields 14 and 15 of proc(5) are user and system time; two were cut off.
	for _, field := range fields[11:13] {
		value, err := strconv.ParseFloat(field, 64)
		require.NoError(t, err)
		ticks += value
	}
	// Fields 24 is the resident set in pages.
	pages, err := strconv.Atoi(fields[21])
	require.NoError(t, err)
	// The kernel counts in hundredths of a second whatever its timer is.
	return ticks / 100, pages * os.Getpagesize() / 1024
}
