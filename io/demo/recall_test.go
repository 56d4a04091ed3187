package demo_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/spec"
	"primrosegw/io/admin"
	"primrosegw/io/demo"
	"primrosegw/standin/engine"
)

// eventually waits for a condition, far longer than its bound.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(deadline)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", deadline, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// loaded reports whether all engines of the sketch pool have one version only.
func loaded(world *demo.World, version string) bool {
	for _, server := range world.Document.BackendServers {
		if server.Pool != demo.PoolSketch {
			continue
		}
		state := world.Models[server.Name].State()
		if len(state.Models) != 1 || state.Models[0].Version != version {
			return false
		}
	}
	return true
}

// TestRecalledVersionIsGoneEverywhere guards against a model version that goes
// on running after its lot was recalled, and against a pool that stops serving
// while versions change.
func TestRecalledVersionIsGoneEverywhere(t *testing.T) {
	world := start(t, func(options *demo.Options) { options.Engine.ChecksFence = true })
	document := world.Document
	document.Lot = "demo-2"
	document.Pools = []spec.Pool{
		{
			Name: demo.PoolSketch, Model: demo.ModelSketch,
			Versions: []spec.Version{{Name: "v2", Lot: "weights-3"}, {Name: "v1", Lot: "weights-1"}},
		},
		world.Document.Pools[1],
	}
	data, err := demo.Encode(document)
	require.NoError(t, err)
	_, err = world.Put(t.Context(), data)
	require.NoError(t, err)

	asked := 0
	serves := func() {
		asked++
		request := question(fmt.Sprintf("question %d while versions change", asked))
		answer, err := client(world.Nodes[asked%len(world.Nodes)]).CreateChatCompletion(t.Context(), request)
		require.NoError(t, err)
		assert.Equal(t, expected(t, request), answer.Choices[0].Message.Content)
	}
	eventually(t, "all engines have the preferred version", func() bool {
		serves()
		return loaded(world, "v2")
	})

	operator := admin.NewClient(world.Nodes[1].AdminURL(), demo.OperatorKey)
	changed, err := operator.Recall(t.Context(), "weights-3", "wrong answers")
	require.NoError(t, err)
	eventually(t, "all hosts confirm the recall", func() bool {
		confirmed, err := operator.Confirmed(t.Context(), changed.Heads.Generation)
		return err == nil && len(confirmed.Waiting) == 0
	})
	eventually(t, "no engine has the recalled version", func() bool { return loaded(world, "v1") })
	eventually(t, "the pool serves again", func() bool {
		request := question("after the recall")
		answer, err := client(world.Nodes[0]).CreateChatCompletion(t.Context(), request)
		return err == nil && answer.Choices[0].Message.Content == expected(t, request)
	})
	serves()

	// A recalled lot can't come back.
	_, err = world.Put(t.Context(), data)
	require.Error(t, err)
	assert.Contains(t, err.Error(), "recalled")
}

// TestLeavingEngineGetsNothingNew guards against calls that go on arriving at an
// engine that reports that it is leaving. The bound is 3 s.
func TestLeavingEngineGetsNothingNew(t *testing.T) {
	const bound = 3 * time.Second
	world := start(t, func(options *demo.Options) { options.Engine.LoadLag = time.Second })
	leaving := world.Models[demo.PoolSketch+"-0"]
	ask := func(number int) {
		request := question(fmt.Sprintf("question %d of the leaving engine", number))
		_, err := client(world.Nodes[number%len(world.Nodes)]).CreateChatCompletion(t.Context(), request)
		require.NoError(t, err)
	}
	number := 0
	eventually(t, "the engine gets calls", func() bool {
		number++
		ask(number)
		return runs(leaving) > 2
	})
	leaving.Leave()
	left := time.Now()
	last, seen := left, runs(leaving)
	for time.Since(left) < 2*bound {
		number++
		ask(number)
		if now := runs(leaving); now > seen {
			last, seen = time.Now(), now
		}
	}
	assert.LessOrEqual(t, last.Sub(left), bound)
}

func runs(model *engine.Model) int {
	requests, _ := model.Runs()
	count := 0
	for _, times := range requests {
		count += times
	}
	return count
}
