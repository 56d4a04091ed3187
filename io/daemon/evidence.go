package daemon

import (
	"context"
	"time"

	"primrosegw/core/poison"
	"primrosegw/io/link"
)

// evidenceInterval is the time between two rounds in which evidence of crashes is sent.
const evidenceInterval = 200 * time.Millisecond

// shareEvidence sends what this host observes of crashes to all hosts, until the context
// ends. Together they find what the requests that crash engines have in common.
func (daemon *Daemon) shareEvidence(ctx context.Context) {
	for pause(ctx, evidenceInterval) {
		if !daemon.crashes.HasSuspects() {
			continue
		}
		now := time.Now()
		daemon.crashes.Advance(now)
		if evidence := daemon.crashes.PendingEvidence(now); evidence.Size() > 0 {
			daemon.sendAll(messageEvidence, evidence)
		}
	}
}

// sendAll sends a message to all other hosts, without waiting for them.
func (daemon *Daemon) sendAll(message string, body any) {
	for _, member := range daemon.members.Alive() {
		if member.Name == daemon.self.Name {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
			defer cancel()
			_ = daemon.link.Send(ctx, member.LinkAddress, message, body)
		}()
	}
}

// serveEvidence takes evidence of another host.
func (daemon *Daemon) serveEvidence(_ context.Context, stream *link.Stream) {
	var evidence poison.Evidence
	if stream.Read(&evidence) == nil {
		daemon.crashes.ApplyEvidence(evidence, time.Now())
	}
}

// serveQuarantines answers a host that has just started.
func (daemon *Daemon) serveQuarantines(_ context.Context, stream *link.Stream) {
	var question struct{}
	if stream.Read(&question) == nil {
		_ = stream.Write(daemon.crashes.Quarantines(time.Now()))
	}
}

// reviewCells lets cells withdraw the requests that are refused now. Cells report crashes
// with their lock held, so they are called later.
func (daemon *Daemon) reviewCells(poison.QuarantineChange) { go daemon.cells.review() }
