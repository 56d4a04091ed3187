package daemon_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/heads"
	"primrosegw/core/host"
	"primrosegw/core/member"
	"primrosegw/core/spread"
	"primrosegw/io/demo"
	"primrosegw/io/keys"
	"primrosegw/io/link"
	"primrosegw/standin/plain"
)

// vault keeps the TLS files of a fleet.
type vault struct {
	t         *testing.T
	directory string
	material  []*keys.Keys
	names     []string
}

// issue writes the files of a host and reads them.
func (vault *vault) issue(name string) (*keys.Keys, error) {
	files := vault.files(name)
	material, err := keys.New(files)
	if err == nil {
		vault.material = append(vault.material, material)
		vault.names = append(vault.names, name)
	}
	return material, err
}

func (vault *vault) files(name string) keys.Files {
	path := func(suffix string) string { return filepath.Join(vault.directory, name+suffix) }
	return keys.Files{
		Authority: path(".authority"), Certificate: path(".pem"), Key: path(".key"),
		EntryCertificate: path(".pem"), EntryKey: path(".key"),
	}
}

// write issues certificates by an authority and trusts the given ones.
func (vault *vault) write(name string, issuer *keys.Authority, trusted ...*keys.Authority) {
	vault.t.Helper()
	files := vault.files(name)
	pair, err := issuer.Issue(name, net.IPv4(127, 0, 0, 1))
	require.NoError(vault.t, err)
	var authorities []byte
	for _, authority := range trusted {
		authorities = append(authorities, authority.PEM()...)
	}
	for path, content := range map[string][]byte{files.Authority: authorities, files.Certificate: pair.Certificate, files.Key: pair.Key} {
		require.NoError(vault.t, os.WriteFile(path, content, 0o600))
	}
}

// rotate writes and reloads the files of all hosts.
func (vault *vault) rotate(issuer *keys.Authority, trusted ...*keys.Authority) {
	vault.t.Helper()
	for index, name := range vault.names {
		vault.write(name, issuer, trusted...)
		require.NoError(vault.t, vault.material[index].Reload())
	}
}

func newAuthority(t *testing.T) *keys.Authority {
	t.Helper()
	authority, err := keys.NewAuthority("test")
	require.NoError(t, err)
	return authority
}

// trusting returns a caller's client that trusts one authority.
func trusting(authority *keys.Authority) *http.Client {
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authority.PEM())
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, ForceAttemptHTTP2: true}}
}

// TestRotation guards against a change of the authority that drops a request,
// splits the fleet or leaves the old authority trusted.
func TestRotation(t *testing.T) {
	before, after := newAuthority(t), newAuthority(t)
	vault := &vault{t: t, directory: t.TempDir()}
	for _, name := range []string{"host-0", "host-1"} {
		vault.write(name, before, before)
	}
	fleet := startFleet(t, func(options *demo.Options) {
		options.Keys, options.Authority = vault.issue, before.PEM()
	})
	owner, other := fleet.roles(t)
	stream := callWith(t, trusting(before), other, 1, 200)
	await(t, stream.started, "the first words")
	vault.rotate(before, before, after)
	vault.rotate(after, before, after)
	vault.rotate(after, after)
	await(t, stream.ended, "the end of the answer")
	assert.Equal(t, stream.want, stream.text)
	assert.True(t, stream.done, stream.failed)

	renewed := callWith(t, trusting(after), other, 2, 5)
	await(t, renewed.ended, "an answer with the new certificates")
	assert.Equal(t, renewed.want, renewed.text, renewed.failed)
	_, err := trusting(before).Get(other.URL() + "/healthz")
	require.Error(t, err, "callers still get the old certificate")
	assert.True(t, refused(t, before, owner), "the old authority is still trusted")
	assert.False(t, refused(t, after, owner))
}

// refused reports whether a host refuses links with a certificate of an
// authority. The client itself trusts the host whatever its certificate is, so
// that only the host can refuse.
func refused(t *testing.T, authority *keys.Authority, node *demo.Node) bool {
	t.Helper()
	pair, err := authority.Issue("stranger", net.IPv4(127, 0, 0, 1))
	require.NoError(t, err)
	material, err := keys.Of(authority.PEM(), pair)
	require.NoError(t, err)
	config := material.LinkConfig()
	config.VerifyConnection = nil
	from, err := link.New(link.Options{Address: "127.0.0.1:0", TLS: config})
	require.NoError(t, err)
	defer from.Close()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	var answer any
	err = from.Ask(ctx, node.Daemon.Host().LinkAddress, "probe", map[string]string{"cell": "x"}, &answer)
	require.NoError(t, ctx.Err())
	return err != nil
}

// TestNamelessHost guards against a certificate without a name, whose holder
// could claim any.
func TestNamelessHost(t *testing.T) {
	fleet := startFleet(t, nil)
	stranger := fleet.stranger(t, "")
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	var answer any
	err := stranger.Ask(ctx, fleet.Nodes[0].Daemon.Host().LinkAddress, "probe", map[string]string{"cell": "x"}, &answer)
	require.Error(t, err)
}

