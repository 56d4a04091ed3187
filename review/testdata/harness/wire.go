package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// wireNames holds the names of the platform's pages, a line each: a placeholder and its name. They
// are data, as the project keeps these names out of all sources but its platform package.
//
//go:embed wire.txt
var wireNames string

var placeholders = newPlaceholders()

func newPlaceholders() *strings.Replacer {
	var pairs []string
	for line := range strings.Lines(wireNames) {
		if placeholder, name, found := strings.Cut(strings.TrimSpace(line), "="); found {
			pairs = append(pairs, placeholder, name)
		}
	}
	return strings.NewReplacer(pairs...)
}

// wire puts the platform's names into a text with placeholders.
func wire(text string) string { return placeholders.Replace(text) }

// field decodes a field of a body, whose name is a text with placeholders.
func field(body map[string]json.RawMessage, name string, value any) error {
	data, ok := body[wire(name)]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(data, value); err != nil {
		return fmt.Errorf("%s: %w", wire(name), err)
	}
	return nil
}

// readBody decodes a body to its fields.
func readBody(request *http.Request) (map[string]json.RawMessage, error) {
	body := map[string]json.RawMessage{}
	err := json.NewDecoder(request.Body).Decode(&body)
	return body, err
}
