package front

import (
	"bytes"
	"strconv"

	"primrosegw/core/fault"
	"primrosegw/core/idstep"
	"primrosegw/io/pipe"
)

/*
sequence tracks the events of a stream, so that no event is delivered twice or left out when the stream is
resumed at another server, and nothing else is delivered. Numbers as IDs must increase.

Where the stream is resumed, the step from the last ID must be no larger than those before, if all of them were
the same, or than is usual. If it is larger, the event after it may show that it is the next one, or another
server, which goes on after the same event with the same ID.

Of other IDs it is only checked that the event after which a caller takes the stream up does not come again.
*/
type sequence struct {
	// lastID is the ID of the last delivered event, as the server sent it.
	lastID string
	// count is the number of delivered events.
	count int
	// unnumbered: an event without an ID was delivered after the one with lastID.
	unnumbered bool
	// resumed: the next event must have an ID, which shows that a server goes on after lastID.
	resumed bool
	// takenUpAfter is the ID of the event after which the caller takes the stream up.
	takenUpAfter string
	// step is the step between IDs, 0 if none was seen; mixed if steps differ. steps is their number.
	step  int64
	mixed bool
	steps int
	// usual is the usual step of the servers' version, even if no other one was seen.
	usual int64
	even  bool
	// claimed is the ID of the event with which another server goes on, though it is not shown to be the next one;
	// empty: none.
	claimed string
	// samples are the first steps within the response, without the one where the stream is resumed unless two
	// servers go on so.
	samples []int64
}

// enoughSteps is the number of equal steps of a stream from which on they count for more than the usual step.
const enoughSteps = 3

// begin prepares the sequence for the response of a server of a version.
func (sequence *sequence) begin(steps *idstep.Registry, version idstep.Version) {
	sequence.resumed, sequence.samples = sequence.lastID != "", nil
	sequence.usual, sequence.even = steps.Usual(version), steps.IsEven(version)
}

// isClaimed reports whether another server goes on with an event, too. Where steps are even, both leave out the
// events before it.
func (sequence *sequence) isClaimed(id string) bool { return sequence.claimed == id && !sequence.even }

// maxStep returns the largest step with which an event is taken for the next one where the stream is resumed.
func (sequence *sequence) maxStep() int64 {
	if sequence.steps >= enoughSteps {
		return sequence.step
	}
	return max(sequence.step, sequence.usual, idstep.Default)
}

// mayResume reports whether a server can tell where to go on after the delivered events, and whether
// it can be checked that it does: a server that ignores the ID may send the stream again.
func (sequence sequence) mayResume() bool {
	_, err := strconv.ParseInt(sequence.lastID, 10, 64)
	return err == nil && !sequence.unnumbered
}

// unclearNext says that a server goes on with an event of which it is not known whether it is the next one.
type unclearNext struct{ id, after string }

// Error implements error.
func (unclear *unclearNext) Error() string {
	return "nothing shows that event " + unclear.id + " is the next one after event " + unclear.after
}

// advance checks complete events and returns the sequence after them and their length. It fails
// with pipe.Malformed when an event is out of order, or when the data are no events, and with unclearNext; the
// sequence and the length are then those of the events before. It stops before an event of which only the next
// one shows whether it is the next.
func (sequence sequence) advance(data []byte) (next sequence, length int, err error) {
	var event streamEvent
	next, read := sequence, 0
	for line := range bytes.Lines(data) {
		read += len(line)
		line = bytes.TrimRight(line, "\r\n")
		if len(line) > 0 {
			if err := event.addLine(line); err != nil {
				return next, length, err
			}
			continue
		}
		if next.mustSeeNext(event) {
			following, ended := followingID(data[read:])
			if !ended {
				return next, length, nil
			}
			next.expectStep(event.id, following)
		}
		if err := next.add(event); err != nil {
			return next, length, err
		}
		event, length = streamEvent{}, read
	}
	return next, length, nil
}

// add adds an event at the end of the sequence. If it fails, the sequence is as before.
func (sequence *sequence) add(event streamEvent) error {
	switch {
	case event.hasID:
		if err := sequence.takeID(event.id); err != nil {
			return err
		}
		sequence.lastID, sequence.unnumbered, sequence.resumed = event.id, false, false
	case !event.hasFields:
		// A comment keeps the connection open and is no part of the stream.
		return nil
	case sequence.resumed:
		return fault.New("front.take", pipe.Malformed, "an event without an ID where the stream goes on after event "+sequence.lastID)
	default:
		sequence.unnumbered = true
	}
	sequence.count++
	return nil
}

