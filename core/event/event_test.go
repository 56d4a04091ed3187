package event_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/event"
)

// TestNumbersAndNamesAreUnique guards against events with the same number or name, and
// against an event that is missing from event.All.
func TestNumbersAndNamesAreUnique(t *testing.T) {
	numbers, names := map[int]string{}, map[string]int{}
	for _, entry := range event.All() {
		assert.Empty(t, numbers[entry.Number], "number %d of %s", entry.Number, entry.Name)
		assert.Zero(t, names[entry.Name], "name of event %d", entry.Number)
		numbers[entry.Number], names[entry.Name] = entry.Name, entry.Number
	}
	assert.Len(t, eventFunctions(t), len(event.All()), "event.All must contain the event of every function that returns one")
}

// TestCallerFieldsAreKept guards against fields of the logger that overwrite fields of
// the caller, such as the name of the host that died.
func TestCallerFieldsAreKept(t *testing.T) {
	var out bytes.Buffer
	logger := event.New(&out, "host-1", logrus.InfoLevel, nil)
	logger.Log(event.MemberDied(), logrus.Fields{"name": "host-2"})
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, "host-2", line["name"])
	assert.Equal(t, "host-1", line["host"])
	assert.Equal(t, "member_died", line["event_name"])
	assert.EqualValues(t, event.MemberDied().Number, line["event"])
}

// TestSubsystemsShowDebugEvents guards against debug events of an enabled subsystem
// that are not written, and against debug events of other subsystems that are.
func TestSubsystemsShowDebugEvents(t *testing.T) {
	var out bytes.Buffer
	logger := event.New(&out, "host-1", logrus.InfoLevel, []string{"ledger"})
	logger.Log(event.LedgerWritten(), logrus.Fields{})
	logger.Log(event.MemberSynced(), logrus.Fields{})
	assert.Contains(t, out.String(), "ledger_written")
	assert.NotContains(t, out.String(), "member_synced")
}
