package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"
	"github.com/tmaxmax/go-sse"

	"primrosegw/core/host"
	"primrosegw/core/route"
	"primrosegw/core/spec"
	"primrosegw/io/demo"
	"primrosegw/io/link"
	"primrosegw/standin/engine"
)

// patience is far above any time that the exchanges below take.
const patience = 40 * time.Second

// wire is the UDP socket of a host, which a test cuts or freezes.
type wire struct {
	net.PacketConn
	mutex sync.Mutex
	cut   bool
	// thaw is closed when the host is let go on; nil: not frozen.
	thaw chan struct{}
}

func (wire *wire) state() (bool, chan struct{}) {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	return wire.cut, wire.thaw
}

// ReadFrom implements net.PacketConn: a cut host hears nothing, a frozen one
// hears everything later.
func (wire *wire) ReadFrom(buffer []byte) (int, net.Addr, error) {
	for {
		count, from, err := wire.PacketConn.ReadFrom(buffer)
		cut, thaw := wire.state()
		if thaw != nil {
			<-thaw
		}
		if err != nil || !cut {
			return count, from, err
		}
	}
}

// WriteTo implements net.PacketConn.
func (wire *wire) WriteTo(packet []byte, to net.Addr) (int, error) {
	cut, thaw := wire.state()
	if thaw != nil {
		<-thaw
	}
	if cut {
		return len(packet), nil
	}
	return wire.PacketConn.WriteTo(packet, to)
}

func (wire *wire) sever(cut bool) {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	wire.cut = cut
}

// freeze holds all packets until the returned function is called.
func (wire *wire) freeze() func() {
	wire.mutex.Lock()
	defer wire.mutex.Unlock()
	thaw := make(chan struct{})
	wire.thaw = thaw
	return sync.OnceFunc(func() {
		wire.mutex.Lock()
		wire.thaw = nil
		wire.mutex.Unlock()
		close(thaw)
	})
}

// fleet is an environment whose links a test controls.
type fleet struct {
	*demo.World
	wires map[string]*wire
}

func startFleet(t testing.TB, adjust func(*demo.Options)) *fleet {
	t.Helper()
	fleet := &fleet{wires: make(map[string]*wire)}
	options := demo.Options{
		Hosts: 2, FailureDomains: []string{"caxias"}, Engines: map[string]int{demo.PoolSketch: 2, demo.PoolLedger: 1},
		Slots: 8, DrainMs: 100, Seed: 1, Engine: engine.Options{StepBase: 5 * time.Millisecond, StepPerCall: 100 * time.Microsecond},
		Packets: func(host string, socket net.PacketConn) net.PacketConn {
			fleet.wires[host] = &wire{PacketConn: socket}
			return fleet.wires[host]
		},
	}
	if adjust != nil {
		adjust(&options)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	world, err := demo.New(ctx, options)
	require.NoError(t, err)
	fleet.World = world
	t.Cleanup(world.Close)
	return fleet
}

// cell returns the name of the cell of the sketch engines.
func (fleet *fleet) cell(t testing.TB) string {
	t.Helper()
	for _, pool := range fleet.Document.Pools {
		if pool.Name == demo.PoolSketch {
			found := route.Cells([]spec.Pool{pool}, fleet.Document.BackendServers)
			require.NotEmpty(t, found)
			return found[0].Name
		}
	}
	t.Fatal("no pool")
	return ""
}

// roles returns the host that owns the cell, and one that does not.
func (fleet *fleet) roles(t testing.TB) (owner, other *demo.Node) {
	t.Helper()
	owning, found := host.Owner(fleet.cell(t), "caxias", fleet.Nodes[0].Daemon.Alive())
	require.True(t, found)
	for _, node := range fleet.Nodes {
		if node.Daemon.Host().Name == owning.Name {
			owner = node
		} else {
			other = node
		}
	}
	return owner, other
}

// stranger returns a link with a certificate of the fleet's authority.
func (fleet *fleet) stranger(t testing.TB, name string) *link.Link {
	t.Helper()
	material, err := fleet.Material(name)
	require.NoError(t, err)
	opened, err := link.New(link.Options{Address: "127.0.0.1:0", TLS: material.LinkConfig()})
	require.NoError(t, err)
	t.Cleanup(opened.Close)
	return opened
}

// dial returns a bare connection to a host's links.
func (fleet *fleet) dial(t testing.TB, address string) *quic.Conn {
	t.Helper()
	material, err := fleet.Material("stranger")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	connection, err := quic.DialAddr(ctx, address, material.LinkConfig(), &quic.Config{})
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.CloseWithError(0, "") })
	return connection
}

// body returns the body of a streamed request and the text that answers it.
func body(t testing.TB, number, tokens int) (data []byte, want string) {
	t.Helper()
	data, err := json.Marshal(map[string]any{
		"model": demo.ModelSketch, "stream": true, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("Describe plate %d", number)}},
	})
	require.NoError(t, err)
	want, _, err = engine.Answer(data)
	require.NoError(t, err)
	return data, want
}

// caller reads one streamed answer.
type caller struct {
	want string
	// started is closed at the first text.
	started chan struct{}
	// ended is closed after the last event; the fields below are valid then.
	ended  chan struct{}
	text   string
	done   bool
	failed string
	// events are the contents in their order.
	events []string
}

// call sends a request to a host and reads its answer in the background.
func call(t testing.TB, node *demo.Node, number, tokens int) *caller {
	t.Helper()
	return callWith(t, http.DefaultClient, node, number, tokens)
}

func callWith(t testing.TB, client *http.Client, node *demo.Node, number, tokens int) *caller {
	t.Helper()
	data, want := body(t, number, tokens)
	caller := &caller{want: want, started: make(chan struct{}), ended: make(chan struct{})}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, node.URL()+"/v1/chat/completions", strings.NewReader(string(data)))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+demo.CallerKey+demo.WorkspaceSchools)
	go func() {
		defer close(caller.ended)
		defer cancel()
		response, err := client.Do(request)
		if err != nil {
			caller.failed = err.Error()
			return
		}
		defer response.Body.Close()
		caller.read(response.Body)
	}()
	return caller
}

func (caller *caller) read(stream io.Reader) {
	for event, err := range sse.Read(stream, nil) {
		if err != nil {
			caller.failed = err.Error()
			return
		}
		if event.Data == "[DONE]" {
			caller.done = true
			continue
		}
		var part struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error json.RawMessage `json:"error"`
		}
		if err := json.Unmarshal([]byte(event.Data), &part); err != nil || len(part.Error) > 0 {
			caller.failed = event.Data
			return
		}
		for _, choice := range part.Choices {
			if choice.Delta.Content == "" {
				continue
			}
			if len(caller.events) == 0 {
				close(caller.started)
			}
			caller.events = append(caller.events, choice.Delta.Content)
			caller.text += choice.Delta.Content
		}
	}
}

// await waits for a channel to be closed.
func await(t testing.TB, closed <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-closed:
	case <-time.After(patience):
		t.Fatal("waited in vain for " + what)
	}
}
