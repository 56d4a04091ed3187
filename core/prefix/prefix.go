// Package prefix hashes the prefixes of prompts block by block, in the way that engines
// key their prefix caches.
package prefix

import (
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the typical mean for prompts. Only engines count tokens exactly.
	BytesPerToken = 4
	// BlockTokens is the block size: each further hash covers this many more tokens.
	BlockTokens = 64
	// BlockBytes is the size of a block in bytes of prompt text.
	BlockBytes = BlockTokens * BytesPerToken
	// MaxHashes is the maximum number of hashes for one request; they cover 2,048
	// tokens of its prompt.
	MaxHashes = 32
)

// message holds the fields of a chat message that make up its text.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// ChatText returns the text of a chat's messages as an engine processes it. Content
// parts other than text are omitted.
func ChatText(raw json.RawMessage) string {
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

// PromptText returns the text of a plain prompt. Only strings are supported; for other
// types it returns the empty string.
func PromptText(raw json.RawMessage) string {
	var text string
	_ = json.Unmarshal(raw, &text)
	return text
}

// text returns the content, which is a string or a list of parts.
func (message message) text() string {
	var content string
	if json.Unmarshal(message.Content, &content) == nil {
		return content
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

// Hashes returns the hashes of the prefixes that end at a block boundary, from the
// shortest to the longest. It returns at most MaxHashes.
func Hashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, min(MaxHashes, len(prompt)/BlockBytes))
	var digest xxhash.Digest
	digest.Reset()
	for end := BlockBytes; end <= len(prompt) && len(hashes) < MaxHashes; end += BlockBytes {
		_, _ = digest.WriteString(prompt[end-BlockBytes : end])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}
