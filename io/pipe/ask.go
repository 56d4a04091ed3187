package pipe

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"primrosegw/core/fault"
)

// askKey is the key of MustAsk in a context.
type askKey struct{}

// WithQuestion returns a context for Open that makes the dialer of the pool ask the server a question on the
// new connection.
func WithQuestion(ctx context.Context) context.Context {
	return context.WithValue(ctx, askKey{}, true)
}

// MustAsk reports whether a context is of WithQuestion.
func MustAsk(ctx context.Context) bool { return ctx.Value(askKey{}) != nil }

// Ask sends a question on a new connection and reads the answer. It reports whether the connection can
// take a request afterwards. It fails with Lost if no byte of an answer arrives before the end of the
// context.
func Ask(ctx context.Context, conn net.Conn, question Request) (reusable bool, err error) {
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		// It fails only if the connection is closed, and then so do the reads.
		_ = conn.SetDeadline(time.Unix(1, 0))
		close(ended)
	})
	reusable, err = ask(conn, question)
	if !stop() {
		<-ended
		reusable = false
	}
	return reusable, err
}

func ask(conn net.Conn, question Request) (bool, error) {
	head, body := question.encode()
	if _, err := writeBoth(conn, head, body); err != nil {
		return false, fault.Wrap("pipe.ask", Lost, err)
	}
	reader := bufio.NewReaderSize(io.LimitReader(conn, maxHeaderBytes), readBufferBytes)
	if _, err := reader.Peek(1); err != nil {
		return false, fault.Wrap("pipe.ask", Lost, err)
	}
	// From here on the server has shown that it is reached. An invalid answer only ends the connection.
	response, err := http.ReadResponse(reader, &http.Request{Method: question.Method})
	if err != nil {
		return false, nil
	}
	_, err = io.Copy(io.Discard, response.Body)
	isDelimited := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	isFinal := response.StatusCode >= http.StatusOK && isStatus(response.StatusCode)
	return err == nil && isFinal && isDelimited && !response.Close && reader.Buffered() == 0, nil
}
