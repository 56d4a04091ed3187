package daemon_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/cell"
	"primrosegw/io/demo"
	"primrosegw/io/link"
)

// callers is the number of streams at the loss of a host: more than the slots
// of one engine, so that both run some.
const callers = 10

// TestLostOwner guards against words that are lost, doubled or given to another
// caller when the owner of the cell is lost in mid-stream, and against late
// words of an owner that comes back.
func TestLostOwner(t *testing.T) {
	cases := map[string]func(fleet *fleet, owner *demo.Node) (restore func()){
		"killed": func(_ *fleet, owner *demo.Node) func() {
			close(owner.Abort)
			return func() {}
		},
		"cut": func(fleet *fleet, owner *demo.Node) func() {
			wire := fleet.wires[owner.Daemon.Host().Name]
			wire.sever(true)
			return func() { wire.sever(false) }
		},
		"frozen": func(fleet *fleet, owner *demo.Node) func() {
			return fleet.wires[owner.Daemon.Host().Name].freeze()
		},
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := startFleet(t, nil)
			owner, other := fleet.roles(t)
			streams := make([]*caller, 0, callers)
			for number := range callers {
				streams = append(streams, call(t, other, number, 60))
			}
			for _, stream := range streams {
				await(t, stream.started, "the first words")
			}
			restore := lose(fleet, owner)
			t.Cleanup(restore)
			for number, stream := range streams {
				if number == callers/2 {
					// The old owner's late frames arrive while others still run.
					restore()
				}
				await(t, stream.ended, "the end of the answer")
				assert.Equal(t, stream.want, stream.text, "caller %d", number)
				assert.True(t, stream.done, "caller %d: %s", number, stream.failed)
			}
		})
	}
}

// TestLostEngine guards against wrong words when the engines of a cell of
// another host crash, freeze or slow down in mid-stream.
func TestLostEngine(t *testing.T) {
	cases := map[string]func(fleet *fleet){
		"crash":  func(fleet *fleet) { fleet.Models["sketch-0"].Crash() },
		"freeze": func(fleet *fleet) { fleet.Models["sketch-0"].Freeze(true) },
		"slow":   func(fleet *fleet) { fleet.Models["sketch-0"].Slow(5) },
	}
	for name, harm := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := startFleet(t, nil)
			_, other := fleet.roles(t)
			streams := make([]*caller, 0, callers)
			for number := range callers {
				streams = append(streams, call(t, other, number, 60))
			}
			for _, stream := range streams {
				await(t, stream.started, "the first words")
			}
			harm(fleet)
			for number, stream := range streams {
				await(t, stream.ended, "the end of the answer")
				assert.Equal(t, stream.want, stream.text, "caller %d", number)
				assert.True(t, stream.done, "caller %d: %s", number, stream.failed)
			}
		})
	}
}

// TestDrain guards against a leaving host that cuts a stream, of its own caller
// or of another host's, or that is listed on.
func TestDrain(t *testing.T) {
	fleet := startFleet(t, nil)
	owner, other := fleet.roles(t)
	streams := []*caller{call(t, owner, 1, 60), call(t, other, 2, 60)}
	for _, stream := range streams {
		await(t, stream.started, "the first words")
	}
	close(owner.Drain)
	for _, stream := range streams {
		await(t, stream.ended, "the end of the answer")
		assert.Equal(t, stream.want, stream.text)
		assert.True(t, stream.done, stream.failed)
	}
	await(t, owner.Done, "the host to leave")
	require.NoError(t, owner.Err)
	assert.NotContains(t, entries(t, other), owner.Daemon.Host().Name)
	late := call(t, other, 3, 5)
	await(t, late.ended, "an answer after the host left")
	assert.Equal(t, late.want, late.text)
}

// entries returns the names of the hosts that a host lists to callers.
func entries(t *testing.T, node *demo.Node) []string {
	t.Helper()
	response, err := http.Get(node.URL() + "/v1/entry")
	require.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	var listed struct {
		Hosts []struct {
			Name string `json:"name"`
		} `json:"hosts"`
	}
	require.NoError(t, json.Unmarshal(data, &listed))
	names := make([]string, 0, len(listed.Hosts))
	for _, known := range listed.Hosts {
		names = append(names, known.Name)
	}
	return names
}

// forward is the message that asks a cell's owner to run a request.
type forward struct {
	Cell         string       `cbor:"cell"`
	Hops         int          `cbor:"hops"`
	Request      cell.Request `cbor:"request"`
	LeftMs       int64        `cbor:"left_ms"`
	FirstTokenMs int64        `cbor:"first_token_ms"`
}

