package stream

// Chunk is a part of a streamed response.
type Chunk struct {
	// Request is the ID of the request that the chunk belongs to, if the sender
	// specifies it. A chunk with another request ID is dropped.
	Request string `cbor:"request,omitempty"`
	// Attempt is the attempt that generated the chunk, or 0 if the sender doesn't
	// specify it.
	Attempt int `cbor:"attempt,omitempty"`
	// Offset is the number of tokens in the response before this chunk.
	Offset int    `cbor:"offset"`
	Tokens int    `cbor:"tokens"`
	Text   string `cbor:"text"`
	// Data is the engine's JSON payload of this chunk. It is nil if the chunk was
	// trimmed; the receiver then renders Text instead.
	Data []byte `cbor:"data"`
	// FinishReason is the engine's reason for ending the response. It is empty before
	// the last chunk.
	FinishReason string `cbor:"finish"`
}
