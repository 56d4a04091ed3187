package plain

import (
	"bytes"
	"context"
	"net"

	"primrosegw/io/pipe"
)

// headConn is a connection for one call. It fails if the answer's head misleads net/http about where the
// answer ends. It can't look into TLS.
type headConn struct {
	net.Conn
	head    []byte
	checked bool
}

// dialChecked returns a function that opens connections whose answers are checked.
func dialChecked(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &headConn{Conn: conn}, nil
	}
}

// Read implements net.Conn.
func (conn *headConn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	if conn.checked {
		return count, err
	}
	conn.head = append(conn.head, buffer[:count]...)
	if framingErr := conn.check(); framingErr != nil {
		return 0, framingErr
	}
	return count, err
}

// check checks the heads that are complete, up to that of the answer. Interim ones may come before it.
func (conn *headConn) check() error {
	for !conn.checked {
		end := headEnd(conn.head)
		if end < 0 {
			conn.checked = len(conn.head) > maxHeaderBytes
			break
		}
		head := conn.head[:end]
		if err := pipe.CheckFraming(head); err != nil {
			return err
		}
		_, status, _ := bytes.Cut(head, []byte(" "))
		conn.checked = !bytes.HasPrefix(status, []byte("1"))
		conn.head = conn.head[end:]
	}
	if conn.checked {
		conn.head = nil
	}
	return nil
}

// headEnd returns where the first head in data ends, after its empty line; -1 if it does not.
func headEnd(data []byte) int {
	for index := range data {
		rest, isLine := bytes.CutPrefix(data[index:], []byte("\n"))
		if !isLine {
			continue
		}
		for _, empty := range []string{"\r\n", "\n"} {
			if bytes.HasPrefix(rest, []byte(empty)) {
				return index + 1 + len(empty)
			}
		}
	}
	return -1
}
