package heads_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/heads"
	"primrosegw/core/spec"
	"primrosegw/core/store"
)

// testChange returns a change by an operator at a fixed time.
func testChange(operator string) heads.Change {
	return heads.Change{
		Operator: operator, Reason: "test", Token: operator,
		At: time.Date(2026, 3, 4, 5, 6, 7, 0, time.UTC),
	}
}

// promoteAll returns heads in which the documents were promoted in order.
func promoteAll(t *testing.T, subjects ...heads.Document) heads.Heads {
	state := heads.Heads{Environment: environment}
	for _, document := range subjects {
		var err error
		state, err = state.StartTrial(document, testChange("ana"))
		require.NoError(t, err)
		verdict := heads.Verdict{Digest: document.Digest, Checks: []heads.Check{{Name: "valid", Passed: true}}}
		state, err = state.RecordVerdict(verdict, testChange("ana"))
		require.NoError(t, err)
		state, err = state.Promote(document.Digest, testChange("ana"))
		require.NoError(t, err)
	}
	return state
}

// Guards against promotion of a document without a trial or after a failed one.
func TestPromotionNeedsAPassingVerdict(t *testing.T) {
	document := documents()[0]
	passed := []heads.Check{{Name: "valid", Passed: true}}
	cases := map[string]*heads.Verdict{
		"no verdict":     nil,
		"no checks":      {Digest: document.Digest},
		"failed check":   {Digest: document.Digest, Checks: []heads.Check{{Name: "valid", Passed: true}, {Name: "replay"}}},
		"lost decisions": {Digest: document.Digest, Checks: passed, Replay: heads.Replay{Decisions: 9, Lost: 1}},
	}
	for name, verdict := range cases {
		state, err := heads.Heads{}.StartTrial(document, testChange("ana"))
		require.NoError(t, err)
		if verdict != nil {
			state, err = state.RecordVerdict(*verdict, testChange("ana"))
			require.NoError(t, err)
		}
		_, err = state.Promote(document.Digest, testChange("ana"))
		require.True(t, fault.Is(err, heads.NotTried), name)
	}
	_, err := heads.Heads{}.Promote(document.Digest, testChange("ana"))
	require.True(t, fault.Is(err, heads.NotTried))
}

// Guards against a recall that leaves the recalled document in production, falls
// back to another document of a recalled lot, or reuses a generation.
func TestRecallFallsBackOutsideTheLot(t *testing.T) {
	all := documents()
	state := promoteAll(t, all[2], all[0], all[4])
	state, err := state.Recall("lot-0", testChange("bea"))
	require.NoError(t, err)
	require.Equal(t, all[2].Digest, state.Production.Digest)
	require.Equal(t, uint64(4), state.Generation)
	require.True(t, state.IsRecalled("lot-0"))
	state, err = state.Recall("lot-2", testChange("bea"))
	require.NoError(t, err)
	require.Empty(t, state.Production.Digest, "no accepted document is left")
	require.Equal(t, uint64(5), state.Generation)
	_, err = state.Recall("lot-2", testChange("bea"))
	require.True(t, fault.Is(err, heads.Recalled))
	_, err = state.StartTrial(all[3], testChange("bea"))
	require.True(t, fault.Is(err, heads.Recalled), "a component of the document belongs to the lot")
	require.ErrorContains(t, err, `"bea"`)
}

// Guards against hosts that keep a model version or adapter of a recalled lot
// when the document stays in production.
func TestRecallOfPartsStripsTheDocument(t *testing.T) {
	parsed := spec.Document{Lot: "lot-a", Pools: []spec.Pool{{
		Name:     "sketch",
		Versions: []spec.Version{{Name: "v2", Lot: "lot-b"}, {Name: "v1"}},
		Adapters: []spec.Adapter{{Name: "plates", Lot: "lot-c"}},
	}}}
	document := heads.NewDocument(parsed, []byte("stored form"))
	require.Equal(t, []string{"lot-b", "lot-c"}, document.ComponentLots)
	state, err := promoteAll(t, document).Recall("lot-b", testChange("bea"))
	require.NoError(t, err)
	require.Equal(t, document.Digest, state.Production.Digest)
	require.Equal(t, uint64(2), state.Generation)
	stripped := state.RemoveRecalled(parsed)
	require.Equal(t, []spec.Version{{Name: "v1"}}, stripped.Pools[0].Versions)
	require.Len(t, stripped.Pools[0].Adapters, 1)
	require.Len(t, parsed.Pools[0].Versions, 2, "the caller's document is not changed")
}

