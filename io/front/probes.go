package front

import (
	"sync"
	"time"
)

// unreachablePause is how long a process that can't be reached is not probed again: the responses
// that its end cut must count as one failure.
const unreachablePause = 500 * time.Millisecond

// probes runs at most one probe of each process at a time. It is safe for concurrent use.
type probes struct {
	mutex sync.Mutex
	// running holds the processes that are probed, and whether another probe must follow, because
	// its reason is newer than the start of the one that runs.
	running map[string]bool
}

func newProbes() *probes { return &probes{running: map[string]bool{}} }

// start runs a probe of a process in the background, after the one that runs already. Probe returns
// false if the process can't be reached.
func (probes *probes) start(process string, probe func() bool) {
	probes.mutex.Lock()
	defer probes.mutex.Unlock()
	if _, found := probes.running[process]; found {
		probes.running[process] = true
		return
	}
	probes.running[process] = false
	go func() {
		for probe() {
			if !probes.mustRepeat(process) {
				return
			}
		}
		time.Sleep(unreachablePause)
		probes.mutex.Lock()
		defer probes.mutex.Unlock()
		delete(probes.running, process)
	}()
}

// mustRepeat reports whether another probe must follow the one that has ended.
func (probes *probes) mustRepeat(process string) bool {
	probes.mutex.Lock()
	defer probes.mutex.Unlock()
	again := probes.running[process]
	if again {
		probes.running[process] = false
	} else {
		delete(probes.running, process)
	}
	return again
}