// streamEvent is an event of a stream.
type streamEvent struct {
	id        string
	hasID     bool
	hasFields bool
}

// addLine adds a line of the event. It fails with pipe.Malformed if the line is neither a field
// nor a comment.
func (event *streamEvent) addLine(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if len(name) == 0 {
		return nil
	}
	if !isFieldName(name) {
		return fault.New("front.take", pipe.Malformed, "a line that is no field of an event: "+strconv.Quote(string(line[:min(len(line), maxQuotedBytes)])))
	}
	event.hasFields = true
	if string(name) == "id" {
		event.id, event.hasID = string(bytes.TrimSpace(value)), true
	}
	return nil
}

// maxQuotedBytes limits the part of a line that is quoted in an error.
const maxQuotedBytes = 60

// isFieldName reports whether a name can be that of a field of an event: lowercase letters and
// hyphens. Header lines, which may stand in a stream after a fault of a server, differ.
func isFieldName(name []byte) bool {
	for _, letter := range name {
		if (letter < 'a' || letter > 'z') && letter != '-' {
			return false
		}
	}
	return true
}

// mayFollow reports whether an event with an ID may come next, whatever the step. Where a stream goes
// on, the ID must be a number if the last one is, and must not be if that is not.
func (sequence *sequence) mayFollow(id string) bool {
	_, lastErr := strconv.ParseInt(sequence.lastID, 10, 64)
	_, err := strconv.ParseInt(id, 10, 64)
	switch {
	case sequence.lastID == "":
		return true
	case id != "" && id == sequence.takenUpAfter:
		return false
	}
	return !sequence.resumed || (lastErr == nil) == (err == nil)
}

// takeID checks that an ID may follow the last one, and notes the step.
func (sequence *sequence) takeID(id string) error {
	step, known := stepBetween(sequence.lastID, id)
	switch {
	case !sequence.mayFollow(id) || known && step <= 0:
		return fault.New("front.take", pipe.Malformed, "event "+id+" after event "+sequence.lastID)
	case !known:
		return nil
	case sequence.resumed && !sequence.mixed && !sequence.isClaimed(id) && step > sequence.maxStep():
		return &unclearNext{id: id, after: sequence.lastID}
	}
	if isShown := !sequence.resumed || sequence.isClaimed(id); isShown && len(sequence.samples) < idstep.SamplesPerResponse {
		sequence.samples = append(sequence.samples[:len(sequence.samples):len(sequence.samples)], step)
	}
	if sequence.step != 0 && step != sequence.step {
		sequence.mixed = true
	}
	sequence.step = step
	sequence.steps++
	return nil
}

// held returns an error for the event before which advance has stopped, when no more follow.
func (sequence *sequence) held(data []byte) error {
	id, _ := followingID(data)
	return &unclearNext{id: id, after: sequence.lastID}
}

// mustSeeNext reports whether an event can't be judged alone: the stream is resumed after an event
// before which no step was seen, and the ID increases by more than one.
func (sequence *sequence) mustSeeNext(event streamEvent) bool {
	step, known := stepBetween(sequence.lastID, event.id)
	return event.hasID && sequence.resumed && sequence.step == 0 && !sequence.isClaimed(event.id) && known && step > sequence.maxStep()
}

// expectStep sets the step of a resumed stream from its first two IDs.
func (sequence *sequence) expectStep(first, second string) {
	if step, known := stepBetween(first, second); known && step > 0 {
		sequence.step = step
	}
}

// followingID returns the ID of the next event that has one, and false if it is not complete.
func followingID(data []byte) (string, bool) {
	var event streamEvent
	for line := range bytes.Lines(data) {
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) > 0:
			if event.addLine(line) != nil {
				return "", true
			}
		case event.hasID:
			return event.id, true
		default:
			event = streamEvent{}
		}
	}
	return "", false
}

// stepBetween returns the difference of two IDs. It is not known unless both are numbers.
func stepBetween(lastID, id string) (step int64, known bool) {
	last, err := strconv.ParseInt(lastID, 10, 64)
	if err != nil {
		return 0, false
	}
	number, err := strconv.ParseInt(id, 10, 64)
	return number - last, err == nil
}