// Guards against a stored value that exceeds the size limit of the key-value
// service: all lists are filled with the longest names.
func TestFullHeadsFitTheService(t *testing.T) {
	longName := strings.Repeat("x", 61)
	document := func(i int) heads.Document {
		var componentLots []string
		for j := range 100 {
			componentLots = append(componentLots, fmt.Sprintf("%s%03d", longName, j))
		}
		data := fmt.Append(nil, i)
		return heads.Document{Data: data, Digest: heads.Digest(data), Lot: fmt.Sprintf("%s-%02d", longName, i), ComponentLots: componentLots}
	}
	var all []heads.Document
	for i := range 40 {
		all = append(all, document(i))
	}
	state := promoteAll(t, all...)
	recall := testChange(longName)
	recall.Reason = strings.Repeat("ü", 500)
	for i := range 1000 {
		var err error
		state, err = state.Recall(fmt.Sprintf("%04d-%s", i, longName[:59]), recall)
		require.NoError(t, err)
	}
	_, err := state.Recall("one more", recall)
	require.True(t, fault.Is(err, heads.Full))
	data, err := state.Encode()
	require.NoError(t, err)
	t.Logf("bytes=%d", len(data))
	require.Less(t, len(data), store.MaximumValueBytes)
	decoded, err := heads.Parse(data)
	require.NoError(t, err)
	require.Equal(t, state, decoded)
}

// Guards against conflict errors that don't name the conflicting change and its
// operator, and against lost replies that are not reported.
func TestClientReportsConflictsAndLostReplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newMemoryStore(heads.Key(environment))
		connect := func(host string, plan ...callPlan) *heads.Client {
			client, err := heads.New(heads.Options{
				Store: &connection{memoryStore: service, plan: plan}, Environment: environment,
				Host: host, Random: rand.New(rand.NewPCG(1, 1)),
			})
			require.NoError(t, err)
			return client
		}
		ctx := context.Background()
		ana := connect("ana")
		document := documents()[1]
		_, err := ana.Trial(ctx, document, "ana", "weekly change")
		require.NoError(t, err)
		data, err := ana.Document(ctx, document.Digest)
		require.NoError(t, err)
		require.Equal(t, document.Data, data)
		_, err = ana.Document(ctx, heads.Digest(nil))
		require.True(t, fault.Is(err, heads.Absent))
		verdict := heads.Verdict{Digest: document.Digest, Checks: []heads.Check{{Name: "valid", Passed: true}}}
		_, err = ana.Verdict(ctx, verdict, "ana", "checked")
		require.NoError(t, err)

		slow := callPlan{wait: time.Second}
		done := make(chan struct{})
		go func() {
			defer close(done)
			result, err := connect("bea", callPlan{}, slow).Recall(ctx, "lot-9", "bea", "too hot")
			require.True(t, fault.Is(err, heads.Conflict))
			require.ErrorContains(t, err, `promote of document`)
			require.Equal(t, "ana", result.ConflictingChange.Operator)
		}()
		time.Sleep(time.Millisecond)
		result, err := connect("ana", callPlan{}, callPlan{mode: lostWritten}).Promote(ctx, document.Digest, "ana", "go")
		require.NoError(t, err)
		require.Equal(t, heads.Written, result.Settlement)
		<-done

		_, err = connect("ana", callPlan{mode: unavailable}).Recall(ctx, "lot-1", "ana", "bad")
		require.True(t, fault.Is(err, heads.Unavailable))
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		plan := []callPlan{{}, {mode: lostWrittenLate}, {mode: unavailable}, {mode: unavailable}, {mode: unavailable}, {wait: time.Minute}}
		result, err = connect("ana", plan...).Recall(short, "lot-1", "ana", "bad")
		require.True(t, fault.Is(err, heads.Unsettled))
		time.Sleep(delayedWriteLatency)
		found, err := ana.Settle(ctx, result)
		require.NoError(t, err)
		require.Equal(t, heads.Written, found)
	})
}
