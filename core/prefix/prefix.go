// Package prefix hashes the prefixes of prompts, the way engines key their
// prefix caches.
package prefix

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the usual mean for prompts; engines count exactly.
	BytesPerToken = 4
	// BlockTokens is the length of prompt that each further hash covers.
	BlockTokens = 64
	// BlockBytes is a block's length in the text of the prompt.
	BlockBytes = BlockTokens * BytesPerToken
	// Limit bounds the hashes of one request, 2,048 tokens of prompt.
	Limit = 32
)

// message is what the text of a chat message is taken from.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Chat returns the text of a chat's messages as an engine processes it. Parts
// other than text are left out.
func Chat(raw json.RawMessage) string {
	var messages []message
	if json.Unmarshal(raw, &messages) != nil {
		return ""
	}
	var builder strings.Builder
	for _, message := range messages {
		builder.WriteString(message.Role)
		builder.WriteString(": ")
		builder.WriteString(message.text())
		builder.WriteString("\n")
	}
	return builder.String()
}

// Prompt returns the text of a plain prompt, which may be a string only.
func Prompt(raw json.RawMessage) string {
	var text string
	_ = json.Unmarshal(raw, &text)
	return text
}

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

// Hashes returns the hashes of the prefixes that end at a whole block, the
// longest last, up to Limit.
func Hashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, min(Limit, len(prompt)/BlockBytes))
	var digest xxhash.Digest
	digest.Reset()
	for end := BlockBytes; end <= len(prompt) && len(hashes) < Limit; end += BlockBytes {
		_, _ = digest.WriteString(prompt[end-BlockBytes : end])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
