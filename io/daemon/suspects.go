package daemon

import (
	"context"
	"strconv"
	"time"

	"primrosegw/core/host"
	"primrosegw/core/poison"
	"primrosegw/io/link"
)

/*
Requests that crash engines are kept from running again anywhere:

  - Every host holds the crash records it has heard of. A record goes to all
    hosts at once, as engines crash a few times a day, and a host that starts
    asks another for its records.
  - The right to run a suspect is a claim. The host that owns the fingerprint
    grants it to one holder at a time.
*/
type claims struct {
	daemon *Daemon
}

// claimTimeout bounds a question to the owner of a fingerprint.
const claimTimeout = time.Second

// claimCall is a claim or its release.
type claimCall struct {
	Release     bool             `cbor:"release"`
	Fingerprint uint64           `cbor:"fingerprint"`
	Holder      string           `cbor:"holder"`
	LeftMs      int64            `cbor:"left_ms"`
	Result      poison.RunResult `cbor:"result"`
}

// claimAnswer answers a claim call.
type claimAnswer struct {
	Grant poison.Grant `cbor:"grant"`
}

// Claim implements poison.Claims. When the owner can't be asked, the next host
// in rank is; the request waits if none answers.
func (claims *claims) Claim(ctx context.Context, fingerprint uint64, holder string, until time.Time) (poison.Grant, error) {
	call := claimCall{Fingerprint: fingerprint, Holder: holder, LeftMs: time.Until(until).Milliseconds()}
	return claims.ask(ctx, call)
}

// Release implements poison.Claims.
func (claims *claims) Release(ctx context.Context, fingerprint uint64, holder string, result poison.RunResult) error {
	_, err := claims.ask(ctx, claimCall{Release: true, Fingerprint: fingerprint, Holder: holder, Result: result})
	return err
}

func (claims *claims) ask(ctx context.Context, call claimCall) (poison.Grant, error) {
	daemon := claims.daemon
	key := "suspect/" + strconv.FormatUint(call.Fingerprint, 16)
	var last error
	for _, owner := range host.Rank(key, daemon.members.Alive()) {
		if owner.Name == daemon.self.Name {
			return daemon.claim(ctx, call)
		}
		ctx, cancel := context.WithTimeout(ctx, claimTimeout)
		var answer claimAnswer
		last = daemon.link.Ask(ctx, owner.LinkAddress, messageClaim, call, &answer)
		cancel()
		if last == nil {
			return answer.Grant, nil
		}
	}
	return poison.Grant{}, last
}

// claim decides a claim for a fingerprint that this host owns.
func (daemon *Daemon) claim(ctx context.Context, call claimCall) (poison.Grant, error) {
	if call.Release {
		return poison.Grant{}, daemon.suspects.Release(ctx, call.Fingerprint, call.Holder, call.Result)
	}
	until := time.Now().Add(time.Duration(call.LeftMs) * time.Millisecond)
	return daemon.suspects.Claim(ctx, call.Fingerprint, call.Holder, until)
}

func (daemon *Daemon) serveClaim(ctx context.Context, stream *link.Stream) {
	var call claimCall
	if stream.Read(&call) != nil {
		return
	}
	if grant, err := daemon.claim(ctx, call); err == nil {
		_ = stream.Write(claimAnswer{Grant: grant})
	}
}

// announce hands new crash records to all hosts.
func (daemon *Daemon) announce(records []poison.Record) { daemon.sendAll(messageSuspects, records) }

// serveSuspects takes crash records of another host.
func (daemon *Daemon) serveSuspects(_ context.Context, stream *link.Stream) {
	var records []poison.Record
	if stream.Read(&records) == nil && daemon.suspects.Merge(records) {
		daemon.cells.review()
	}
}

// serveRecords answers a host that has just started.
func (daemon *Daemon) serveRecords(_ context.Context, stream *link.Stream) {
	var question struct{}
	if stream.Read(&question) == nil {
		_ = stream.Write(daemon.suspects.Records())
	}
}

// learnSuspects asks the first other host that answers for its crash records and
// quarantines.
func (daemon *Daemon) learnSuspects(ctx context.Context) {
	for pause(ctx, ownershipSettle) {
		for _, member := range daemon.members.Alive() {
			if member.Name != daemon.self.Name && daemon.learnSuspectsFrom(ctx, member.LinkAddress) == nil {
				return
			}
		}
	}
}

func (daemon *Daemon) learnSuspectsFrom(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	var records []poison.Record
	if err := daemon.link.Ask(ctx, address, messageRecords, struct{}{}, &records); err != nil {
		return err
	}
	daemon.suspects.Merge(records)
	var evidence poison.Evidence
	// Hosts of earlier releases do not know this message.
	if daemon.link.Ask(ctx, address, messageQuarantines, struct{}{}, &evidence) == nil {
		daemon.crashes.ApplyEvidence(evidence, time.Now())
	}
	return nil
}
