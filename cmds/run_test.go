package cmds_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/cmds"
	"primrosegw/core/heads"
	"primrosegw/io/demo"
	"primrosegw/standin/engine"
)

// patience is far above the time that any command takes here.
const patience = 40 * time.Second

// output collects what a command writes while it runs.
type output struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (output *output) Write(data []byte) (int, error) {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	return output.buffer.Write(data)
}

func (output *output) String() string {
	output.mutex.Lock()
	defer output.mutex.Unlock()
	return output.buffer.String()
}

// run runs a command line to its end.
func run(t *testing.T, arguments ...string) (code int, stdout, stderr string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	var out, err bytes.Buffer
	code = cmds.RunContext(ctx, arguments, &out, &err)
	require.NoError(t, ctx.Err(), "%v did not end", arguments)
	return code, out.String(), err.String()
}

// runUntil runs a command line that serves, and stops it once it has written a text.
func runUntil(t *testing.T, text string, stop func(cancel func()), arguments ...string) (int, string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	written := &output{}
	ended := make(chan int, 1)
	go func() { ended <- cmds.RunContext(ctx, arguments, written, written) }()
	require.Eventually(t, func() bool { return strings.Contains(written.String(), text) }, patience, time.Millisecond, "%v", arguments)
	stop(cancel)
	select {
	case code := <-ended:
		return code, written.String()
	case <-time.After(patience):
		t.Fatalf("%v did not end: %s", arguments, written.String())
		return 0, ""
	}
}

