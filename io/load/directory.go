package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/dghubble/sling"

	"primrosegw/core/fault"
)

const (
	// shortestTTL bounds how often the addresses are asked for.
	shortestTTL = time.Second
	// askTimeout bounds one question for the addresses.
	askTimeout = 5 * time.Second
)

// address is an entry host as the system lists it.
type address struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Weight  float64 `json:"weight"`
}

// listing is the answer to a question for the entry hosts.
type listing struct {
	Hosts      []address `json:"hosts"`
	TTLSeconds int       `json:"ttl_seconds"`
}

// directory keeps the addresses of the entry hosts for as long as the system
// allows, as callers do.
type directory struct {
	client  *http.Client
	targets []string

	mutex   sync.Mutex
	random  *rand.Rand
	hosts   []address
	expires time.Time
}

// newDirectory returns a directory that asks the targets in turn.
func newDirectory(client *http.Client, targets []string, seed uint64) *directory {
	return &directory{client: client, targets: targets, random: rand.New(rand.NewPCG(seed, 1))}
}

// refresh asks for the addresses if their time to live is over. Known addresses
// are kept when no target answers.
func (directory *directory) refresh(ctx context.Context) error {
	directory.mutex.Lock()
	current := time.Now().Before(directory.expires)
	directory.mutex.Unlock()
	if current {
		return nil
	}
	var failed error
	for _, target := range directory.targets {
		found, err := directory.ask(ctx, target)
		if err == nil {
			directory.keep(found)
			return nil
		}
		failed = err
	}
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.expires = time.Now().Add(shortestTTL)
	if len(directory.hosts) > 0 {
		return nil
	}
	return fault.Wrap("load.refresh", Unreachable, failed)
}

// ask gets the list from one target.
func (directory *directory) ask(ctx context.Context, target string) (listing, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var found listing
	client := sling.New().Client(directory.client).Get(target + "/v1/entry")
	request, err := client.Request()
	if err != nil {
		return found, err
	}
	response, err := client.Do(request.WithContext(ctx), &found, nil)
	if err != nil {
		return found, err
	}
	if response.StatusCode != http.StatusOK || len(found.Hosts) == 0 {
		return found, fault.New("load.ask", Unreachable,
			fmt.Sprintf("%s answered status %d and %d hosts", target, response.StatusCode, len(found.Hosts)))
	}
	return found, nil
}

// keep takes a list over.
func (directory *directory) keep(found listing) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	directory.hosts = found.Hosts
	directory.expires = time.Now().Add(max(shortestTTL, time.Duration(found.TTLSeconds)*time.Second))
}

// pick draws a host by weight, leaving out those that just failed. It returns
// false when none is left.
func (directory *directory) pick(failed map[string]bool) (address, bool) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	whole := 0.0
	for _, host := range directory.hosts {
		if !failed[host.Address] {
			whole += max(host.Weight, 0)
		}
	}
	drawn := directory.random.Float64() * whole
	for _, host := range directory.hosts {
		if failed[host.Address] || host.Weight <= 0 {
			continue
		}
		drawn -= host.Weight
		if drawn < 0 {
			return host, true
		}
	}
	return address{}, false
}
