// Package hosts is the stand-in of the platform's lagging list of live and
// leaving hosts.
package hosts

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"primrosegw/core/fault"
)

// Kind is the sort of an error of this package.
type Kind string

// Invalid is the kind of a change that is not understood.
const Invalid Kind = "invalid"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// maxBody bounds the body of a change, in bytes.
const maxBody = 1 << 16

// Host is one entry of the list.
type Host struct {
	Name          string `json:"name"`
	LinkAddress   string `json:"link_address"`
	EntryAddress  string `json:"entry_address"`
	FailureDomain string `json:"failure_domain"`
	// State is "live" or "leaving"; "gone" takes the host off the list.
	State string `json:"state"`
}

// Options sets the content and the flaws of a List.
type Options struct {
	// Hosts are listed from the start.
	Hosts []Host
	// Lag is the time until a change shows.
	Lag time.Duration
}

// List is the host list.
type List struct {
	lag time.Duration

	mutex   sync.Mutex
	shown   map[string]Host
	changes []change
	down    bool
}

// change is a new state of a host that shows from an instant on.
type change struct {
	shows time.Time
	host  Host
}

// New returns a list.
func New(options Options) *List {
	list := &List{lag: options.Lag, shown: map[string]Host{}}
	for _, host := range options.Hosts {
		list.shown[host.Name] = host
	}
	return list
}

// Set changes or adds a host after the lag. Empty fields keep their values.
func (list *List) Set(host Host) error {
	switch {
	case host.Name == "":
		return fault.Field("hosts.Set", Invalid, "name", "empty")
	case !slices.Contains([]string{"live", "leaving", "gone"}, host.State):
		return fault.Field("hosts.Set", Invalid, "state", "not live, leaving or gone")
	}
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.changes = append(list.changes, change{shows: time.Now().Add(list.lag), host: host})
	return nil
}

// Down makes the list fail, or work again.
func (list *List) Down(down bool) {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.down = down
}

// Hosts returns the list as it shows now, by name.
func (list *List) Hosts() []Host {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	list.apply(time.Now())
	hosts := make([]Host, 0, len(list.shown))
	for _, host := range list.shown {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// apply shows the changes that are due. The mutex is held.
func (list *List) apply(now time.Time) {
	for len(list.changes) > 0 && !list.changes[0].shows.After(now) {
		host := list.changes[0].host
		list.changes = list.changes[1:]
		if host.State == "gone" {
			delete(list.shown, host.Name)
			continue
		}
		list.shown[host.Name] = merge(list.shown[host.Name], host)
	}
}

// merge returns the old entry with the fields that the change sets.
func merge(old, host Host) Host {
	if host.LinkAddress == "" {
		host.LinkAddress = old.LinkAddress
	}
	if host.EntryAddress == "" {
		host.EntryAddress = old.EntryAddress
	}
	if host.FailureDomain == "" {
		host.FailureDomain = old.FailureDomain
	}
	return host
}

// Handler serves GET /hosts, PUT /hosts/<name> and PUT /faults/down.
func (list *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", list.serveHosts)
	mux.HandleFunc("PUT /hosts/{name}", list.serveSet)
	mux.HandleFunc("PUT /faults/down", list.serveDown)
	return mux
}

// serveHosts answers with the list.
func (list *List) serveHosts(writer http.ResponseWriter, _ *http.Request) {
	list.mutex.Lock()
	down := list.down
	list.mutex.Unlock()
	if down {
		http.Error(writer, "host list is down", http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(list.Hosts())
}

// serveSet changes one host.
func (list *List) serveSet(writer http.ResponseWriter, request *http.Request) {
	var host Host
	decoder := json.NewDecoder(io.LimitReader(request.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&host); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	host.Name = request.PathValue("name")
	if err := list.Set(host); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// serveDown switches the outage by the body "true" or "false".
func (list *List) serveDown(writer http.ResponseWriter, request *http.Request) {
	var down bool
	if err := json.NewDecoder(io.LimitReader(request.Body, maxBody)).Decode(&down); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	list.Down(down)
	writer.WriteHeader(http.StatusNoContent)
}
