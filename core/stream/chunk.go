package stream

// Chunk is a piece of an answer.
type Chunk struct {
	// Request names the request that the piece answers, when the sender says
	// so. A piece that names another request is dropped.
	Request string `cbor:"request,omitempty"`
	// Attempt is the attempt that generated the piece, 0 when the sender does
	// not say.
	Attempt int `cbor:"attempt,omitempty"`
	// Offset counts the tokens of the answer before this piece.
	Offset int    `cbor:"offset"`
	Tokens int    `cbor:"tokens"`
	Text   string `cbor:"text"`
	// Data is the engine's JSON payload of this piece. It is nil when the piece
	// was trimmed; the receiver renders Text instead.
	Data []byte `cbor:"data"`
	// Finish is the engine's reason for ending, empty before the last piece.
	Finish string `cbor:"finish"`
}
