package link_test

import (
	"bytes"
	"testing"

	"primrosegw/core/cell"
	"primrosegw/io/link"
)

// BenchmarkFrame is the cost of one token's frame at both ends of a link,
// without the transport.
func BenchmarkFrame(b *testing.B) {
	type frame struct {
		Request string      `cbor:"request"`
		Chunk   *cell.Chunk `cbor:"chunk"`
	}
	data := []byte(`{"id":"x","object":"chat.completion.chunk","created":1,"model":"m","offset":7,"choices":[{"index":0,"delta":{"content":"word "},"finish_reason":null}]}`)
	sent := frame{Request: "0c1f9f6e-77b8-4c5c-9a37-5a1c", Chunk: &cell.Chunk{Offset: 7, Tokens: 1, Text: "word ", Data: data}}
	b.ReportAllocs()
	var buffer bytes.Buffer
	for b.Loop() {
		buffer.Reset()
		if err := link.WriteFrame(&buffer, sent); err != nil {
			b.Fatal(err)
		}
		var received frame
		if err := link.ReadFrame(&buffer, &received); err != nil {
			b.Fatal(err)
		}
	}
}
