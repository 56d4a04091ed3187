package demo_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	openai "github.com/sashabaranov/go-openai"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/io/demo"
)

// TestCrashingRequestCostsTwoEngines guards against a request that crashes one
// engine after the other, as its caller sends it again through every host. The
// engines restart by themselves and their port stays open.
func TestCrashingRequestCostsTwoEngines(t *testing.T) {
	const marker = "POISON"
	world := start(t, func(options *demo.Options) {
		options.Engine.Poison = marker
		options.Engine.RestartAfter = 300 * time.Millisecond
		options.Engines[demo.PoolSketch] = 6
	})
	body, err := json.Marshal(map[string]any{
		"model": demo.ModelSketch, "max_tokens": 20,
		"messages": []map[string]string{{"role": "user", "content": marker}},
	})
	require.NoError(t, err)
	var last int
	for try := range 6 {
		response, _ := call(t, "POST", world.Nodes[try%3].URL()+"/v1/chat/completions", body, nil)
		last = response.StatusCode
	}
	assert.Equal(t, http.StatusUnprocessableEntity, last)

	// Calls that only shared the engines are served.
	var group sync.WaitGroup
	for number := range 12 {
		group.Go(func() {
			request := question(fmt.Sprintf("innocent question %d", number))
			for {
				answer, err := client(world.Nodes[number%3]).CreateChatCompletion(t.Context(), request)
				var refused *openai.APIError
				if errors.As(err, &refused) && refused.HTTPStatusCode == http.StatusTooManyRequests {
					// While engines restart a call may be shed; its caller comes again.
					continue
				}
				if assert.NoError(t, err) {
					assert.Equal(t, expected(t, request), answer.Choices[0].Message.Content)
				}
				return
			}
		})
	}
	group.Wait()
	crashes := 0
	for _, model := range world.Models {
		crashes += model.Stats().Crashes
	}
	assert.LessOrEqual(t, crashes, 2)
}

// TestPromptBeginningThatCrashesEnginesIsRefused guards against requests through all hosts
// that share the beginning of their prompts, differ in the rest, and crash one engine after
// the other; and against refusing those that share less of it.
func TestPromptBeginningThatCrashesEnginesIsRefused(t *testing.T) {
	const marker = "POISON"
	world := start(t, func(options *demo.Options) {
		options.Engine.Poison = marker
		options.Engine.RestartAfter = 300 * time.Millisecond
		options.Engines[demo.PoolSketch] = 6
	})
	// The marker is in the second block of the prompt; the first one is common to all.
	system := func(text string) string { return strings.Repeat("a", 300) + text + strings.Repeat("b", 300) }
	send := func(number int, text string) int {
		body, err := json.Marshal(map[string]any{
			"model": demo.ModelSketch, "max_tokens": 20,
			"messages": []map[string]string{
				{"role": "system", "content": system(text)}, {"role": "user", "content": fmt.Sprint("question ", number)},
			},
		})
		require.NoError(t, err)
		response, _ := call(t, "POST", world.Nodes[number%3].URL()+"/v1/chat/completions", body, nil)
		return response.StatusCode
	}
	for number := range 12 {
		send(number, marker)
		time.Sleep(500 * time.Millisecond)
	}
	assert.Equal(t, http.StatusUnprocessableEntity, send(12, marker))
	assert.Eventually(t, func() bool { return send(13, "sound") == http.StatusOK }, 20*time.Second, 100*time.Millisecond)
	crashes := 0
	for _, model := range world.Models {
		crashes += model.Stats().Crashes
	}
	assert.LessOrEqual(t, crashes, 6)
}
