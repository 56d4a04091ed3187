package front_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a crash that a probe does not see, because it takes a kept connection which the ending process has not closed yet.
func TestProbeOnAKeptConnectionDoesNotHideACrash(t *testing.T) {
	for name, respond := range map[string]responder{
		"unframed": respondUntilEnd(200, events(1, 3), eventStream),
		"framed":   respondWithStream(false, events(1, 3)),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil)
			began := make(chan struct{}, 2)
			release := make(chan struct{})
			harness.addStoppableServer("a", func(request *http.Request, conn net.Conn, stop func()) {
				if request.URL.Path == "/once/" {
					began <- struct{}{}
					<-release
					respondWith(200, "kept", signed)(request, conn)
					return
				}
				stop()
				respond(request, conn)
				time.AfterFunc(100*time.Millisecond, func() { harness.closeConns("a") })
			})
			var group sync.WaitGroup
			for _, id := range []string{"kept-1", "kept-2"} {
				group.Go(func() { harness.post("/once/", "x", "X-Id", id) })
			}
			<-began
			<-began
			close(release)
			group.Wait()
			require.Error(t, harness.post("/stream/", "x", "X-Id", "cut").err)
			time.Sleep(time.Second)
			// The only server is gone, and the next request must not be what finds it out.
			require.Contains(t, harness.log.String(), "server_crashed")
		})
	}
}
