package front_test

import (
	"io"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/io/front"
)

// killedHostEnv names the kind of caller for which the test binary is a host that waits to be killed.
const killedHostEnv = "PRIMROSEGW_TEST_KILLED_HOST"

// Guards against a stream that is cut because its host is killed, and looks whole to its caller.
func TestStreamCutByAKilledHostLooksBroken(t *testing.T) {
	if name := os.Getenv(killedHostEnv); name != "" {
		runKilledHost(t, name)
		return
	}
	for name, kind := range unframedCallers {
		t.Run(name, func(t *testing.T) {
			host := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestStreamCutByAKilledHostLooksBroken$")
			host.Env = append(os.Environ(), killedHostEnv+"="+name)
			output, err := host.StdoutPipe()
			require.NoError(t, err)
			require.NoError(t, host.Start())
			defer func() { _ = host.Wait() }()
			defer func() { _ = host.Process.Kill() }()
			address := make([]byte, 64)
			count, err := output.Read(address)
			require.NoError(t, err)
			caller := callAt(t, string(address[:count]), "/stream/", kind.version, 5000)
			_, err = io.ReadFull(caller, make([]byte, 1))
			require.NoError(t, err)
			require.NoError(t, host.Process.Kill())
			content, err := io.ReadAll(caller)
			require.Error(t, err, "a part of a stream that goes on: %s", content)
		})
	}
}

// runKilledHost serves a stream that does not end, as a gateway does, for some seconds. It prints its address.
func runKilledHost(t *testing.T, name string) {
	harness := newHarness(t, withReports)
	harness.trusted["engines"] = unframedCallers[name].trusted
	ended := make(chan struct{})
	defer close(ended)
	harness.addServer("a", reporting(1, beginStream(unframedCallers[name].trusted, ended)))
	harness.startedAt("a", 1)
	listener, err := front.Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: harness.handler}
	time.AfterFunc(10*time.Second, func() { _ = server.Close() })
	_, err = os.Stdout.WriteString(listener.Addr().String())
	require.NoError(t, err)
	times := front.HeadTimes{Idle: time.Minute, Head: time.Minute}
	_ = front.NewHeads(harness.budget, func() front.HeadTimes { return times }).Serve(server, listener)
}
