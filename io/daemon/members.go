package daemon

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dghubble/sling"
	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"primrosegw/core/cell"
	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/host"
	"primrosegw/core/member"
	"primrosegw/io/entry"
	"primrosegw/io/link"
	"primrosegw/io/socket"
)

const (
	// sendTimeout bounds a membership message; a lost one is made good by the
	// next.
	sendTimeout = time.Second
	// defaultEntryTTL is how long callers keep the list of hosts, when the
	// document does not say.
	defaultEntryTTL = 10 * time.Second
	// entryWeight is the weight of a host that takes its full share.
	entryWeight = 100
	// ownershipSettle is how long a change of the membership stands before cells
	// move, so that a burst of changes moves them once.
	ownershipSettle = 200 * time.Millisecond
)

func (daemon *Daemon) memberOptions() member.Options {
	seeds := make([]host.Host, 0, len(daemon.settings.Seeds))
	for _, seed := range daemon.settings.Seeds {
		if seed.Name != daemon.self.Name {
			seeds = append(seeds, describe(seed))
		}
	}
	return member.Options{
		Self:      daemon.self,
		Seeds:     seeds,
		Send:      daemon.sendMember,
		Random:    rand.New(rand.NewPCG(daemon.random.Uint64(), daemon.random.Uint64())),
		Log:       daemon.logger,
		Applied:   daemon.applied,
		Extra:     daemon.extra,
		OnMessage: daemon.heard,
	}
}

func (daemon *Daemon) sendMember(to host.Host, message member.Message) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		_ = daemon.link.Send(ctx, to.LinkAddress, messageMember, message)
	}()
}

func (daemon *Daemon) serveMember(_ context.Context, stream *link.Stream) {
	var message member.Message
	if err := stream.Read(&message); err != nil {
		daemon.logger.Log(event.LinkRefused(), logrus.Fields{"peer": stream.Peer(), "error": err.Error()})
		return
	}
	daemon.members.Receive(stream.Peer(), message)
}

// extra is what rides on heartbeats within a failure domain: the load of this
// host's cells.
func (daemon *Daemon) extra(host.Host) []byte {
	data, err := cbor.Marshal(daemon.cells.summaries())
	if err != nil {
		return nil
	}
	return data
}

// heard takes what rides on a heartbeat.
func (daemon *Daemon) heard(from host.Host, message member.Message) {
	daemon.hearGeneration(from, message)
	if len(message.Extra) == 0 {
		return
	}
	var summaries []cell.Summary
	if err := cbor.Unmarshal(message.Extra, &summaries); err != nil {
		daemon.logger.Log(event.LinkRefused(), logrus.Fields{"peer": from.Name, "error": err.Error()})
		return
	}
	for _, summary := range summaries {
		daemon.loads.record(summary)
	}
}

// Entries implements entry.Hosts.
func (daemon *Daemon) Entries() ([]entry.Address, time.Duration) {
	var addresses []entry.Address
	for _, member := range daemon.members.Alive() {
		if member.State == host.Alive {
			addresses = append(addresses, entry.Address{Name: member.Name, Address: member.EntryAddress, Weight: entryWeight})
		}
	}
	ttl := defaultEntryTTL
	if seconds := daemon.directory.current.Load().Document.Limits.EntryTTLSecond; seconds > 0 {
		ttl = time.Duration(seconds) * time.Second
	}
	return addresses, ttl
}

// followMembers moves cells and limits when the membership changes.
func (daemon *Daemon) followMembers(ctx context.Context) {
	for {
		changed := daemon.members.Changed()
		daemon.refresh()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
		if !pause(ctx, ownershipSettle) {
			return
		}
	}
}

// refresh brings the cells and the limits in line with the document and the
// membership.
func (daemon *Daemon) refresh() {
	alive := daemon.members.Alive()
	if len(alive) > 0 {
		daemon.limiter.SetShare(1 / float64(len(alive)))
		if budget, ok := daemon.store.(budget); ok {
			budget.Share(len(alive))
		}
	}
	daemon.cells.update(daemon.serversOf, daemon.owns, daemon.directory.current.Load().shares())
	daemon.meter.SetTaggedGauge("hosts", "state", "alive", float64(len(alive)))
}

// budget is a store whose calls are limited by the host's part of the service.
type budget interface {
	Share(hosts int)
}

// owns reports whether this host owns a cell.
func (daemon *Daemon) owns(name string) bool {
	owner, known := daemon.owner(name)
	return known && owner.Name == daemon.self.Name
}

// followHostList reads the platform's list of hosts.
func (daemon *Daemon) followHostList(ctx context.Context) {
	if daemon.settings.HostList.URL == "" {
		return
	}
	transport := &http.Transport{Proxy: http.ProxyFromEnvironment, DialContext: socket.Probed().Dialer(sendTimeout).DialContext}
	client := &http.Client{Timeout: sendTimeout, Transport: transport}
	interval := time.Duration(daemon.settings.HostList.IntervalMs) * time.Millisecond
	for {
		if listed, err := ReadHostList(client, daemon.settings.HostList.URL); err == nil {
			daemon.members.ApplyHostList(listed)
		}
		// The jitter keeps a fleet that started together from asking together.
		if !pause(ctx, interval+time.Duration(daemon.random.Int64N(int64(interval)/4+1))) {
			return
		}
	}
}

// ReadHostList reads the platform's list of hosts. It fails with Unlisted if the answer has none.
func ReadHostList(client *http.Client, url string) ([]host.Host, error) {
	const op = "daemon.read_host_list"
	var listed []host.Host
	response, err := sling.New().Client(client).Get(url).ReceiveSuccess(&listed)
	if err != nil {
		return nil, fault.Wrap(op, Unlisted, err)
	}
	// An answer without a body is not decoded.
	if response.StatusCode != http.StatusOK || listed == nil {
		return nil, fault.New(op, Unlisted, "status "+strconv.Itoa(response.StatusCode)+", no list")
	}
	return listed, nil
}

// pause waits and reports whether the context is still open.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// lockedRandom is a source of random choices for concurrent use.
type lockedRandom struct {
	mutex  sync.Mutex
	random *rand.Rand
}

// Uint64 implements rand.Source.
func (locked *lockedRandom) Uint64() uint64 {
	locked.mutex.Lock()
	defer locked.mutex.Unlock()
	return locked.random.Uint64()
}

// Int64N returns a number from 0 up to, but not including, the bound.
func (locked *lockedRandom) Int64N(bound int64) int64 {
	locked.mutex.Lock()
	defer locked.mutex.Unlock()
	return locked.random.Int64N(bound)
}
