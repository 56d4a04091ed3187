package duty_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/duty"
	"primrosegw/core/fault"
)

const (
	settle      = 1500 * time.Millisecond
	callTimeout = time.Second
)

// heldLease is a lease whose state a test sets.
type heldLease struct {
	fence     int64
	remaining time.Duration
}

func (lease *heldLease) Current() (int64, time.Duration) { return lease.fence, lease.remaining }

func newHolder(lease *heldLease) *duty.Holder {
	return duty.NewHolder(duty.Options{Lease: lease, Host: "host-a", Settle: settle, CallTimeout: callTimeout})
}

// Guards against calls before the time to settle is over, without the lease, or with so little of it left
// that the call may arrive after another host has taken over.
func TestPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lease := &heldLease{fence: 7, remaining: 3 * time.Second}
		holder := newHolder(lease)
		_, permitted := holder.Permit(time.Now())
		require.False(t, permitted, "the term has just begun")
		time.Sleep(settle)
		permit, permitted := holder.Permit(time.Now())
		require.True(t, permitted)
		require.Equal(t, duty.Permit{Holder: "host-a", Fence: 7}, permit)
		lease.remaining = callTimeout
		_, permitted = holder.Permit(time.Now())
		require.False(t, permitted, "a call may take longer than the lease")
		*lease = heldLease{}
		_, permitted = holder.Permit(time.Now())
		require.False(t, permitted, "the lease is lost")
		*lease = heldLease{fence: 9, remaining: 3 * time.Second}
		_, permitted = holder.Permit(time.Now())
		require.False(t, permitted, "the next term begins with a time to settle, too")
	})
}

// Guards against a host that acts although it has heard of a higher token, and against one that takes a
// term for the next of its own though another host has had one in between.
func TestHigherTokenEndsATerm(t *testing.T) {
	lease := &heldLease{fence: 7, remaining: 3 * time.Second}
	holder := newHolder(lease)
	now := time.Now()
	holder.Permit(now)
	now = now.Add(settle)
	_, permitted := holder.Permit(now)
	require.True(t, permitted)

	*lease = heldLease{}
	holder.Permit(now)
	*lease = heldLease{fence: 8, remaining: 3 * time.Second}
	holder.ObserveFence(8)
	holder.Permit(now)
	permit, _ := holder.Permit(now.Add(settle))
	require.True(t, permit.Continues)

	holder.ObserveFence(10)
	require.True(t, holder.Superseded())
	_, permitted = holder.Permit(now.Add(settle))
	require.False(t, permitted)
	*lease = heldLease{fence: 11, remaining: 3 * time.Second}
	holder.Permit(now)
	permit, permitted = holder.Permit(now.Add(settle))
	require.True(t, permitted)
	require.False(t, permit.Continues)
}

// Guards against a host that takes its own new token for that of another host because the store's changes
// tell of it before the lease counts as acquired: it would leave out windows that nobody else has reported.
// Guards also against one that hears only after its term has begun that another host had the duty between.
func TestTermContinuesUnlessAnotherHostHadATokenBetween(t *testing.T) {
	for name, other := range map[string]int64{"own token only": 0, "another host's token, heard late": 8} {
		lease := &heldLease{fence: 7, remaining: 3 * time.Second}
		holder := newHolder(lease)
		now := time.Now()
		holder.Permit(now)
		_, permitted := holder.Permit(now.Add(settle))
		require.True(t, permitted)
		*lease = heldLease{}
		holder.Permit(now)
		holder.ObserveFence(7)
		if other == 0 {
			holder.ObserveFence(9)
		}
		*lease = heldLease{fence: 9, remaining: 3 * time.Second}
		holder.Permit(now)
		holder.ObserveFence(9)
		if other != 0 {
			holder.ObserveFence(other)
		}
		permit, permitted := holder.Permit(now.Add(settle))
		require.True(t, permitted)
		require.Equal(t, other == 0, permit.Continues, name)
	}
}

// Guards against a host that keeps a duty though its calls get no answers, and against one that gives it up
// because the platform refuses a call.
func TestHolderResignsWithoutAnswers(t *testing.T) {
	lease := &heldLease{fence: 7, remaining: 3 * time.Second}
	holder := newHolder(lease)
	now := time.Now()
	lost, refused := fault.New("test", duty.Uncertain, ""), fault.New("test", duty.Unavailable, "")
	for _, err := range []error{lost, lost, refused, lost, lost, nil, lost, lost} {
		holder.RecordCall(err, now)
	}
	require.False(t, holder.HasResigned(now))
	holder.RecordCall(lost, now)
	require.True(t, holder.HasResigned(now.Add(9*time.Second)))
	require.False(t, holder.HasResigned(now.Add(10*time.Second)))
}

// Guards against a token that is given out twice: by two holders in a row, or again by a store that was
// restored from a copy with an older counter.
func TestNextFence(t *testing.T) {
	first := duty.NextFence(0, 0)
	require.Equal(t, int64(1), first)
	require.Equal(t, int64(2), duty.NextFence(0, first))
	restored := duty.NextFence(1, first)
	require.Greater(t, restored, duty.NextFence(0, 1<<31))
	require.Equal(t, int64(1), duty.FenceEra(restored))
	require.Equal(t, restored+1, duty.NextFence(1, restored))
	require.Greater(t, duty.NextFence(0, restored), restored, "a token of a later era that the host has heard of")
}
