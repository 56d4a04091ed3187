package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/heads"
	"primrosegw/core/host"
	"primrosegw/core/member"
	"primrosegw/core/spec"
	"primrosegw/core/spread"
	"primrosegw/io/link"
)

// isolationPoll is how often a host looks whether it is cut off from all peers
// and the key-value service. It is short against the bound of 60 s.
const isolationPoll = time.Second

// usagePoll is how often the links' counts become metrics.
const usagePoll = time.Second

// buildSpread makes what brings documents to this host and on to others.
func (daemon *Daemon) buildSpread() error {
	var err error
	daemon.spread, err = spread.New(spread.Options{
		Self:   daemon.members.Self,
		Hosts:  daemon.members.Hosts,
		Relays: daemon.members.Relays,
		Send:   daemon.sendSpread,
		Apply:  daemon.apply,
		Random: rand.New(daemon.random),
		Log:    daemon.logger,
	})
	if err != nil {
		return err
	}
	daemon.watcher, err = spread.NewWatcher(spread.WatcherOptions{
		Spread: daemon.spread, Client: daemon.heads, Store: daemon.store,
		Environment: daemon.settings.Environment, Random: rand.New(daemon.random),
	})
	return err
}

func (daemon *Daemon) sendSpread(to host.Host, message spread.Message) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		_ = daemon.link.Send(ctx, to.LinkAddress, messageSpread, message)
	}()
}

// serveSpread takes a message about documents. Its sender is known from the
// certificate of the link.
func (daemon *Daemon) serveSpread(_ context.Context, stream *link.Stream) {
	var message spread.Message
	if err := stream.Read(&message); err != nil {
		daemon.logger.Log(event.LinkRefused(), logrus.Fields{"peer": stream.Peer(), "error": err.Error()})
		return
	}
	for _, known := range daemon.members.Hosts() {
		if known.Name == stream.Peer() && message.From == known.Name {
			daemon.spread.Receive(known, message)
			return
		}
	}
}

// applied returns the generation in force on this host and its document. The
// membership asks for it before the spread is made.
func (daemon *Daemon) applied() (uint64, string) {
	if daemon.spread == nil {
		return 0, ""
	}
	return daemon.spread.Applied()
}

// hearGeneration takes the generation that rides on a heartbeat.
func (daemon *Daemon) hearGeneration(from host.Host, message member.Message) {
	daemon.spread.RecordHeartbeat(from, message.Generation)
}

// apply puts a generation in force. The spread calls it with rising generations.
func (daemon *Daemon) apply(current heads.Heads, data []byte) error {
	var document spec.Document
	if data != nil {
		var problems []spec.Problem
		document, problems = spec.Parse(data)
		if len(problems) > 0 {
			daemon.logger.Log(event.DocumentRejected(), logrus.Fields{
				"generation": current.Generation, "digest": current.Production.Digest,
				"path": problems[0].Path, "problem": problems[0].Text,
			})
			return fault.Field("daemon.apply", Unusable, problems[0].Path, problems[0].Text)
		}
	}
	view := newView(current.Generation, current.RemoveRecalled(document))
	daemon.directory.current.Store(view)
	daemon.limiter.SetLimits(view.limits())
	daemon.refresh()
	daemon.logger.Log(event.DocumentApplied(), logrus.Fields{
		"generation": current.Generation, "digest": current.Production.Digest, "lot": document.Lot,
		"recalled": len(current.RecalledLots),
	})
	return nil
}

// followIsolation stops taking work while this host is cut off from all peers
// and the key-value service: a recall may have passed it by.
func (daemon *Daemon) followIsolation(ctx context.Context) {
	isolated := false
	for pause(ctx, isolationPoll) {
		now := daemon.spread.Isolated()
		if now != isolated {
			isolated = now
			daemon.directory.taking.Store(!now)
			if now {
				daemon.logger.Log(event.HostIsolated(), logrus.Fields{})
			} else {
				daemon.logger.Log(event.HostReconnected(), logrus.Fields{})
			}
		}
	}
}

// followUsage reports what the links to other hosts carry.
func (daemon *Daemon) followUsage(ctx context.Context) {
	for pause(ctx, usagePoll) {
		usage := daemon.link.Usage()
		daemon.meter.SetTaggedGauge("link_bytes", "direction", "sent", float64(usage.SentBytes))
		daemon.meter.SetTaggedGauge("link_bytes", "direction", "received", float64(usage.ReceivedBytes))
		daemon.meter.SetTaggedGauge("link_packets", "direction", "sent", float64(usage.SentPackets))
		daemon.meter.SetTaggedGauge("link_packets", "direction", "received", float64(usage.ReceivedPackets))
		daemon.meter.SetTaggedGauge("link_messages", "direction", "sent", float64(usage.SentMessages))
		daemon.meter.SetTaggedGauge("link_messages", "direction", "received", float64(usage.ReceivedMessages))
		daemon.meter.SetTaggedGauge("link_connections", "state", "open", float64(usage.Connections))
	}
}

// loops are the background work of a host.
func (daemon *Daemon) loops() []func(context.Context) {
	return []func(context.Context){
		daemon.members.Run, daemon.followMembers, daemon.followHostList, daemon.spread.Run,
		daemon.watcher.Run, daemon.followIsolation, daemon.learnSuspects, daemon.shareEvidence, daemon.followUsage,
		daemon.reports.follow, daemon.followPlacement,
	}
}