// frame is an answer to a forward.
type frame struct {
	Request string      `cbor:"request"`
	Chunk   *cell.Chunk `cbor:"chunk"`
	Final   *struct {
		Outcome cell.Outcome `cbor:"outcome"`
		Kind    cell.Kind    `cbor:"kind"`
		Text    string       `cbor:"text"`
	} `cbor:"final"`
}

// good returns a forward that a host runs.
func good(t testing.TB, name string, hops int) (message forward, want string) {
	t.Helper()
	data, want := body(t, 1, 5)
	return forward{
		Cell: name, Hops: hops, LeftMs: 10_000, FirstTokenMs: 500,
		Request: cell.Request{
			ID: "forwarded", Workspace: demo.WorkspaceSchools, Class: demo.ClassQuestion, Model: demo.ModelSketch,
			Tier: 2, Weight: 1, PromptTokens: 5, MaxTokens: 5, Idempotent: true, Chat: true, Body: data,
		},
	}, want
}

// send sends a forward and returns the text and the kind of the final frame; the
// kind is "closed" if the host ended the stream without one.
func send(t testing.TB, from *link.Link, address string, message any) (text string, kind cell.Kind) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	stream, err := from.Open(ctx, address, "forward")
	require.NoError(t, err)
	defer stream.Cancel()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	if stream.Write(message) != nil {
		return "", "closed"
	}
	for {
		var next frame
		if stream.Read(&next) != nil {
			require.NoError(t, ctx.Err(), "the host neither answers nor closes")
			return text, "closed"
		}
		if next.Chunk != nil {
			text += next.Chunk.Text
		}
		if next.Final != nil {
			return text, next.Final.Kind
		}
	}
}

// TestLoopProtection guards against a request that hosts with differing views
// pass on without end: it is passed on once, and whoever gets it at the last
// hop runs it.
func TestLoopProtection(t *testing.T) {
	log := &lines{}
	fleet := startFleet(t, func(options *demo.Options) { options.Log, options.Level = log, logrus.DebugLevel })
	owner, other := fleet.roles(t)
	stranger := fleet.stranger(t, "stranger")
	cases := []struct {
		node     *demo.Node
		hops     int
		received int
	}{{owner, 1, 1}, {owner, 2, 1}, {other, 1, 2}, {other, 2, 1}}
	for _, test := range cases {
		message, want := good(t, fleet.cell(t), test.hops)
		message.Request.ID = fmt.Sprintf("hops-%d-%s", test.hops, test.node.Daemon.Host().Name)
		text, kind := send(t, stranger, test.node.Daemon.Host().LinkAddress, message)
		assert.Empty(t, kind)
		assert.Equal(t, want, text)
		assert.Equal(t, test.received, log.count("forward_received", message.Request.ID), message.Request.ID)
	}
}

// TestProbe guards against a probe that gives the load of another cell, or one
// that opens a cell.
func TestProbe(t *testing.T) {
	fleet := startFleet(t, nil)
	owner, other := fleet.roles(t)
	first := call(t, other, 1, 5)
	await(t, first.ended, "the answer")
	require.Equal(t, first.want, first.text)
	stranger := fleet.stranger(t, "stranger")
	found := probe(t, stranger, owner, fleet.cell(t))
	assert.Equal(t, fleet.cell(t), found.Cell)
	assert.Equal(t, 16, found.Slots)
	assert.Empty(t, probe(t, stranger, other, fleet.cell(t)).Cell, "another host does not run the cell")
	assert.Empty(t, probe(t, stranger, owner, "nothing").Cell)
}

func probe(t *testing.T, from *link.Link, node *demo.Node, name string) cell.Summary {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	var summary cell.Summary
	require.NoError(t, from.Ask(ctx, node.Daemon.Host().LinkAddress, "probe", map[string]string{"cell": name}, &summary))
	return summary
}

