package front

import (
	"bytes"
	"strconv"

	"primrosegw/core/fault"
	"primrosegw/io/pipe"
)

// sequence follows the ids of a stream's events, so that no event is delivered
// twice or left out when a stream goes on at another server. Ids count up by one;
// ids that are no numbers are not checked.
type sequence struct {
	// last is the id of the last event delivered, as the server wrote it.
	last string
	// count is the number of events delivered.
	count int
}

// take checks whole events and returns what the sequence is after them. It fails
// with pipe.Malformed when an event is not the next one.
func (sequence sequence) take(data []byte) (sequence, error) {
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
		if !follows(sequence.last, id) {
			return sequence, fault.New("front.take", pipe.Malformed, "event "+id+" after event "+sequence.last)
		}
		sequence.last = id
	}
	return sequence, nil
}

func follows(last, id string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	after, err := strconv.ParseInt(id, 10, 64)
	return err != nil || after == before+1
}