// file writes a file and returns its path.
func file(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func commands() [][]string {
	return [][]string{
		{"serve"},
		{"check"},
		{"trial"},
		{"promote"},
		{"recall"},
		{"status"},
		{"load"},
		{"demo"},
		{"keys"},
		{"keys", "hosts"},
		{"keys", "bearer"},
		{"keys", "hash"},
		{"standin"},
		{"standin", "engine"},
		{"standin", "kv"},
		{"standin", "hosts"},
		{"standin", "weights"},
		{"standin", "plain"},
		{"version"},
	}
}

// TestHelp guards against a command that does not explain itself.
func TestHelp(t *testing.T) {
	code, all, _ := run(t, "--help")
	assert.Equal(t, cmds.ExitDone, code)
	assert.Contains(t, all, "Exit codes: 0 done, 1 failed, 2 bad input or usage.")
	for _, command := range commands() {
		code, help, _ := run(t, append(command, "--help")...)
		assert.Equal(t, cmds.ExitDone, code)
		assert.Contains(t, all, command[0])
		assert.Contains(t, help, "Example:", "%v", command)
		assert.Contains(t, help, "\n    primrosegw "+strings.Join(command, " "), "%v", command)
	}
}

// TestUsage guards against a bad command line that is taken for a failure.
func TestUsage(t *testing.T) {
	for _, command := range commands() {
		code, _, stderr := run(t, append(command, "--no-such-flag")...)
		assert.Equal(t, cmds.ExitUsage, code, "%v", command)
		assert.Contains(t, stderr, "--help", "%v", command)
	}
	good := settings(t, "")
	cases := [][]string{
		{},
		{"no-such-command"},
		{"serve"},
		{"serve", "--settings", "missing.json"},
		{"check"},
		{"check", "missing.json"},
		{"check", "--settings", "missing.json"},
		{"trial", "missing.json", "--key-file", good},
		{"trial", good},
		{"promote", "x", "--key-file", "missing"},
		{"promote", "--key-file", good},
		{"promote", "x", "--key-file", good, "--authority", "missing"},
		{"promote", "x", "--key-file", good, "--authority", good},
		{"recall", "--key-file", good},
		{"recall", "--lot", "x"},
		{"status"},
		{"status", "--history", "x"},
		{"load"},
		{"load", "--target", "http://127.0.0.1:9", "--profile", "missing.json"},
		{"load", "--target", "http://127.0.0.1:9", "--profile", good},
		{"demo", "--rate", "0"},
		{"demo", "--duration", "x"},
		{"keys"},
		{"keys", "hosts", "--directory", t.TempDir(), "host-1"},
		{"keys", "hosts", "--directory", t.TempDir(), "../x=127.0.0.1"},
		{"standin"},
		{"standin", "kv", "--listen", "nowhere"},
		{"standin", "engine", "--slots", "x"},
		{"version", "x"},
	}
	t.Setenv("PRIMROSEGW_OPERATOR_KEY", "")
	for _, arguments := range cases {
		code, _, stderr := run(t, arguments...)
		assert.Equal(t, cmds.ExitUsage, code, "%v: %s", arguments, stderr)
		assert.NotEmpty(t, stderr, "%v", arguments)
	}
}

// settings writes the settings of a host, with its keys, that may be changed.
func settings(t *testing.T, extra string) string {
	t.Helper()
	directory := t.TempDir()
	code, _, stderr := run(t, "keys", "hosts", "--directory", directory, "host-1=127.0.0.1")
	require.Equal(t, cmds.ExitDone, code, stderr)
	return file(t, "host.json", fmt.Sprintf(`{
  "environment": "serra",
  "host": {
    "name": "host-1", "region": "serra-gaucha", "failure_domain": "caxias",
    "link_address": "127.0.0.1:0", "entry_address": "127.0.0.1:0"
  },
  "key_value": {"endpoints": ["http://127.0.0.1:9"]},%s
  "limits": {"drain_ms": 1},
  "tls": {"authority": %q, "certificate": %q, "key": %q}
}`, extra, filepath.Join(directory, "authority.pem"), filepath.Join(directory, "host-1.pem"), filepath.Join(directory, "host-1.key")))
}

// TestBadSettings guards against a message that does not lead to the fault.
func TestBadSettings(t *testing.T) {
	cases := map[string][]string{
		`"unknown": 1,`:                {"8", "unknown", "an unknown field"},
		`"log": {"level": "loud"},`:    {"8", "log.level", "loud", "debug, info"},
		`"log": {"level": 7531},`:      {"8", "log.level", "found 7531", "string"},
		`"host_list": {"url": "ftp"},`: {"8", "host_list.url", "ftp", "http"},
	}
	for extra, parts := range cases {
		path := settings(t, "\n  "+extra)
		for _, arguments := range [][]string{{"check", "--settings", path}, {"serve", "--settings", path}} {
			code, _, stderr := run(t, arguments...)
			assert.Equal(t, cmds.ExitUsage, code)
			assert.Contains(t, stderr, path)
			assert.Contains(t, stderr, "line "+parts[0])
			for _, part := range parts[1:] {
				assert.Contains(t, stderr, part)
			}
		}
	}
	code, _, stderr := run(t, "serve", "--settings", strings.TrimSuffix(settings(t, ""), "host.json")+"../missing.json")
	assert.Equal(t, cmds.ExitUsage, code, stderr)
}

// TestBadDocument guards against a fault of a document without its file, line,
// field, what was found and what is allowed; and against showing one only.
func TestBadDocument(t *testing.T) {
	data, err := os.ReadFile("../docs/examples/vendramin.json")
	require.NoError(t, err)
	lines := strings.Split(string(data), "\n")
	faulty := strings.NewReplacer(`"tier": 1`, `"tier": 9`, `"idempotent": true`, `"idempotent": "yes"`).Replace(string(data))
	code, _, stderr := run(t, "check", file(t, "bad.json", faulty))
	assert.Equal(t, cmds.ExitUsage, code)
	for number, line := range lines {
		if strings.Contains(line, `"tier": 1`) {
			assert.Contains(t, stderr, fmt.Sprintf("bad.json:%d: classes", number+1))
		}
	}
	for _, part := range []string{"].tier", "found 9", "].idempotent", "yes", "allowed: "} {
		assert.Contains(t, stderr, part)
	}
	code, stdout, stderr := run(t, "check", "../docs/examples/vendramin.json")
	assert.Equal(t, cmds.ExitDone, code, stderr)
	assert.Contains(t, stdout, "the document is valid")
	code, _, stderr = run(t, "check", "--settings", settings(t, ""))
	assert.Equal(t, cmds.ExitDone, code, stderr)
}

// TestServe guards against a host that does not end as its signals ask.
func TestServe(t *testing.T) {
	path := settings(t, "")
	code, written := runUntil(t, "host_started", func(func()) {
		// The command has its handler for this signal by now.
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	}, "serve", "--settings", path)
	assert.Equal(t, cmds.ExitDone, code, written)
	code, written = runUntil(t, "host_started", func(cancel func()) { cancel() }, "serve", "--settings", path)
	assert.Equal(t, cmds.ExitFailed, code, written)
}

// TestStandins guards against stand-ins that do not start or not end.
func TestStandins(t *testing.T) {
	for _, name := range []string{"engine", "kv", "hosts", "weights", "plain"} {
		code, written := runUntil(t, "listening on http://127.0.0.1:", func(cancel func()) { cancel() }, "standin", name)
		assert.Equal(t, cmds.ExitDone, code, written)
	}
}

// TestKeys guards against keys that can't be used and failures that look done.
func TestKeys(t *testing.T) {
	code, stdout, _ := run(t, "keys", "bearer")
	assert.Equal(t, cmds.ExitDone, code)
	key := strings.Fields(stdout)
	require.Len(t, key, 4)
	input, err := os.Open(file(t, "key.txt", key[1]+"\n"))
	require.NoError(t, err)
	defer input.Close()
	before := os.Stdin
	os.Stdin = input
	defer func() { os.Stdin = before }()
	code, stdout, _ = run(t, "keys", "hash")
	assert.Equal(t, cmds.ExitDone, code)
	assert.Equal(t, key[3]+"\n", stdout)
	code, _, stderr := run(t, "keys", "hash")
	assert.Equal(t, cmds.ExitUsage, code)
	assert.Contains(t, stderr, "standard input")

	blocked := t.TempDir()
	require.NoError(t, os.Mkdir(filepath.Join(blocked, "host-1.pem"), 0o700))
	code, _, stderr = run(t, "keys", "hosts", "--directory", blocked, "host-1=127.0.0.1")
	assert.Equal(t, cmds.ExitFailed, code, stderr)
	code, stdout, _ = run(t, "version")
	assert.Equal(t, cmds.ExitDone, code)
	assert.Contains(t, stdout, "primrosegw ")
}

// TestDemo guards against a demo that fails, or that does not tell.
func TestDemo(t *testing.T) {
	code, stdout, stderr := run(t, "demo", "--duration", "300ms", "--json")
	assert.Equal(t, cmds.ExitDone, code, stderr)
	assert.Contains(t, stdout, `"wrong":0`)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var written bytes.Buffer
	assert.Equal(t, cmds.ExitFailed, cmds.RunContext(ctx, []string{"demo", "--json"}, &written, &written))
}

// TestOperators guards against operators' commands whose exit code does not say
// whether the change was made.
func TestOperators(t *testing.T) {
	world, err := demo.New(t.Context(), demo.Options{
		Hosts: 1, FailureDomains: []string{"caxias"}, Engines: map[string]int{demo.PoolSketch: 1, demo.PoolLedger: 1},
		Slots: 2, DrainMs: 1, Seed: 1, Engine: engine.Options{StepBase: time.Millisecond},
	})
	require.NoError(t, err)
	t.Cleanup(world.Close)
	world.Document.Lot = "demo-2"
	data, err := demo.Encode(world.Document)
	require.NoError(t, err)
	document := file(t, "document.json", string(data))
	broken := file(t, "broken.json", strings.Replace(string(data), `"tier": 1`, `"tier": 9`, 1))
	profile := file(t, "profile.json", `{}`)
	host := []string{"--host", world.Nodes[0].AdminURL(), "--key-file", file(t, "key", demo.OperatorKey)}
	wrong := []string{"--host", world.Nodes[0].AdminURL(), "--key-file", file(t, "key", "wrong")}
	away := []string{"--host", "http://127.0.0.1:9", "--key-file", file(t, "key", "x")}
	cases := []struct {
		connection []string
		arguments  []string
		code       int
	}{
		{host, []string{"trial", broken}, cmds.ExitUsage},
		{host, []string{"trial", document}, cmds.ExitDone},
		{host, []string{"promote", strings.Repeat("0", 64)}, cmds.ExitFailed},
		{host, []string{"promote", heads.Digest(data), "--wait"}, cmds.ExitDone},
		{host, []string{"recall", "--lot", "demo-2", "--wait"}, cmds.ExitDone},
		{host, []string{"recall", "--lot", "demo-2"}, cmds.ExitFailed},
		{host, []string{"trial", document}, cmds.ExitFailed},
		{host, []string{"status"}, cmds.ExitDone},
		{host, []string{"status", "--json"}, cmds.ExitDone},
		{wrong, []string{"status"}, cmds.ExitFailed},
		{away, []string{"status"}, cmds.ExitFailed},
		{away, []string{"trial", document}, cmds.ExitFailed},
	}
	for _, test := range cases {
		code, stdout, stderr := run(t, append(test.arguments, test.connection...)...)
		assert.Equal(t, test.code, code, "%v: %s%s", test.arguments, stdout, stderr)
	}
	code, _, stderr := run(t, "load", "--target", world.Nodes[0].URL(), "--profile", profile)
	assert.Equal(t, cmds.ExitUsage, code)
	assert.Contains(t, stderr, profile)
}
