package dial_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/io/dial"
)

// Guards against the end of an attempt at a sound server that is silent for a while: the first packet of one
// direct dial is lost, so that another host reaches the server's listener first, and the question of the next direct
// dial gets no byte, as the server is silent. None of that shows a cut: no byte of the server has come either way.
func TestLostPacketAndSilenceAreNoCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		play := newPlay(way{}, way{delay: time.Millisecond}).asking(map[string]string{"direct": "silent", "a": "silent"})
		var dials atomic.Int64
		play.options.Direct = func(ctx context.Context, _ string) (net.Conn, error) {
			if dials.Add(1) == 1 {
				return never.run(ctx, play.conns, "direct")
			}
			return way{delay: time.Millisecond}.run(ctx, play.conns, "direct")
		}
		play.Dialer = dial.New(play.options)
		// An attempt is in flight, and its server is silent from here on for 1.5 s.
		silentSince := time.Now()
		play.paths.RecordByte("p", silentSince)
		time.Sleep(200 * time.Millisecond)
		_, _, err := play.Dial(t.Context(), "p", "address", false)
		require.NoError(t, err)
		for time.Since(silentSince) < 1500*time.Millisecond {
			require.False(t, play.paths.Breaks("p", silentSince, time.Now()), "the attempt ends after %v", time.Since(silentSince))
			for _, process := range play.paths.DueDials(time.Now()) {
				go play.Redial(t.Context(), process, "address")
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}
