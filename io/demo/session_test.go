package demo_test

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/tmaxmax/go-sse"

	"primrosegw/cmds"
	"primrosegw/core/heads"
	"primrosegw/core/spec"
	"primrosegw/io/demo"
	"primrosegw/standin/engine"
	"primrosegw/standin/kv"
)

// update writes the golden files anew: go test ./io/demo -run TestSession -update.
var update = flag.Bool("update", false, "write the golden files anew")

// session is the transcript of one session. Steps are written in the order of
// their requests.
type session struct {
	t     *testing.T
	world *demo.World
	text  strings.Builder
	// names replaces digests, which depend on the ports of the run.
	names map[string]string
}

func newSession(t *testing.T, adjust func(*demo.Options)) *session {
	t.Helper()
	world := start(t, func(options *demo.Options) {
		options.Hosts, options.FailureDomains = 1, []string{"caxias"}
		options.Engines = map[string]int{demo.PoolSketch: 1, demo.PoolLedger: 1}
		if adjust != nil {
			adjust(options)
		}
	})
	return &session{t: t, world: world, names: make(map[string]string)}
}

// write adds lines to the transcript.
func (session *session) write(format string, arguments ...any) {
	fmt.Fprintf(&session.text, format+"\n", arguments...)
}

// put puts a changed document in force and waits until all hosts have it.
func (session *session) put(change func(*spec.Document)) {
	session.t.Helper()
	change(&session.world.Document)
	data, err := demo.Encode(session.world.Document)
	require.NoError(session.t, err)
	generation, err := session.world.Put(session.t.Context(), data)
	require.NoError(session.t, err)
	require.Eventually(session.t, func() bool {
		for _, node := range session.world.Nodes {
			if node.Daemon.Generation() < generation {
				return false
			}
		}
		return true
	}, deadline, time.Millisecond)
}

// send sends a request and returns the answer, whose body the caller reads.
func (session *session) send(path, body string, header map[string]string) *http.Response {
	session.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	session.t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, session.world.Nodes[0].URL()+path, strings.NewReader(body))
	require.NoError(session.t, err)
	request.Header.Set("Authorization", "Bearer "+demo.CallerKey+demo.WorkspaceSchools)
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	require.NoError(session.t, err)
	session.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// request writes a request as the caller sends it.
func (session *session) request(path, body string, header map[string]string) {
	session.write("> POST %s", path)
	names := make([]string, 0, len(header))
	for name := range header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		session.write("> %s: %s", name, header[name])
	}
	session.write("> %s", body)
}

// answer writes the status line and the headers that callers act on.
func (session *session) answer(response *http.Response) {
	session.write("< %s", response.Status)
	for _, name := range []string{"Content-Type", "Retry-After", "X-Primrose-Replayed", "X-Request-Id"} {
		if value := response.Header.Get(name); value != "" {
			session.write("< %s: %s", name, value)
		}
	}
}

// whole writes a request and its whole answer.
func (session *session) whole(path, body string, header map[string]string) {
	session.t.Helper()
	session.request(path, body, header)
	response := session.send(path, body, header)
	session.answer(response)
	data, err := io.ReadAll(response.Body)
	require.NoError(session.t, err)
	session.write("< %s\n", bytes.TrimSpace(data))
}

