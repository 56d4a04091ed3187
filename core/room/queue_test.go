package room_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fleet"
	"primrosegw/core/room"
)

// line runs requests that wait for the one place of a brittle server, each for workTime, and holds the
// workspaces in the order in which they were sent.
type line struct {
	limiter *room.Limiter
	server  fleet.Server
	mutex   sync.Mutex
	sent    []string
}

func newLine() *line {
	line := &line{limiter: room.New("host"), server: fleet.Server{ID: "i-0", Service: "service"}}
	line.limiter.Observe(line.server, room.Observation{Number: 3, Slots: 1}, time.Now())
	line.limiter.Take(line.server, nil, time.Now())
	return line
}

// join lets a request wait, which runs when its turn comes. It reports whether it was queued.
func (line *line) join(ctx context.Context, workspace string, rank int) bool {
	ticket, _ := line.limiter.Join(room.Request{Service: "service", Workspace: workspace, Rank: rank, MaxWait: time.Hour}, time.Now())
	if ticket == nil {
		return false
	}
	go func() {
		for !line.limiter.Take(line.server, ticket, time.Now()) {
			if !line.limiter.Await(ctx, ticket, nil) {
				line.limiter.Leave(ticket)
				return
			}
		}
		line.mutex.Lock()
		line.sent = append(line.sent, fmt.Sprint(workspace, rank))
		line.mutex.Unlock()
		takenAt := time.Now()
		time.Sleep(workTime)
		line.limiter.Done(line.server, true, takenAt, time.Now())
	}()
	return true
}

// order returns the workspaces and ranks in the order in which they were sent.
func (line *line) order() []string {
	line.mutex.Lock()
	defer line.mutex.Unlock()
	return slices.Clone(line.sent)
}

// keepBrittle lets the server say that it is brittle until the context is done.
func (line *line) keepBrittle(ctx context.Context) {
	for ctx.Err() == nil {
		line.limiter.Observe(line.server, room.Observation{Number: 3, Slots: 1}, time.Now())
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
		}
	}
}

// Guards against a workspace with many requests that keeps another one waiting, and against requests
// that are sent before more urgent ones.
func TestRequestsWaitInOrderOfRankAndFairly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		line := newLine()
		go line.keepBrittle(ctx)
		for range 20 {
			require.True(t, line.join(ctx, "many", 1))
		}
		for range 3 {
			require.True(t, line.join(ctx, "few", 1))
		}
		require.True(t, line.join(ctx, "urgent", 0))
		synctest.Wait()
		require.Empty(t, line.order(), "the place is taken")
		line.limiter.Done(line.server, true, time.Now(), time.Now())
		time.Sleep(30 * workTime)
		cancel()
		time.Sleep(workTime)
		order := line.order()
		require.Len(t, order, 24, "each request is sent")
		require.Equal(t, "urgent0", order[0])
		few := 0
		for _, sent := range order[1:7] {
			if sent == "few1" {
				few++
			}
		}
		require.Equal(t, 3, few, "sent: %v", order)
	})
}

// Guards against requests that wait in vain, and against a refusal that tells no time after which there
// is likely to be room.
func TestRequestThatWouldWaitTooLongIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		line := newLine()
		request := room.Request{Service: "service", MaxWait: 200 * time.Millisecond}
		joined := 0
		for range 100 {
			ticket, wait := line.limiter.Join(request, time.Now())
			if ticket == nil {
				require.Greater(t, wait, request.MaxWait)
				break
			}
			joined++
		}
		require.Equal(t, 4, joined, "50 ms are assumed for each request at first")
		line.limiter.SetHosts([]string{"host", "host-1", "host-2", "host-3", "host-4", "host-5"}, time.Now())
		_, share, _ := line.limiter.Limit(line.server, time.Now())
		require.Zero(t, share)
		ticket, wait := line.limiter.Join(request, time.Now())
		require.Nil(t, ticket)
		require.Less(t, wait, time.Second, "another host has the room")
	})
}

// Guards against a request that leaves the queue and blocks those after it.
func TestRequestThatLeavesLetsOthersPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		line := newLine()
		first, leave := context.WithCancel(ctx)
		require.True(t, line.join(first, "first", 0))
		require.True(t, line.join(ctx, "second", 0))
		leave()
		synctest.Wait()
		require.False(t, line.limiter.Take(line.server, nil, time.Now()))
		line.limiter.Done(line.server, true, time.Now(), time.Now())
		time.Sleep(workTime)
		cancel()
		synctest.Wait()
		require.Equal(t, []string{"second0"}, line.order())
	})
}

// Guards against requests that are refused because sound servers are silent for a while, and against requests that are sent
// to a server without room because they have waited for long.
func TestRequestsPassSilentServersOnly(t *testing.T) {
	for _, isBrittle := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			limiter, server := room.New("host"), fleet.Server{ID: "i-0", Service: "service", Slots: 2}
			limiter.SetHosts([]string{"host", "host-1", "host-2", "host-3"}, time.Now())
			limiter.Heard("host-1", time.Now())
			require.True(t, limiter.Take(server, nil, time.Now()))
			var tickets []*room.Ticket
			for range 100 {
				ticket, _ := limiter.Join(room.Request{Service: "service", MaxWait: time.Second}, time.Now())
				require.NotNil(t, ticket, "nobody knows how long it would wait")
				require.False(t, limiter.Take(server, ticket, time.Now()))
				tickets = append(tickets, ticket)
			}
			if isBrittle {
				limiter.Observe(server, room.Observation{Number: 3, Slots: 2}, time.Now())
			}
			time.Sleep(time.Second)
			for _, ticket := range tickets {
				require.Equal(t, !isBrittle, limiter.LetPass(ticket, time.Now()))
				require.Equal(t, !isBrittle, limiter.Brittle().Wait(server, time.Now()) == 0)
				require.Equal(t, !isBrittle, limiter.Take(server, ticket, time.Now()))
				require.False(t, limiter.LetPass(ticket, time.Now()), "once")
			}
		})
	}
}
