package spec

import "encoding/json"

// Problem is a fault of a document.
type Problem struct {
	Line, Column int
	Path         string
	Found        string
	Allowed      string
	Text         string
}

// Parse reads a document.
func Parse(data []byte) (Document, []Problem) {
	var document Document
	if err := json.Unmarshal(data, &document); err != nil {
		return Document{}, []Problem{{Line: 1, Text: err.Error()}}
	}
	return document, nil
}