// part is what a transcript shows of a streamed event.
type part struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Model   string `json:"model"`
	Choices []struct {
		Delta struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"delta"`
		Finish string `json:"finish_reason"`
	} `json:"choices"`
	Usage json.RawMessage `json:"usage"`
	Error json.RawMessage `json:"error"`
}

// stream writes the events of a streamed answer. Text that came in several
// pieces is one line, since the pieces depend on when an engine was lost. The
// function is called once, after the first text.
func (session *session) stream(response *http.Response, started func()) {
	session.t.Helper()
	session.answer(response)
	var text strings.Builder
	flush := func() {
		if text.Len() > 0 {
			session.write("< content %q", text.String())
			text.Reset()
		}
	}
	var first part
	for event, err := range sse.Read(response.Body, nil) {
		require.NoError(session.t, err)
		if event.Data == "[DONE]" {
			flush()
			session.write("< [DONE]")
			continue
		}
		var next part
		require.NoError(session.t, json.Unmarshal([]byte(event.Data), &next), "%s", event.Data)
		if first.ID == "" {
			first = next
			session.write("< %s %s %s", next.Object, next.ID, next.Model)
		}
		assert.Equal(session.t, []string{first.ID, first.Object, first.Model}, []string{next.ID, next.Object, next.Model})
		for _, choice := range next.Choices {
			if text.Len() == 0 && choice.Delta.Content != "" && started != nil {
				started()
				started = nil
			}
			text.WriteString(choice.Delta.Content)
			if choice.Delta.Role != "" {
				session.write("< role %s", choice.Delta.Role)
			}
			if choice.Finish != "" {
				flush()
				session.write("< finish %s", choice.Finish)
			}
		}
		if len(next.Usage) > 0 {
			flush()
			session.write("< usage %s", next.Usage)
		}
	}
	session.write("")
}

// command runs the command line with the key of an operator.
func (session *session) command(arguments ...string) {
	session.t.Helper()
	session.write("$ primrosegw %s", strings.Join(arguments, " "))
	connected := slices.Insert(slices.Clone(arguments), 1, "--host", session.world.Nodes[0].AdminURL(), "--key-file", session.keyFile())
	var stdout, stderr bytes.Buffer
	ctx, cancel := context.WithTimeout(session.t.Context(), deadline)
	defer cancel()
	code := cmds.RunContext(ctx, connected, &stdout, &stderr)
	session.write("%s%sexit %d\n", stdout.String(), stderr.String(), code)
}

func (session *session) keyFile() string {
	path := filepath.Join(session.t.TempDir(), "key")
	require.NoError(session.t, os.WriteFile(path, []byte(demo.OperatorKey), 0o600))
	return path
}

// normal replaces what differs from run to run.
func (session *session) normal() string {
	text := session.text.String()
	for digest, name := range session.names {
		text = strings.ReplaceAll(text, digest, name)
		text = strings.ReplaceAll(text, digest[:12], name)
	}
	for _, rule := range []struct{ pattern, with string }{
		{`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`, "ID"},
		{`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d+)?Z`, "TIME"},
		{`"created":\d+`, `"created":0`},
		{`127\.0\.0\.1:\d+`, "ADDRESS"},
		{`[0-9a-f]{64}`, "DIGEST"},
		{`Retry-After: \d+`, "Retry-After: SECONDS"},
		{`\b\d+(\.\d+)?(ms|s)\b`, "SPAN"},
		{regexp.QuoteMeta(os.TempDir()) + `\S*/`, "DIR/"},
	} {
		text = regexp.MustCompile(rule.pattern).ReplaceAllString(text, rule.with)
	}
	return text
}

// check compares the transcript with its golden file.
func (session *session) check(name string) {
	session.t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		require.NoError(session.t, os.MkdirAll("testdata", 0o750))
		require.NoError(session.t, os.WriteFile(path, []byte(session.normal()), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(session.t, err)
	assert.Equal(session.t, string(want), session.normal())
}

// chat returns the body of a request for text.
func chat(stream bool, tokens int, text string) string {
	body := map[string]any{
		"model": demo.ModelSketch, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": text}},
	}
	if stream {
		body["stream"], body["stream_options"] = true, map[string]bool{"include_usage": true}
	}
	data, _ := json.Marshal(body)
	return string(data)
}

const chatPath = "/v1/chat/completions"

// TestSessionAnswers guards against changes of what callers see of a streamed
// and of a whole answer.
func TestSessionAnswers(t *testing.T) {
	session := newSession(t, nil)
	body := chat(true, 8, "How many spots does disc 7 show?")
	session.request(chatPath, body, nil)
	session.stream(session.send(chatPath, body, nil), nil)
	session.whole(chatPath, chat(false, 8, "How many spots does disc 7 show?"), nil)
	session.whole("/v1/completions", `{"model":"sketch-model","max_tokens":8,"prompt":"Plate 1904 shows"}`, nil)
	session.whole(chatPath, `{"model":"sketch-model","messages":[]}`, nil)
	session.check("answers")
}

// TestSessionShed guards against a shed call that does not say that it was not
// run, and against one that disturbs the call that has the engine.
func TestSessionShed(t *testing.T) {
	session := newSession(t, func(options *demo.Options) {
		options.Slots = 1
		options.Engine = engine.Options{StepBase: 10 * time.Millisecond}
	})
	session.put(func(document *spec.Document) {
		document.Lot = "demo-2"
		for index := range document.Classes {
			if document.Classes[index].Name == demo.ClassQuestion {
				// No wait at all meets this target.
				document.Classes[index].FirstTokenMs = 1
			}
		}
	})
	body, header := chat(true, 60, "The report of today"), map[string]string{"X-Primrose-Class": demo.ClassReport}
	session.request(chatPath, body, header)
	report := session.send(chatPath, body, header)
	session.stream(report, func() { session.whole(chatPath, chat(false, 8, "How many spots?"), nil) })
	session.check("shed")
}

// TestSessionResume guards against words that are lost or doubled when the
// engine of a streamed answer crashes.
func TestSessionResume(t *testing.T) {
	session := newSession(t, func(options *demo.Options) {
		options.Engines = map[string]int{demo.PoolSketch: 2, demo.PoolLedger: 1}
		options.Engine = engine.Options{StepBase: 5 * time.Millisecond}
	})
	body := chat(true, 60, "Describe plate 1904")
	session.request(chatPath, body, nil)
	session.stream(session.send(chatPath, body, nil), func() {
		session.write("* the engine crashes")
		crashed := 0
		for _, model := range session.world.Models {
			if model.Load().Running > 0 {
				model.Crash()
				crashed++
			}
		}
		assert.Equal(t, 1, crashed)
	})
	want, _, err := engine.Answer([]byte(body))
	require.NoError(t, err)
	assert.Contains(t, session.text.String(), fmt.Sprintf("%q", want))
	session.check("resume")
}

// TestSessionService guards against a plain service's call that runs twice or
// is answered differently the second time.
func TestSessionService(t *testing.T) {
	session := newSession(t, nil)
	path := "/v1/services/archive/entries"
	session.whole(path, `{"day":1}`, nil)
	header := map[string]string{"Content-Type": "application/json", "Idempotency-Key": "entry-1"}
	session.whole(path, `{"day":1}`, header)
	session.whole(path, `{"day":1}`, header)
	session.whole(path, `{"day":2}`, header)
	require.Len(t, session.world.Archive.Runs(), 1)
	session.check("service")
}

// document writes a changed document into a file and names its digest.
func (session *session) document(lot string) string {
	session.t.Helper()
	changed := session.world.Document
	changed.Lot = lot
	data, err := demo.Encode(changed)
	require.NoError(session.t, err)
	session.names[heads.Digest(data)] = "DIGEST-OF-" + lot
	path := filepath.Join(session.t.TempDir(), lot+".json")
	require.NoError(session.t, os.WriteFile(path, data, 0o600))
	return path
}

func (session *session) digest(lot string) string {
	for digest, name := range session.names {
		if name == "DIGEST-OF-"+lot {
			return digest
		}
	}
	session.t.Fatal("no document of " + lot)
	return ""
}

// TestSessionOperator guards against changes of what an operator sees: a trial,
// a promotion, a recall that all hosts confirm, and their refusals.
func TestSessionOperator(t *testing.T) {
	session := newSession(t, func(options *demo.Options) { options.Hosts = 2 })
	original, err := demo.Encode(session.world.Document)
	require.NoError(t, err)
	session.names[heads.Digest(original)] = "DIGEST-OF-demo-1"
	file := session.document("demo-2")
	session.command("trial", file, "--reason", "a second lot")
	session.command("promote", session.digest("demo-2"), "--reason", "the trial passed", "--wait")
	session.command("promote", session.digest("demo-2"))
	session.command("recall", "--lot", "demo-2", "--reason", "wrong answers", "--wait")
	session.command("recall", "--lot", "demo-2")
	session.command("trial", file)
	session.command("status", "--history", "9")
	session.check("operator")
}

// TestSessionConflict guards against two operators who both believe that their
// change came first. Both read before either writes: the service is slow.
func TestSessionConflict(t *testing.T) {
	session := newSession(t, func(options *demo.Options) { options.Hosts = 2 })
	session.command("trial", session.document("demo-2"))
	session.world.KV.SetFaults(kv.Faults{SlowMs: 300})
	type result struct{ out, err bytes.Buffer }
	results := make([]result, 2)
	codes := make(chan int, 2)
	for index, node := range session.world.Nodes {
		arguments := []string{"promote", "--host", node.AdminURL(), "--key-file", session.keyFile(), session.digest("demo-2"), "--reason", "race"}
		go func() {
			codes <- cmds.RunContext(session.t.Context(), arguments, &results[index].out, &results[index].err)
		}()
	}
	ended := []int{<-codes, <-codes}
	slices.Sort(ended)
	session.write("$ primrosegw promote DIGEST-OF-demo-2 --reason race (twice at the same time)")
	texts := []string{results[0].out.String() + results[0].err.String(), results[1].out.String() + results[1].err.String()}
	// The winner's line starts with "generation", the loser's with "primrosegw".
	slices.Sort(texts)
	for index, code := range ended {
		session.write("%sexit %d\n", texts[index], code)
	}
	session.check("conflict")
}