// TestClaimedName guards against a host that speaks in the name of another: it
// must neither remove it from the fleet nor put a document in force.
func TestClaimedName(t *testing.T) {
	fleet := startFleet(t, nil)
	target, victim := fleet.Nodes[0], fleet.Nodes[1].Daemon.Host()
	address := target.Daemon.Host().LinkAddress
	stranger := fleet.stranger(t, "stranger")
	generation := target.Daemon.Generation()
	forged := heads.Heads{Generation: generation + 100}
	for _, state := range []host.State{host.Leaving, host.Dead} {
		incarnation := victim.Incarnation + 1<<40
		sender := victim
		sender.Incarnation, sender.State = incarnation, state
		require.NoError(t, stranger.Send(t.Context(), address, "member", member.Message{
			Kind: member.Ping, From: victim.Name, Incarnation: incarnation, State: state, Sender: &sender,
		}))
	}
	require.NoError(t, stranger.Send(t.Context(), address, "spread", spread.Message{
		Kind: spread.Repair, From: victim.Name, Incarnation: victim.Incarnation, Generation: forged.Generation, Heads: &forged,
	}))
	// An honest message that follows shows that the others have arrived.
	self := host.Host{Name: "stranger", FailureDomain: "caxias", LinkAddress: stranger.Address(), Incarnation: 1, State: host.Alive}
	require.Eventually(t, func() bool {
		err := stranger.Send(t.Context(), address, "member", member.Message{
			Kind: member.Ping, From: "stranger", Incarnation: 1, State: host.Alive, Sender: &self,
		})
		return err == nil && names(target)["stranger"] == host.Alive
	}, patience, 10*time.Millisecond)
	assert.Equal(t, host.Alive, names(target)[victim.Name])
	assert.Equal(t, generation, target.Daemon.Generation())
}

// names returns the states of the hosts that a host sees alive.
func names(node *demo.Node) map[string]host.State {
	states := make(map[string]host.State)
	for _, known := range node.Daemon.Alive() {
		states[known.Name] = known.State
	}
	return states
}

// lines collects the log lines of all hosts.
type lines struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (lines *lines) Write(data []byte) (int, error) {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	return lines.buffer.Write(data)
}

// count returns the number of lines that hold all of the given texts.
func (lines *lines) count(texts ...string) int {
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	found := 0
	for _, line := range strings.Split(lines.buffer.String(), "\n") {
		holds := func(text string) bool { return strings.Contains(line, text) }
		if !slices.ContainsFunc(texts, func(text string) bool { return !holds(text) }) {
			found++
		}
	}
	return found
}

// TestLogsHoldNoSecrets guards against keys and texts of callers in the logs of
// a session with failures, at the lowest level.
func TestLogsHoldNoSecrets(t *testing.T) {
	log := &lines{}
	fleet := startFleet(t, func(options *demo.Options) { options.Log, options.Level = log, logrus.TraceLevel })
	owner, other := fleet.roles(t)
	streams := []*caller{call(t, owner, 1, 60), call(t, other, 2, 60)}
	for _, stream := range streams {
		await(t, stream.started, "the first words")
	}
	fleet.Models["sketch-0"].Crash()
	for _, stream := range streams {
		await(t, stream.ended, "the end of the answer")
		assert.Equal(t, stream.want, stream.text)
	}
	require.NoError(t, fleet.Archive.Inject(plain.LoseReply, plain.FailBefore, plain.BreakBefore))
	for _, path := range []string{
		"/v1/services/archive/e?q=HiddenQuery", "/v1/services/archive/f?q=HiddenQuery", "/v1/services/archive/g?q=HiddenQuery",
		"/v1/chat/completions", "/v1/completions", "/v1/nothing?q=HiddenQuery",
	} {
		for _, text := range []string{"HiddenBody", `{"model":"sketch-model","messages":"HiddenBody"}`, `{"HiddenBody":1,"HiddenBody":2}`} {
			post(t, other.URL()+path, text)
		}
	}
	log.mutex.Lock()
	defer log.mutex.Unlock()
	written := log.buffer.String()
	require.Greater(t, strings.Count(written, "\n"), 20)
	secrets := []string{demo.CallerKey, demo.OperatorKey, "Bearer", "Hidden", "HiddenKey", "Describe plate", streams[0].want[:20]}
	for _, secret := range secrets {
		if index := strings.Index(written, secret); index >= 0 {
			t.Errorf("%q in the log: %s", secret, written[max(0, index-300):min(len(written), index+100)])
		}
	}
}

func post(t *testing.T, url, text string) {
	t.Helper()
	for _, key := range []string{demo.CallerKey + demo.WorkspaceSchools, "HiddenKey"} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(text))
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+key)
		request.Header.Set("Idempotency-Key", "k"+url[len(url)-20:]+text[:1])
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		_ = response.Body.Close()
	}
}