// hostile returns forwards that no host sends.
func hostile(t testing.TB, name string) map[string]any {
	t.Helper()
	changed := func(change func(*forward)) forward {
		message, _ := good(t, name, 1)
		change(&message)
		return message
	}
	return map[string]any{
		"text":               "hello",
		"empty":              map[string]int{},
		"no id":              changed(func(message *forward) { message.Request.ID = "" }),
		"no hops":            changed(func(message *forward) { message.Hops = 0 }),
		"hops below 0":       changed(func(message *forward) { message.Hops = math.MinInt32 }),
		"many hops":          changed(func(message *forward) { message.Hops = 3 }),
		"tier 0":             changed(func(message *forward) { message.Request.Tier = 0 }),
		"tier 7":             changed(func(message *forward) { message.Request.Tier = 7 }),
		"tier below 0":       changed(func(message *forward) { message.Request.Tier = -1 }),
		"no weight":          changed(func(message *forward) { message.Request.Weight = 0 }),
		"weight below 0":     changed(func(message *forward) { message.Request.Weight = -1 }),
		"weight NaN":         changed(func(message *forward) { message.Request.Weight = math.NaN() }),
		"infinite weight":    changed(func(message *forward) { message.Request.Weight = math.Inf(1) }),
		"prompt below 0":     changed(func(message *forward) { message.Request.PromptTokens = -1 }),
		"bound below 0":      changed(func(message *forward) { message.Request.MaxTokens = -1 }),
		"resume below 0":     changed(func(message *forward) { message.Request.ResumeTokens = math.MinInt }),
		"resume without end": changed(func(message *forward) { message.Request.ResumeTokens = math.MaxInt }),
		"no time left":       changed(func(message *forward) { message.LeftMs = 0 }),
		"time without end":   changed(func(message *forward) { message.LeftMs = math.MaxInt64 }),
		"target without end": changed(func(message *forward) { message.FirstTokenMs = math.MinInt64 }),
		"no JSON":            changed(func(message *forward) { message.Request.Body = []byte("{") }),
		"unknown cell":       changed(func(message *forward) { message.Cell = "nothing" }),
	}
}

// TestHostileForwards guards against a message of one host that ends another:
// each is refused, and the host serves on.
func TestHostileForwards(t *testing.T) {
	fleet := startFleet(t, nil)
	owner, _ := fleet.roles(t)
	stranger := fleet.stranger(t, "stranger")
	for name, message := range hostile(t, fleet.cell(t)) {
		text, kind := send(t, stranger, owner.Daemon.Host().LinkAddress, message)
		assert.NotEmpty(t, kind, name)
		assert.Empty(t, text, name)
	}
	message, want := good(t, fleet.cell(t), 1)
	text, _ := send(t, stranger, owner.Daemon.Host().LinkAddress, message)
	assert.Equal(t, want, text)
}

// TestHostileFrames guards against raw bytes in place of a message: the host
// closes the stream, in bounded time, and serves on.
func TestHostileFrames(t *testing.T) {
	fleet := startFleet(t, nil)
	owner, _ := fleet.roles(t)
	address := owner.Daemon.Host().LinkAddress
	connection := fleet.dial(t, address)
	frame := func(data []byte) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
	}
	raws := map[string][]byte{
		"deep":          frame(bytes.Repeat([]byte{0x81}, 1000)),
		"no CBOR":       frame([]byte{0xff}),
		"claimed items": frame([]byte{0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}),
		"claimed bytes": frame([]byte{0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}),
		"huge":          {0xff, 0xff, 0xff, 0xff, 0x00},
		"truncated":     {0x00, 0x00, 0x00, 0x09, 0xa1},
		"nothing":       {},
	}
	for _, message := range []string{"forward", "probe", "member", "spread", "ledger", "claim", "suspects", "records", "evidence", "quarantines", "unknown"} {
		header, err := cbor.Marshal(map[string]string{"message": message})
		require.NoError(t, err)
		for name, raw := range raws {
			stream, err := connection.OpenStreamSync(t.Context())
			require.NoError(t, err)
			_, _ = stream.Write(append(frame(header), raw...))
			// A truncated message ends; no end would wait for the header's time.
			_ = stream.Close()
			require.NoError(t, stream.SetReadDeadline(time.Now().Add(patience)))
			_, err = io.Copy(io.Discard, stream)
			assert.NotErrorIs(t, err, os.ErrDeadlineExceeded, "%s with %s", message, name)
		}
	}
	message, want := good(t, fleet.cell(t), 1)
	text, _ := send(t, fleet.stranger(t, "stranger"), address, message)
	assert.Equal(t, want, text)
}

// FuzzForward guards against a forward that ends the host.
func FuzzForward(f *testing.F) {
	fleet := startFleet(f, nil)
	owner, _ := fleet.roles(f)
	stranger := fleet.stranger(f, "stranger")
	name := fleet.cell(f)
	f.Add(1, 2, 1.0, 5, 5, 0, int64(1000), []byte("{}"))
	f.Add(-1, 0, -1.0, -1, -1, -1, int64(-1), []byte("["))
	f.Add(2, 6, math.Inf(1), math.MaxInt, math.MaxInt, math.MaxInt, int64(math.MaxInt64), []byte(nil))
	f.Fuzz(func(t *testing.T, hops, tier int, weight float64, prompt, bound, resume int, left int64, data []byte) {
		message, _ := good(t, name, hops)
		message.Request.Tier, message.Request.Weight = tier, weight
		message.Request.PromptTokens, message.Request.MaxTokens, message.Request.ResumeTokens = prompt, bound, resume
		// A call that runs for long is no fault, so the time is kept short.
		message.LeftMs = left % 200
		message.Request.Body = data
		send(t, stranger, owner.Daemon.Host().LinkAddress, message)
	})
}
