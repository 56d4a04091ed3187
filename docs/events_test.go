package docs_test

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/io/admin"
	"primrosegw/io/demo"
	"primrosegw/standin/buffer"
	"primrosegw/standin/engine"
)

// catalogued returns the fields of the events by number, as EVENTS.md lists them.
func catalogued(t *testing.T) map[int][]string {
	t.Helper()
	found := map[int][]string{}
	for line := range strings.Lines(read(t, "EVENTS.md")) {
		cells := strings.Split(line, "|")
		if len(cells) < 7 {
			continue
		}
		if number, err := strconv.Atoi(strings.TrimSpace(cells[1])); err == nil {
			found[number] = strings.Split(strings.TrimSpace(cells[5]), ", ")
		}
	}
	return found
}

// TestLoggedFieldsAreListed guards against log lines with an event or a field
// that the catalogue does not list: hosts with traffic, a promotion, a refused
// promotion, a recall and a drain, at the debug level.
func TestLoggedFieldsAreListed(t *testing.T) {
	out := &buffer.Buffer{}
	runLogged(t, out)
	everyLine := []string{"event", "event_name", "host", "level", "msg", "subsystem", "time"}
	listed, seen := catalogued(t), map[int]bool{}
	for line := range strings.Lines(out.String()) {
		fields := map[string]any{}
		require.NoError(t, json.Unmarshal([]byte(line), &fields), line)
		number, ok := fields["event"].(float64)
		require.True(t, ok, line)
		known, ok := listed[int(number)]
		require.True(t, ok, "event %v is not in EVENTS.md", number)
		seen[int(number)] = true
		for name := range fields {
			assert.True(t, slices.Contains(everyLine, name) || slices.Contains(known, name), "event %v has the field %s", number, name)
		}
	}
	t.Logf("%d of %d events were logged: %v", len(seen), len(listed), slices.Sorted(maps.Keys(seen)))
	assert.GreaterOrEqual(t, len(seen), 20, "too few events for the test to say anything")
}

// runLogged runs an environment for some seconds of traffic and changes.
func runLogged(t *testing.T, out *buffer.Buffer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	world, err := demo.New(ctx, demo.Options{
		Hosts: 3, FailureDomains: []string{"caxias", "bento"}, Engines: map[string]int{demo.PoolSketch: 3, demo.PoolLedger: 1},
		Slots: 2, DrainMs: 100, Seed: 1, Log: out, Level: logrus.DebugLevel,
		Engine: engine.Options{StepBase: 2 * time.Millisecond, StepPerCall: 100 * time.Microsecond},
	})
	require.NoError(t, err)
	defer world.Close()
	sending, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		demo.NewTraffic(world, 60).Run(sending)
	}()
	_, err = admin.NewClient(world.Nodes[0].AdminURL(), "wrong").Status(ctx)
	require.Error(t, err)
	operator := admin.NewClient(world.Nodes[0].AdminURL(), demo.OperatorKey)
	_, err = operator.Promote(ctx, "none", "")
	require.Error(t, err)
	document := world.Document
	document.Lot = "demo-2"
	data, err := demo.Encode(document)
	require.NoError(t, err)
	_, err = world.Put(ctx, data)
	require.NoError(t, err)
	_, err = operator.Recall(ctx, "demo-2", "test")
	require.NoError(t, err)
	<-finished
	close(world.Nodes[2].Drain)
	select {
	case <-world.Nodes[2].Done:
	case <-ctx.Done():
		t.Fatal("the host did not leave")
	}
}
