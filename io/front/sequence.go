package front

import (
	"bytes"
	"strconv"

	"primrosegw/core/fault"
	"primrosegw/io/pipe"
)

// sequence tracks the event ids of a stream, so that no event is delivered twice or
// left out when the stream is resumed at another server. Ids must increase by one;
// ids that are not numbers are not checked.
type sequence struct {
	// lastID is the id of the last delivered event, as the server sent it.
	lastID string
	// count is the number of delivered events.
	count int
}

// advance checks the ids of complete events and returns the sequence after them. It
// fails with pipe.Malformed when an event is out of order.
func (sequence sequence) advance(data []byte) (sequence, error) {
	for line := range bytes.Lines(data) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			sequence.count++
			continue
		}
		value, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		id := string(bytes.TrimSpace(value))
		if !isNextID(sequence.lastID, id) {
			return sequence, fault.New("front.take", pipe.Malformed, "event "+id+" after event "+sequence.lastID)
		}
		sequence.lastID = id
	}
	return sequence, nil
}

func isNextID(lastID, id string) bool {
	lastNumber, err := strconv.ParseInt(lastID, 10, 64)
	if err != nil {
		return true
	}
	number, err := strconv.ParseInt(id, 10, 64)
	return err != nil || number == lastNumber+1
}
