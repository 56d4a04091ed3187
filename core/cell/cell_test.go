package cell_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/cell"
	"primrosegw/core/fault"
)

// backendFunc is a function that implements cell.Backend.
type backendFunc func(ctx context.Context, call cell.Call, emit func(cell.Chunk) error) error

// Generate implements cell.Backend.
func (backend backendFunc) Generate(ctx context.Context, call cell.Call, emit func(cell.Chunk) error) error {
	return backend(ctx, call, emit)
}

// tokenBackend returns a backend that emits count tokens, one per interval.
func tokenBackend(count int, interval time.Duration) backendFunc {
	return func(ctx context.Context, call cell.Call, emit func(cell.Chunk) error) error {
		for offset := call.ResumeTokens; offset < count; offset++ {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(interval):
			}
			if err := emit(cell.Chunk{Offset: offset, Tokens: 1, Text: call.Request.ID + " ", FinishReason: finishReason(offset, count)}); err != nil {
				return err
			}
		}
		return nil
	}
}

// Guards against a queue that serves lower tiers before higher ones.
func TestHigherTierGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{Servers: []cell.Server{{Name: "one", Slots: 1, Backend: tokenBackend(3, time.Millisecond)}}})
		ended := make(chan string, 3)
		serve := func(id string, tier int) {
			_, err := subject.Serve(t.Context(), cell.Request{ID: id, Tier: tier}, func(cell.Chunk) error { return nil })
			require.NoError(t, err)
			ended <- id
		}
		go serve("first", 3)
		synctest.Wait()
		go serve("low", 3)
		synctest.Wait()
		go serve("high", 1)
		require.Equal(t, []string{"first", "high", "low"}, []string{<-ended, <-ended, <-ended})
		require.Equal(t, 1, subject.Summary().Free)
	})
}

// Guards against the loss of queued calls when the cell moves to another host.
func TestCloseHandsQueuedWorkBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subject := cell.New(cell.Options{})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			outcome, err := subject.Serve(t.Context(), cell.Request{ID: "a", Tier: 1}, func(cell.Chunk) error { return nil })
			require.True(t, fault.Is(err, cell.Closed))
			require.Equal(t, cell.NotRun, outcome.Run)
		}()
		synctest.Wait()
		require.Equal(t, uint32(60_000), subject.Summary().WaitMs[0], "a cell without servers looks busy")
		subject.Close()
		<-ended
	})
}

// finishReason returns the finish reason of the token at an offset.
func finishReason(offset, count int) string {
	if offset == count-1 {
		return "stop"
	}
	return ""
}
