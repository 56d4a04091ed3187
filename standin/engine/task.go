package engine

import (
	"encoding/binary"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"primrosegw/core/fault"
)

const (
	// BlockTokens is the number of tokens of one block of the prefix cache.
	BlockTokens = 64
	// bytesPerToken turns the length of a prompt into tokens.
	bytesPerToken = 4
	// shortestOutput and outputSpread bound the length of an answer when the
	// body has no hint.
	shortestOutput = 16
	outputSpread   = 112
)

// Kind is the sort of an error of this package.
type Kind string

// The kinds of errors.
const (
	// Invalid: the body of a request is not understood.
	Invalid Kind = "invalid"
	// Stale: an order carries an old fencing number.
	Stale Kind = "stale"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// body is what the engine reads of a request's JSON.
type body struct {
	Model    string    `json:"model"`
	Version  string    `json:"version"`
	Messages []message `json:"messages"`
	Prompt   string    `json:"prompt"`
	Stream   *bool     `json:"stream"`
	// StreamOptions may switch the usage chunk off.
	StreamOptions struct {
		IncludeUsage *bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
	Priority            int    `json:"priority"`
	RequestID           string `json:"request_id"`
	Resume              struct {
		Tokens int    `json:"tokens"`
		Text   string `json:"text"`
	} `json:"resume"`
	// OutputTokens is the length hint that only the engine reads.
	OutputTokens int `json:"x_output_tokens"`
}

// message is one message of a chat.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns a message's content: a string, or the text parts of a list.
func (message message) text() string {
	var whole string
	if json.Unmarshal(message.Content, &whole) == nil {
		return whole
	}
	var parts []struct {
		Text string `json:"text"`
	}
	_ = json.Unmarshal(message.Content, &parts)
	var builder strings.Builder
	for _, part := range parts {
		builder.WriteString(part.Text)
	}
	return builder.String()
}

// prompt returns the text that the engine processes.
func (body body) prompt() string {
	if len(body.Messages) == 0 {
		return body.Prompt
	}
	var builder strings.Builder
	for _, message := range body.Messages {
		builder.WriteString(message.Role)
		builder.WriteString(": ")
		builder.WriteString(message.text())
		builder.WriteString("\n")
	}
	return builder.String()
}

// task is a request as the engine runs it.
type task struct {
	prompt       string
	model        string
	version      string
	key          string
	seed         uint64
	promptTokens int
	prefixes     []uint64
	length       int
	finish       string
	chat         bool
}

// parseTask reads a request's body. limit is the router's bound of the answer;
// 0: none.
func parseTask(data []byte, limit int) (task, error) {
	var body body
	if err := json.Unmarshal(data, &body); err != nil {
		return task{}, fault.Wrap("engine.parseTask", Invalid, err)
	}
	prompt := body.prompt()
	if prompt == "" {
		return task{}, fault.Field("engine.parseTask", Invalid, "messages", "prompt is empty")
	}
	parsed := task{
		prompt: prompt, model: body.Model, version: body.Version,
		seed:         xxhash.Sum64String(prompt),
		promptTokens: (len(prompt) + bytesPerToken - 1) / bytesPerToken,
		prefixes:     Prefixes(prompt),
		length:       body.OutputTokens,
		finish:       "stop",
		chat:         len(body.Messages) > 0,
	}
	if parsed.length <= 0 {
		parsed.length = shortestOutput + int(parsed.seed%outputSpread)
	}
	for _, bound := range []int{limit, body.MaxTokens, body.MaxCompletionTokens} {
		if bound > 0 && bound < parsed.length {
			parsed.length, parsed.finish = bound, "length"
		}
	}
	return parsed, nil
}

// word returns token i of the answer, with the space that ends it.
func (task task) word(i int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], task.seed)
	binary.LittleEndian.PutUint64(key[8:], uint64(i))
	digest := xxhash.Sum64(key[:])
	const consonants, vowels = "bdfgklmnprstvz", "aeiou"
	word := make([]byte, 0, 7)
	for range 3 {
		word = append(word, consonants[digest%14], vowels[digest/14%5])
		digest /= 70
	}
	return string(append(word, ' '))
}

// Prefixes returns the hashes of a prompt's prefixes that end at a whole block
// of the prefix cache, the longest last.
func Prefixes(prompt string) []uint64 {
	const blockBytes = BlockTokens * bytesPerToken
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	var digest xxhash.Digest
	digest.Reset()
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = digest.WriteString(prompt[end-blockBytes : end])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// Prompt returns the text that an engine processes for a request's body, and
// its length in tokens.
func Prompt(data []byte) (string, int, error) {
	task, err := parseTask(data, 0)
	return task.prompt, task.promptTokens, err
}

// Answer returns the whole answer to a request's body, and its length in
// tokens. Tests compare it with what a caller got.
func Answer(data []byte) (string, int, error) {
	task, err := parseTask(data, 0)
	if err != nil {
		return "", 0, err
	}
	var builder strings.Builder
	for i := range task.length {
		builder.WriteString(task.word(i))
	}
	return builder.String(), task.length, nil
}
