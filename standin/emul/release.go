package emul

import (
	"fmt"
	"time"
)

const (
	// drainTime is the time for which a leaving server keeps its requests, releaseTime that from the
	// beginning of its leave to the start of its successor, and warmTime that for which the successor is
	// slow.
	drainTime   = 2 * time.Second
	releaseTime = 3 * time.Second
	warmTime    = 3 * time.Second
)

// release replaces servers in a row, each by a process with an empty cache.
func (world *world) release(affected []server, trouble Trouble) {
	for index, server := range affected {
		leavesAt := seconds(trouble.AtS + trouble.ForS*float64(index)/float64(len(affected)))
		base := server.base()
		world.clock.after(leavesAt, func() {
			base.server.Leaving = true
			world.register(base)
		})
		world.clock.after(leavesAt+drainTime, server.crash)
		world.clock.after(leavesAt+releaseTime, func() {
			server.restart()
			if trouble.X > 1 {
				base.fault = trouble.X
				world.clock.after(warmTime, func() { base.fault = 1 })
			}
			base.server.Leaving, base.server.Started = false, world.clock.time()
			world.register(base)
		})
	}
}

// register tells the hosts of a server's registration.
func (world *world) register(machine *machine) {
	for _, host := range world.hosts {
		registered := machine.server
		world.clock.after(milliseconds(world.day.LinkMs), func() { host.fleet.Put(registered) })
	}
}

// hostNames are the names of the day's hosts.
func (world *world) hostNames() []string {
	names := make([]string, world.day.Hosts)
	for index := range names {
		names[index] = fmt.Sprintf("host-%d", index)
	}
	return names
}
