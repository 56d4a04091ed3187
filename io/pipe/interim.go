package pipe

import (
	"bufio"
	"bytes"

	"primrosegw/core/fault"
)

// interimStart is how an interim response starts; "?" is any digit.
const interimStart = "HTTP/1.? 1??"

// skipInterim reads the interim responses that come while the request is written: the server goes on
// with it. It returns when something else has come, the connection has failed or the request is
// written. It fails if these responses break off or are longer than maxHeaderBytes.
func (conn *Conn) skipInterim() error {
	for read := 0; conn.isWriting() && conn.atInterim(); {
		for ended, continued := false, false; !ended; {
			line, err := conn.reader.ReadSlice('\n')
			read += len(line)
			if err != nil && err != bufio.ErrBufferFull {
				return readError(err)
			}
			if read > maxHeaderBytes {
				return fault.New("pipe.interim", Malformed, "the interim responses are too long")
			}
			ended = !continued && len(bytes.TrimRight(line, "\r\n")) == 0
			continued = err != nil
		}
	}
	return nil
}

// atInterim reports whether the next bytes are the start of an interim response other than 101, after
// which no response would follow. It waits only as long as the bytes may become one.
func (conn *Conn) atInterim() bool {
	for index := range len(interimStart) {
		start, err := conn.reader.Peek(index + 1)
		if err != nil || !matches(interimStart[index], start[index]) {
			return false
		}
	}
	start, _ := conn.reader.Peek(len(interimStart))
	return string(start[len(start)-3:]) != "101"
}

func matches(pattern, letter byte) bool {
	return letter == pattern || pattern == '?' && letter >= '0' && letter <= '9'
}

func (conn *Conn) isWriting() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	return conn.writing
}
