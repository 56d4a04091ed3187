package ledger_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/ledger"
	"primrosegw/core/store"
	"primrosegw/standin/kv"
)

const partitionKey = "primrosegw/test/ledger/0"

// withLedger runs a test on a fake clock with a key-value service and a function
// that opens ledgers of one partition on it.
func withLedger(t *testing.T, options ledger.Options,
	test func(t *testing.T, service *kv.Service, open func() *ledger.Ledger),
) {
	synctest.Test(t, func(t *testing.T) {
		service := kv.New(kv.Options{})
		options.Store, options.Environment, options.Partitions = service, "test", 1
		test(t, service, func() *ledger.Ledger {
			host, err := ledger.New(options)
			require.NoError(t, err)
			t.Cleanup(host.Close)
			return host
		})
	})
}

// TestVerdicts checks the verdict for each state of a key. A wrong verdict lets a
// call run twice or hides its outcome.
func TestVerdicts(t *testing.T) {
	withLedger(t, ledger.Options{}, func(t *testing.T, _ *kv.Service, open func() *ledger.Ledger) {
		ctx := t.Context()
		first, second := open(), open()
		decision, err := first.Begin(ctx, key(1))
		require.NoError(t, err)
		require.Equal(t, ledger.Run, decision.Verdict)
		require.WithinDuration(t, time.Now().Add(24*time.Hour), decision.DispatchUntil, time.Second)
		again, err := first.Begin(ctx, key(1))
		require.NoError(t, err)
		require.Equal(t, ledger.InProgress, again.Verdict)
		elsewhere, err := second.Begin(ctx, key(1))
		require.NoError(t, err)
		require.Equal(t, ledger.Unknown, elsewhere.Verdict)

		other := key(1)
		other.BodyHash[0]++
		_, err = second.Begin(ctx, other)
		require.True(t, fault.Is(err, ledger.Mismatch))
		require.ErrorContains(t, err, "body")

		outcome := ledger.Outcome{
			Status: 201, Headers: map[string]string{"Location": "/a", "X-Other": "dropped"}, Body: []byte("filed"),
		}
		require.NoError(t, first.Finish(ctx, key(1), outcome))
		delete(outcome.Headers, "X-Other")
		for _, host := range []*ledger.Ledger{first, second, open()} {
			recorded, err := host.Begin(ctx, key(1))
			require.NoError(t, err)
			require.Equal(t, ledger.Decision{Verdict: ledger.Recorded, Outcome: outcome}, recorded)
		}
	})
}

// TestAbandon checks that abandoning a call frees its key, and that only the
// attempt that wrote the intent can do so.
func TestAbandon(t *testing.T) {
	withLedger(t, ledger.Options{}, func(t *testing.T, _ *kv.Service, open func() *ledger.Ledger) {
		ctx := t.Context()
		first, second := open(), open()
		_, err := first.Begin(ctx, key(1))
		require.NoError(t, err)
		require.True(t, fault.Is(second.Abandon(ctx, key(1)), ledger.Invalid))
		wrong := key(1)
		wrong.Attempt = ledger.NewAttempt()
		require.NoError(t, second.Abandon(ctx, wrong))
		held, err := second.Begin(ctx, key(1))
		require.NoError(t, err)
		require.Equal(t, ledger.Unknown, held.Verdict)
		require.NoError(t, first.Abandon(ctx, key(1)))
		decision, err := second.Begin(ctx, key(1))
		require.NoError(t, err)
		require.Equal(t, ledger.Run, decision.Verdict)
	})
}

// TestOutage checks that during an outage of the service a new call waits until its
// deadline and then fails with NotRun, and that a call which this host has started
// is never reported as not run.
func TestOutage(t *testing.T) {
	withLedger(t, ledger.Options{}, func(t *testing.T, service *kv.Service, open func() *ledger.Ledger) {
		host := open()
		_, err := host.Begin(t.Context(), key(1))
		require.NoError(t, err)
		service.Down(true)
		started := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err = host.Begin(ctx, key(2))
		require.True(t, fault.Is(err, ledger.NotRun))
		require.Equal(t, 5*time.Second, time.Since(started))
		ctx, cancel = context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		decision, err := host.Begin(ctx, key(1))
		require.NoError(t, err)
		require.Equal(t, ledger.InProgress, decision.Verdict)

		waiting, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		time.AfterFunc(10*time.Second, func() { service.Down(false) })
		decision, err = host.Begin(waiting, key(2))
		require.NoError(t, err)
		require.Equal(t, ledger.Run, decision.Verdict)
	})
}

