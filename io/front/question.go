package front

import (
	"bytes"
	"errors"
	"io"
	"time"

	"primrosegw/core/budget"
	"primrosegw/core/fault"
	"primrosegw/core/fleet"
	"primrosegw/io/pipe"
)

// serverAnswer is a server's answer to a question of the host itself.
type serverAnswer struct {
	status int
	info   ResponseInfo
	// body is empty if it could not be read; readErr says why.
	body    []byte
	readErr error
	// isStream: the body is a stream of events. isDelimited: its end shows that it is whole.
	isStream, isDelimited bool
	// reusable: the connection can take a request.
	reusable bool
}

// askServer sends a question to a server on a connection and passes its answer to read. The body of
// the answer is held for the time of that call, with memory from the budget. It fails with the kinds
// of package pipe if there is no answer, if its body does not fit into memory, or if it is the
// answer to another request.
func (handler *Handler) askServer(conn *pipe.Conn, server fleet.Server, question pipe.Request, deadline time.Time, read func(serverAnswer)) error {
	receivedBefore := conn.Received()
	if _, err := conn.Send(question, deadline); err != nil {
		return err
	}
	response, err := conn.AwaitResponse(question.Method, deadline)
	if err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) && conn.Received() > receivedBefore {
			handler.recordCut(server, brokenReport, false)
		}
		return err
	}
	hold := handler.options.Budget.Open(budget.Server(server.ID))
	defer hold.Release()
	segments, length, readErr := readSegments(response.Body, -1, maxForeignBytes, hold)
	if memoryShortage(readErr) != "" {
		return fault.Wrap("front.ask", pipe.Lost, readErr)
	}
	if errors.Is(readErr, io.ErrUnexpectedEOF) {
		handler.recordCut(server, brokenReport, false)
	}
	answer := serverAnswer{status: response.StatusCode, info: handler.options.Headers.ParseResponse(response.StatusCode, response.Header), readErr: readErr}
	handler.observeLeaving(server, answer.info)
	if answer.info.ID != "" {
		return fault.New("front.ask", pipe.Malformed, "a response to another request")
	}
	answer.body = bytes.Join(segments, nil)
	answer.isStream, answer.isDelimited = isStream(response.Header), isDelimited(response)
	answer.reusable = readErr == nil && length < maxForeignBytes && response.KeepAlive && answer.isDelimited && conn.Reuse(response.Header)
	read(answer)
	return nil
}
