package pipe

import (
	"bufio"
	"bytes"
	"net/http"
	"net/textproto"
	"strings"

	"primrosegw/core/fault"
)

/*
net/http finds the end of a response in a wrong way, without an error, if

  - a space stands before the colon of Content-Length or Transfer-Encoding: the header counts under another
    name, and not as the one of the framing (RFC 9112, section 5.1);
  - an HTTP/1.0 response has a Transfer-Encoding: the header is dropped, and the chunks are read as the body
    (RFC 9112, section 6.1, demands that the framing is held to be faulty).

A part of such a response would look whole.
*/

// usualVersion starts the responses whose Transfer-Encoding net/http reads.
const usualVersion = "HTTP/1.1"

// CheckFraming returns a Malformed error if net/http would misread where the response with this head ends. A
// head is a status line and headers, and may be followed by more.
func CheckFraming(head []byte) error {
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	if _, err := reader.ReadLine(); err != nil {
		return nil
	}
	// net/http fails with the same error.
	header, err := reader.ReadMIMEHeader()
	if err != nil {
		return nil
	}
	if !bytes.HasPrefix(head, []byte(usualVersion)) && len(header["Transfer-Encoding"]) > 0 {
		return fault.New("pipe.framing", Malformed, "a response of HTTP/1.0 has a transfer encoding")
	}
	return checkNames(http.Header(header))
}

// checkNames returns a Malformed error if a header of the framing has a space before its colon.
func checkNames(header http.Header) error {
	for name := range header {
		trimmed := strings.TrimRight(name, " ")
		if len(trimmed) == len(name) {
			continue
		}
		if strings.EqualFold(trimmed, "Content-Length") || strings.EqualFold(trimmed, "Transfer-Encoding") {
			return fault.New("pipe.framing", Malformed, "a space before the colon of "+trimmed)
		}
	}
	return nil
}

// readHead reads the headers of a response, and fails if its end can't be told from them.
func (conn *Conn) readHead(method string) (*http.Response, error) {
	// An error shows again when the response is read.
	version, _ := conn.reader.Peek(len(usualVersion))
	isUsual := string(version) == usualVersion
	if !isUsual {
		buffered, _ := conn.reader.Peek(conn.reader.Buffered())
		conn.limiter.startRecord(buffered)
	}
	response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
	if isUsual && err == nil {
		return response, checkNames(response.Header)
	}
	if record := conn.limiter.endRecord(); err == nil {
		err = CheckFraming(record)
	}
	return response, err
}
