package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/heads"
	"primrosegw/core/host"
	"primrosegw/core/member"
	"primrosegw/core/spec"
)

// pollInterval is how often a host reads the heads.
const pollInterval = 500 * time.Millisecond

// inForce is the generation that this host has applied, and those that it has
// heard of others.
type inForce struct {
	mutex      sync.Mutex
	generation uint64
	digest     string
	heard      map[string]uint64
}

func (inForce *inForce) hear(name string, generation uint64) {
	inForce.mutex.Lock()
	defer inForce.mutex.Unlock()
	if inForce.heard == nil {
		inForce.heard = make(map[string]uint64)
	}
	inForce.heard[name] = max(inForce.heard[name], generation)
}

// applied returns the generation in force on this host and its document.
func (daemon *Daemon) applied() (uint64, string) {
	daemon.inForce.mutex.Lock()
	defer daemon.inForce.mutex.Unlock()
	return daemon.inForce.generation, daemon.inForce.digest
}

func (daemon *Daemon) generationOf(name string) uint64 {
	if name == daemon.self.Name {
		return daemon.Generation()
	}
	daemon.inForce.mutex.Lock()
	defer daemon.inForce.mutex.Unlock()
	return daemon.inForce.heard[name]
}

// hearGeneration takes the generation that rides on a heartbeat.
func (daemon *Daemon) hearGeneration(from host.Host, message member.Message) {
	daemon.inForce.hear(from.Name, message.Generation)
}

// followHeads reads the heads and puts each new generation in force.
func (daemon *Daemon) followHeads(ctx context.Context) {
	for {
		current, _, err := daemon.heads.Status(ctx)
		if generation, _ := daemon.applied(); err == nil && current.Generation > generation {
			daemon.fetch(ctx, current)
		}
		if !pause(ctx, pollInterval) {
			return
		}
	}
}

func (daemon *Daemon) fetch(ctx context.Context, current heads.Heads) {
	data, err := daemon.heads.Document(ctx, current.Production.Digest)
	if err == nil {
		daemon.apply(current, data)
	}
}

// apply puts a generation in force. Generations never go back.
func (daemon *Daemon) apply(current heads.Heads, data []byte) {
	document, problems := spec.Parse(data)
	if len(problems) > 0 {
		daemon.logger.Log(event.DocumentRejected(), logrus.Fields{
			"generation": current.Generation, "digest": current.Production.Digest, "problem": problems[0].Text,
		})
		return
	}
	daemon.inForce.mutex.Lock()
	if current.Generation <= daemon.inForce.generation {
		daemon.inForce.mutex.Unlock()
		return
	}
	daemon.inForce.generation = current.Generation
	daemon.inForce.digest = current.Production.Digest
	view := newView(current.Generation, current.Strip(document))
	daemon.directory.current.Store(view)
	daemon.inForce.mutex.Unlock()
	daemon.limiter.SetLimits(view.limits())
	daemon.refresh()
	daemon.logger.Log(event.DocumentApplied(), logrus.Fields{
		"generation": current.Generation, "digest": current.Production.Digest, "lot": document.Lot,
		"recalled": len(current.Withdrawn),
	})
}

// loops are the background work of a host.
func (daemon *Daemon) loops() []func(context.Context) {
	return []func(context.Context){
		daemon.members.Run, daemon.followMembers, daemon.followHostList, daemon.followHeads, daemon.learnSuspects,
	}
}
