// Package weights is the stand-in of the platform's rate-limited weight store.
package weights

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// Options sets the rate and the size of the store's answers. A zero field takes
// the default given with it.
type Options struct {
	// PerSecond is the rate of reads that are answered; default 10.
	PerSecond float64
	// Burst is the number of reads answered at once; default 1.
	Burst int
	// Bytes is the size of the weights of one version; default 4096.
	Bytes int
	// Missing lists "<model>/<version>" that the store does not have.
	Missing []string
}

// Store is the weight store. It has every model and version but those listed as
// missing; the content is derived from the name.
type Store struct {
	limiter *rate.Limiter
	bytes   int
	missing map[string]bool
}

// New returns a store.
func New(options Options) *Store {
	perSecond := rate.Limit(cmp.Or(options.PerSecond, 10))
	store := &Store{
		limiter: rate.NewLimiter(perSecond, cmp.Or(options.Burst, 1)),
		bytes:   cmp.Or(options.Bytes, 4096),
		missing: map[string]bool{},
	}
	for _, name := range options.Missing {
		store.missing[name] = true
	}
	return store
}

// Handler serves GET /weights/<model>/<version>.
func (store *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", store.serve)
	return mux
}

// serve answers within the rate, and with 429 and the time to wait past it.
func (store *Store) serve(writer http.ResponseWriter, request *http.Request) {
	name := request.PathValue("model") + "/" + request.PathValue("version")
	if store.missing[name] {
		http.NotFound(writer, request)
		return
	}
	reservation := store.limiter.Reserve()
	if wait := reservation.Delay(); wait > 0 {
		reservation.Cancel()
		writer.Header().Set("Retry-After", strconv.Itoa(wholeSeconds(wait)))
		http.Error(writer, "rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	writer.Header().Set("Content-Type", "application/octet-stream")
	_, _ = writer.Write(Content(name, store.bytes))
}

// wholeSeconds rounds up, as Retry-After has no fractions.
func wholeSeconds(wait time.Duration) int {
	return int(math.Ceil(wait.Seconds()))
}

// Content returns the bytes of the weights of "<model>/<version>".
func Content(name string, size int) []byte {
	data := make([]byte, 0, size+8)
	state := xxhash.Sum64String(name)
	for len(data) < size {
		data = binary.LittleEndian.AppendUint64(data, state)
		state = xxhash.Sum64(data[len(data)-8:])
	}
	return data[:size]
}
