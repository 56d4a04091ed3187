package demo_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	openai "github.com/sashabaranov/go-openai"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/io/demo"
	"primrosegw/standin/buffer"
	"primrosegw/standin/engine"
)

// deadline is far above the time that any of these calls takes.
const deadline = 60 * time.Second

func start(t *testing.T, adjust func(*demo.Options)) *demo.World {
	t.Helper()
	options := demo.Options{
		Hosts: 3, FailureDomains: []string{"caxias", "bento"},
		Engines: map[string]int{demo.PoolSketch: 3, demo.PoolLedger: 1}, Slots: 4, DrainMs: 200, Seed: 1,
		Engine: engine.Options{StepBase: 2 * time.Millisecond, StepPerCall: 100 * time.Microsecond},
	}
	if adjust != nil {
		adjust(&options)
	}
	log := &buffer.Buffer{}
	if options.Log == nil {
		options.Log, options.Level = log, logrus.InfoLevel
	}
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	world, err := demo.New(ctx, options)
	require.NoError(t, err)
	t.Cleanup(func() {
		world.Close()
		if t.Failed() {
			t.Log("log of all hosts:\n" + log.String())
		}
	})
	return world
}

func client(node *demo.Node) *openai.Client {
	config := openai.DefaultConfig(demo.CallerKey + demo.WorkspaceSchools)
	config.BaseURL = node.URL() + "/v1"
	return openai.NewClientWithConfig(config)
}

func question(text string) openai.ChatCompletionRequest {
	return openai.ChatCompletionRequest{
		Model:               demo.ModelSketch,
		Messages:            []openai.ChatCompletionMessage{{Role: "user", Content: text}},
		MaxCompletionTokens: 40,
	}
}

// expected returns the answer that an engine gives to a request.
func expected(t *testing.T, request any) string {
	t.Helper()
	body, err := json.Marshal(request)
	require.NoError(t, err)
	text, _, err := engine.Answer(body)
	require.NoError(t, err)
	return text
}

// TestOpenAIClient guards against answers that an unmodified client library of
// the usual interface does not understand.
func TestOpenAIClient(t *testing.T) {
	world := start(t, nil)
	for index, node := range world.Nodes {
		request := question(fmt.Sprintf("How many spots does disc %d show?", index))
		whole, err := client(node).CreateChatCompletion(t.Context(), request)
		require.NoError(t, err)
		assert.Equal(t, expected(t, request), whole.Choices[0].Message.Content)
		assert.Equal(t, demo.ModelSketch, whole.Model)
		assert.Equal(t, 40, whole.Usage.CompletionTokens)

		stream, err := client(node).CreateChatCompletionStream(t.Context(), request)
		require.NoError(t, err)
		var text string
		for {
			part, err := stream.Recv()
			if err == io.EOF {
				break
			}
			require.NoError(t, err)
			text += part.Choices[0].Delta.Content
		}
		assert.Equal(t, expected(t, request), text)
	}
	models, err := client(world.Nodes[0]).ListModels(t.Context())
	require.NoError(t, err)
	assert.Len(t, models.Models, 2)
}

// call sends a request with the key of a workspace.
func call(t *testing.T, method, url string, body []byte, header map[string]string) (*http.Response, []byte) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+demo.CallerKey+demo.WorkspaceSchools)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, answer
}

// TestServiceRunsOnce guards against a filing that is made twice when its
// caller sends it again through another host.
func TestServiceRunsOnce(t *testing.T) {
	world := start(t, nil)
	header := map[string]string{"Idempotency-Key": "entry-1"}
	var first []byte
	for index, node := range world.Nodes {
		response, answer := call(t, "POST", node.URL()+"/v1/services/archive/entries", []byte(`{"day":1}`), header)
		require.Equal(t, http.StatusOK, response.StatusCode, "%s", answer)
		if index == 0 {
			first = answer
			continue
		}
		assert.Equal(t, string(first), string(answer))
		assert.Equal(t, "true", response.Header.Get("X-Primrose-Replayed"))
	}
	runs := world.Archive.Runs()
	require.Len(t, runs, 1)
	assert.Equal(t, 1, runs[0].Count)
}

// TestWorkspacesAreApart guards against a workspace that gets the recorded
// answer of another by using the same idempotency key and body.
func TestWorkspacesAreApart(t *testing.T) {
	world := start(t, nil)
	for _, workspace := range []string{demo.WorkspaceSchools, demo.WorkspaceObservatory} {
		header := map[string]string{"Idempotency-Key": "entry-1", "Authorization": "Bearer " + demo.CallerKey + workspace}
		response, answer := call(t, "POST", world.Nodes[0].URL()+"/v1/services/archive/entries", []byte(`{"day":1}`), header)
		require.Equal(t, http.StatusOK, response.StatusCode, "%s", answer)
		assert.Empty(t, response.Header.Get("X-Primrose-Replayed"), workspace)
	}
	runs := world.Archive.Runs()
	require.Len(t, runs, 1)
	assert.Equal(t, 2, runs[0].Count)
}
