package e2e_test

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/heads"
	"primrosegw/io/admin"
)

// inForceBound is the time in which an accepted document is in force on every
// live host.
const inForceBound = 7 * time.Second

// TestPromotionUnderFaults guards against documents that revert, that only some
// hosts have in force, and against two operators who both win: hosts are killed
// and frozen while two operators promote, then the key-value service goes down
// and the frozen host wakes.
func TestPromotionUnderFaults(t *testing.T) {
	fleet := newFleet(t, 8, 4)
	watch := fleet.watchGenerations(t)
	fleet.hosts[6].signal(t, syscall.SIGSTOP)
	fleet.hosts[7].signal(t, syscall.SIGKILL)

	wins, conflicts := 0, 0
	var generation uint64
	var mutex sync.Mutex
	var group sync.WaitGroup
	for operator := range 2 {
		group.Go(func() {
			changed, err := fleet.promote(t, operator, fmt.Sprintf("lot-race-%d", operator))
			mutex.Lock()
			defer mutex.Unlock()
			var problem *admin.Problem
			switch {
			case err == nil:
				wins++
				generation = max(generation, changed.Heads.Generation)
			case errors.As(err, &problem):
				// The loser is told why: another trial or promotion came first.
				conflicts++
				assert.Contains(t, []string{string(heads.Conflict), string(heads.NotTried)}, problem.Kind, problem.Error())
			default:
				t.Error(err)
			}
		})
	}
	group.Wait()
	require.GreaterOrEqual(t, wins, 1)
	assert.Equal(t, 2, wins+conflicts)

	promoted := time.Now()
	for index := range 6 {
		fleet.waitHost(t, index, generation)
	}
	assert.LessOrEqual(t, time.Since(promoted), inForceBound)

	// The frozen host wakes while the service is down: its peers tell it.
	fleet.fault("down", true)
	fleet.hosts[6].signal(t, syscall.SIGCONT)
	woke := time.Now()
	fleet.waitHost(t, 6, generation)
	assert.LessOrEqual(t, time.Since(woke), inForceBound)
	fleet.fault("down", false)
	watch.end(t)
}

// TestRecallIsConfirmed guards against a recall that ends before every live host
// has confirmed it, and against a lot that comes back.
func TestRecallIsConfirmed(t *testing.T) {
	fleet := newFleet(t, 8, 4)
	watch := fleet.watchGenerations(t)
	_, err := fleet.promote(t, 0, "lot-bad")
	require.NoError(t, err)
	began := time.Now()
	changed, err := fleet.operator(1).Recall(t.Context(), "lot-bad", "wrong answers")
	require.NoError(t, err)
	assert.Equal(t, "lot-1", changed.Heads.Production.Lot)
	eventually(t, "all hosts confirm", func() bool {
		confirmed, err := fleet.operator(2).Confirmed(t.Context(), changed.Heads.Generation)
		return err == nil && len(confirmed.Waiting) == 0 && len(confirmed.Confirmed) == 8
	})
	assert.LessOrEqual(t, time.Since(began), inForceBound)
	_, err = fleet.promote(t, 3, "lot-bad")
	var problem *admin.Problem
	require.ErrorAs(t, err, &problem)
	assert.Equal(t, string(heads.Recalled), problem.Kind)
	watch.end(t)
}

// promote tries and promotes the fleet's document under another lot.
func (fleet *fleet) promote(t *testing.T, host int, lot string) (admin.Changed, error) {
	document := fleet.document
	document.Lot = lot
	data, err := json.Marshal(document)
	if err != nil {
		return admin.Changed{}, err
	}
	client := fleet.operator(host)
	if changed, err := client.Trial(t.Context(), data, "race"); err != nil {
		return changed, err
	}
	return client.Promote(t.Context(), heads.Digest(data), "race")
}

func (fleet *fleet) waitHost(t *testing.T, index int, generation uint64) {
	t.Helper()
	eventually(t, fmt.Sprintf("host-%d has generation %d", index, generation), func() bool {
		status, err := fleet.operator(index).Status(t.Context())
		return err == nil && status.Generation >= generation
	})
}

// generations watches that no host's generation goes back.
type generations struct {
	stop  chan struct{}
	group sync.WaitGroup
	mutex sync.Mutex
	back  []string
}

func (fleet *fleet) watchGenerations(t *testing.T) *generations {
	t.Helper()
	watch := &generations{stop: make(chan struct{})}
	for index := range fleet.hosts {
		watch.group.Go(func() {
			var highest uint64
			for {
				select {
				case <-watch.stop:
					return
				case <-time.After(poll):
				}
				status, err := fleet.operator(index).Status(t.Context())
				if err != nil {
					continue
				}
				if status.Generation < highest {
					watch.mutex.Lock()
					watch.back = append(watch.back, fmt.Sprintf("host-%d from %d to %d", index, highest, status.Generation))
					watch.mutex.Unlock()
				}
				highest = max(highest, status.Generation)
			}
		})
	}
	return watch
}

func (watch *generations) end(t *testing.T) {
	t.Helper()
	close(watch.stop)
	watch.group.Wait()
	assert.Empty(t, watch.back)
}
