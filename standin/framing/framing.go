// Package framing decides how the stand-ins show where an answer ends: with a
// length, with chunks, or with the end of the connection (RFC 9112 section 6.3).
package framing

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"primrosegw/core/fault"
)

// Kind is the sort of an error of this package.
type Kind string

// Invalid is the kind of shares that are not understood.
const Invalid Kind = "invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Framing is what shows where an answer ends.
type Framing string

// The framings.
const (
	Length     Framing = "length"
	Chunks     Framing = "chunks"
	Connection Framing = "connection"
)

// Shares are the relative shares of answers by framing. The zero value stands
// for equal ones.
type Shares struct {
	Length, Chunks, Connection float64
}

// Only returns the shares of answers that all have one framing.
func Only(framing Framing) Shares {
	var shares Shares
	*shares.share(framing) = 1
	return shares
}

// share returns the field of a framing; nil if there is none of that name.
func (shares *Shares) share(framing Framing) *float64 {
	switch framing {
	case Length:
		return &shares.Length
	case Chunks:
		return &shares.Chunks
	case Connection:
		return &shares.Connection
	}
	return nil
}

// UnmarshalText reads shares such as "length=2,connection=1". A framing that is
// not named has none.
func (shares *Shares) UnmarshalText(text []byte) error {
	const op = "framing.UnmarshalText"
	*shares = Shares{}
	for field := range strings.SplitSeq(string(text), ",") {
		name, value, _ := strings.Cut(field, "=")
		share := shares.share(Framing(name))
		if share == nil {
			return fault.New(op, Invalid, fmt.Sprintf("%q is not length, chunks or connection", name))
		}
		var err error
		if *share, err = strconv.ParseFloat(value, 64); err != nil {
			return fault.New(op, Invalid, fmt.Sprintf("%q is not a number", value))
		}
	}
	if err := shares.Check(); err != nil {
		return err
	}
	if shares.total() == 0 {
		return fault.New(op, Invalid, "all shares are 0")
	}
	return nil
}

// MarshalText is the reverse of UnmarshalText.
func (shares Shares) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%s=%g,%s=%g,%s=%g", Length, shares.Length, Chunks, shares.Chunks, Connection, shares.Connection), nil
}

// maximumShare bounds a share, so that their sum is finite.
const maximumShare = 1e6

// Check returns an error if a share can't be used.
func (shares Shares) Check() error {
	for _, share := range []float64{shares.Length, shares.Chunks, shares.Connection} {
		if !(share >= 0 && share < maximumShare) {
			return fault.New("framing.Check", Invalid, fmt.Sprintf("%g is not a share from 0 to %g", share, float64(maximumShare)))
		}
	}
	return nil
}

func (shares *Shares) total() float64 {
	return shares.Length + shares.Chunks + shares.Connection
}

// Draw draws the framing of an answer.
func (shares Shares) Draw(random *rand.Rand) Framing {
	if shares.total() == 0 {
		shares = Shares{Length: 1, Chunks: 1, Connection: 1}
	}
	draw := random.Float64() * shares.total()
	switch {
	case draw < shares.Length:
		return Length
	case draw < shares.Length+shares.Chunks:
		return Chunks
	}
	return Connection
}

// Source draws the framings of answers that are written at the same time.
type Source struct {
	shares Shares
	mutex  sync.Mutex
	random *rand.Rand
}

// NewSource returns a source with a seed.
func NewSource(shares Shares, seed uint64) *Source {
	return &Source{shares: shares, random: rand.New(rand.NewPCG(seed, 0x6672616d65))}
}

// Draw draws the framing of the next answer.
func (source *Source) Draw() Framing {
	source.mutex.Lock()
	defer source.mutex.Unlock()
	return source.shares.Draw(source.random)
}

// WriteHead sends the head of an answer whose body has the given length, which
// is used with the framing Length only.
func (framing Framing) WriteHead(writer http.ResponseWriter, status, length int) error {
	header := writer.Header()
	switch framing {
	case Length:
		header.Set("Content-Length", strconv.Itoa(length))
	case Connection:
		// net/http then sends neither a length nor chunks and closes the connection.
		header.Set("Transfer-Encoding", "identity")
	}
	writer.WriteHeader(status)
	if framing == Chunks {
		// Without it net/http gives a short body a length.
		return http.NewResponseController(writer).Flush()
	}
	return nil
}
