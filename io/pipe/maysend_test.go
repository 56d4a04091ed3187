package pipe_test

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/io/pipe"
)

// Guards against a request that is written although its permission has run out since it was decided.
func TestForbiddenRequestIsNotSent(t *testing.T) {
	received := make(chan int64, 1)
	address := serve(t, func(_ net.Conn, reader *bufio.Reader) {
		count, _ := io.Copy(io.Discard, reader)
		received <- count
	})
	conn, err := pipe.New(pipe.Options{}).Get(t.Context(), address, address, 0)
	require.NoError(t, err)
	request := newRequest("x")
	request.MaySend = func() bool { return false }
	_, err = conn.Send(request, testDeadline())
	require.True(t, fault.Is(err, pipe.Unsent), "%v", err)
	conn.Discard()
	require.Zero(t, <-received)
}