// TestOutageAfterRest checks that a host which has freed the records of an idle
// partition still does not report a call that it let run as not run during an
// outage. It may do so for an abandoned call.
func TestOutageAfterRest(t *testing.T) {
	withLedger(t, ledger.Options{}, func(t *testing.T, service *kv.Service, open func() *ledger.Ledger) {
		host := open()
		for number := range 2 {
			_, err := host.Begin(t.Context(), key(number))
			require.NoError(t, err)
		}
		require.NoError(t, host.Finish(t.Context(), key(0), ledger.Outcome{Status: 200}))
		require.NoError(t, host.Abandon(t.Context(), key(1)))
		time.Sleep(time.Hour)
		service.Down(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		decision, err := host.Begin(ctx, key(0))
		require.NoError(t, err)
		require.Equal(t, ledger.Unknown, decision.Verdict)
		ctx, cancel = context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = host.Begin(ctx, key(1))
		require.True(t, fault.Is(err, ledger.NotRun))
	})
}

// TestWritesStayWithinBudget checks that load does not raise the write rate of a
// partition: the service handles only a few hundred writes per second from all
// hosts.
func TestWritesStayWithinBudget(t *testing.T) {
	withLedger(t, ledger.Options{}, func(t *testing.T, service *kv.Service, open func() *ledger.Ledger) {
		host := open()
		var group sync.WaitGroup
		for number := range 2000 {
			group.Go(func() {
				time.Sleep(time.Duration(number) * 5 * time.Millisecond)
				key := ledger.Key{Workspace: "w", IdempotencyKey: fmt.Sprint(number)}
				decision, err := host.Begin(t.Context(), key)
				require.NoError(t, err)
				require.Equal(t, ledger.Run, decision.Verdict)
				require.NoError(t, host.Finish(t.Context(), key, ledger.Outcome{Status: 200}))
			})
		}
		started := time.Now()
		group.Wait()
		writes := float64(service.Calls()["txn"]) / time.Since(started).Seconds()
		t.Logf("%.2f writes a second and %v calls for 4,000 changes", writes, service.Calls())
		require.LessOrEqual(t, writes, 4.1)
		require.LessOrEqual(t, service.Calls()["range"], 1)
	})
}

// TestFullPartition checks that a full partition rejects new calls, keeps the
// records of all accepted ones and stays below the service's value size limit.
func TestFullPartition(t *testing.T) {
	withLedger(t, ledger.Options{MaximumPending: 20000}, func(t *testing.T, service *kv.Service, open func() *ledger.Ledger) {
		host := open()
		var group sync.WaitGroup
		var mutex sync.Mutex
		accepted := []ledger.Key{}
		begin := func(key ledger.Key) {
			decision, err := host.Begin(t.Context(), key)
			if err != nil {
				require.True(t, fault.Is(err, ledger.Full), "%v", err)
				return
			}
			require.Equal(t, ledger.Run, decision.Verdict)
			mutex.Lock()
			accepted = append(accepted, key)
			mutex.Unlock()
		}
		for number := range 8000 {
			group.Go(func() { begin(ledger.Key{Workspace: "w", IdempotencyKey: fmt.Sprint(number)}) })
		}
		group.Wait()
		require.InDelta(t, 4900, len(accepted), 200)
		body := []byte(strings.Repeat("x", 2000))
		for _, key := range accepted {
			group.Go(func() {
				require.NoError(t, host.Finish(t.Context(), key, ledger.Outcome{Status: 200, Body: body}))
			})
		}
		group.Wait()
		entry, err := service.Get(t.Context(), partitionKey)
		require.NoError(t, err)
		t.Logf("%d calls in %d bytes", len(accepted), len(entry.Value))
		require.Less(t, len(entry.Value), store.MaximumValueBytes)
		for _, key := range accepted {
			group.Go(func() {
				decision, err := host.Begin(t.Context(), key)
				require.NoError(t, err)
				require.Equal(t, ledger.Recorded, decision.Verdict)
			})
		}
		group.Wait()
	})
}

// TestRetention checks that a finished record is removed after the retention and an
// unfinished one after twice the retention. The margin covers clock skew, with
// which a paused host could still dispatch the call.
func TestRetention(t *testing.T) {
	withLedger(t, ledger.Options{Retention: time.Hour}, func(t *testing.T, _ *kv.Service, open func() *ledger.Ledger) {
		ctx := t.Context()
		host := open()
		for number := range 2 {
			_, err := host.Begin(ctx, key(number))
			require.NoError(t, err)
		}
		require.NoError(t, host.Finish(ctx, key(0), ledger.Outcome{Status: 200}))
		verdict := func(number int) ledger.Verdict {
			decision, err := host.Begin(ctx, key(number))
			require.NoError(t, err)
			return decision.Verdict
		}
		time.Sleep(55 * time.Minute)
		require.Equal(t, ledger.Recorded, verdict(0))
		require.Equal(t, ledger.Unknown, verdict(1))
		time.Sleep(10 * time.Minute)
		require.Equal(t, ledger.Run, verdict(0))
		require.Equal(t, ledger.Unknown, verdict(1))
		time.Sleep(time.Hour)
		require.Equal(t, ledger.Run, verdict(1))
	})
}

// TestInvalidKeys checks that an error about an invalid key names the field.
func TestInvalidKeys(t *testing.T) {
	withLedger(t, ledger.Options{}, func(t *testing.T, _ *kv.Service, open func() *ledger.Ledger) {
		host := open()
		for field, key := range map[string]ledger.Key{
			"workspace":   {IdempotencyKey: "k"},
			"idempotency": {Workspace: "w", IdempotencyKey: strings.Repeat("k", 257)},
			"attempt":     {Workspace: "w", IdempotencyKey: "k", Attempt: strings.Repeat("k", 65)},
		} {
			_, err := host.Begin(t.Context(), key)
			require.True(t, fault.Is(err, ledger.Invalid))
			require.ErrorContains(t, err, field)
		}
	})
}
