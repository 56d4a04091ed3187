package entry_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/cell"
	"primrosegw/core/limit"
)

const (
	chatPath    = "/v1/chat/completions"
	plainPath   = "/v1/completions"
	servicePath = "/v1/services/archive/entries"
)

// badInput is a request that must be refused before it is routed.
type badInput struct {
	ask    ask
	status int
	kind   string
	param  string
}

func badRequest(path, body, param string) badInput {
	return badInput{ask{path: path, body: body}, http.StatusBadRequest, "invalid_request_error", param}
}

func badHeader(name, value, param string) badInput {
	return badInput{ask{body: goodChat, header: map[string]string{name: value}}, http.StatusBadRequest, "invalid_request_error", param}
}

func badBodies() map[string]badInput {
	const message = `"messages":[{"role":"user","content":"x"}]`
	return map[string]badInput{
		"no body":                    badRequest(chatPath, ``, "body"),
		"no JSON":                    badRequest(chatPath, `hello`, "body"),
		"JSON of a list":             badRequest(chatPath, `[]`, "body"),
		"JSON of a text":             badRequest(chatPath, `"model"`, "body"),
		"null":                       badRequest(chatPath, `null`, "body"),
		"cut JSON":                   badRequest(chatPath, goodChat[:len(goodChat)-3], "body"),
		"two values":                 badRequest(chatPath, goodChat+goodChat, "body"),
		"invalid UTF-8":              badRequest(chatPath, "{\"model\":\"sketch\",\"messages\":[{\"role\":\"user\",\"content\":\"\xff\"}]}", "body"),
		"deep JSON":                  badRequest(chatPath, `{"model":"sketch",`+message+`,"extra":`+strings.Repeat("[", 2000)+strings.Repeat("]", 2000)+`}`, "body"),
		"field given twice":          badRequest(chatPath, `{"model":"sketch","model":"other",`+message+`}`, "model"),
		"model missing":              badRequest(chatPath, `{`+message+`}`, "model"),
		"model null":                 badRequest(chatPath, `{"model":null,`+message+`}`, "model"),
		"model in another case":      badRequest(chatPath, `{"MODEL":"sketch",`+message+`}`, "model"),
		"model of a wrong type":      badRequest(chatPath, `{"model":7,`+message+`}`, "model"),
		"stream of a wrong type":     badRequest(chatPath, `{"model":"sketch","stream":"yes",`+message+`}`, "stream"),
		"options of a wrong type":    badRequest(chatPath, `{"model":"sketch","stream_options":{"include_usage":1},`+message+`}`, "stream_options.include_usage"),
		"n above 1":                  badRequest(chatPath, `{"model":"sketch","n":2,`+message+`}`, "n"),
		"n of 0":                     badRequest(chatPath, `{"model":"sketch","n":0,`+message+`}`, "n"),
		"max_tokens of 0":            badRequest(chatPath, `{"model":"sketch","max_tokens":0,`+message+`}`, "max_tokens"),
		"max_tokens below 0":         badRequest(chatPath, `{"model":"sketch","max_tokens":-5,`+message+`}`, "max_tokens"),
		"max_tokens of a fraction":   badRequest(chatPath, `{"model":"sketch","max_tokens":1.5,`+message+`}`, "max_tokens"),
		"max_tokens too large":       badRequest(chatPath, `{"model":"sketch","max_tokens":1e99,`+message+`}`, "max_tokens"),
		"max_tokens of a text":       badRequest(chatPath, `{"model":"sketch","max_tokens":"9",`+message+`}`, "max_tokens"),
		"max_completion_tokens 0":    badRequest(chatPath, `{"model":"sketch","max_completion_tokens":0,`+message+`}`, "max_completion_tokens"),
		"messages missing":           badRequest(chatPath, `{"model":"sketch"}`, "messages"),
		"messages null":              badRequest(chatPath, `{"model":"sketch","messages":null}`, "messages"),
		"messages empty":             badRequest(chatPath, `{"model":"sketch","messages":[]}`, "messages"),
		"messages of a text":         badRequest(chatPath, `{"model":"sketch","messages":"x"}`, "messages"),
		"message null":               badRequest(chatPath, `{"model":"sketch","messages":[null]}`, "messages.0.role"),
		"message without a role":     badRequest(chatPath, `{"model":"sketch","messages":[{"role":"user"},{"content":"x"}]}`, "messages.1.role"),
		"role of a wrong type":       badRequest(chatPath, `{"model":"sketch","messages":[{"role":1}]}`, "messages.0.role"),
		"prompt missing":             badRequest(plainPath, `{"model":"sketch"}`, "prompt"),
		"prompt null":                badRequest(plainPath, `{"model":"sketch","prompt":null}`, "prompt"),
		"prompt empty":               badRequest(plainPath, `{"model":"sketch","prompt":""}`, "prompt"),
		"prompt of a number":         badRequest(plainPath, `{"model":"sketch","prompt":5}`, "prompt"),
		"several prompts":            badRequest(plainPath, `{"model":"sketch","prompt":["a","b"]}`, "prompt"),
		"messages instead of prompt": badRequest(plainPath, `{"model":"sketch",`+message+`}`, "prompt"),
		"unknown model": {
			ask{body: `{"model":"other",` + message + `}`}, http.StatusNotFound, "model_not_found", "model",
		},
		"body too large": {
			ask{body: `{"model":"` + strings.Repeat("x", 64<<10) + `"}`}, http.StatusRequestEntityTooLarge, "invalid_request_error", "body",
		},
	}
}

func badHeaders() map[string]badInput {
	return map[string]badInput{
		"no key": {
			ask{body: goodChat, header: map[string]string{"Authorization": ""}},
			http.StatusUnauthorized, "authentication_error", "Authorization",
		},
		"wrong key": {
			ask{body: goodChat, header: map[string]string{"Authorization": "Bearer wrong"}},
			http.StatusUnauthorized, "authentication_error", "Authorization",
		},
		"key without its scheme": {
			ask{body: goodChat, header: map[string]string{"Authorization": keyAlpha}},
			http.StatusUnauthorized, "authentication_error", "Authorization",
		},
		"models without a key": {
			ask{method: "GET", path: "/v1/models", header: map[string]string{"Authorization": ""}},
			http.StatusUnauthorized, "authentication_error", "Authorization",
		},
		"unknown class":                badHeader("X-Primrose-Class", "nothing", "X-Primrose-Class"),
		"class of another workspace":   badHeader("X-Primrose-Class", report, "X-Primrose-Class"),
		"no idempotency key":           badHeader("X-Primrose-Class", filing, "Idempotency-Key"),
		"long idempotency key":         badHeader("Idempotency-Key", strings.Repeat("k", 129), "Idempotency-Key"),
		"idempotency key of raw bytes": badHeader("Idempotency-Key", "k\xff", "Idempotency-Key"),
		"long request id":              badHeader("X-Request-Id", strings.Repeat("i", 129), "X-Request-Id"),
		"request id of raw bytes":      badHeader("X-Request-Id", "i\xff", "X-Request-Id"),
		"headers too large": {
			ask{body: goodChat, header: map[string]string{"X-Large": strings.Repeat("x", 9<<10)}},
			http.StatusRequestHeaderFieldsTooLarge, "invalid_request_error", "headers",
		},
		"unknown path":     {ask{path: "/v1/nothing", body: goodChat}, http.StatusNotFound, "not_found", ""},
		"wrong method":     {ask{method: "GET"}, http.StatusMethodNotAllowed, "method_not_allowed", ""},
		"wrong method too": {ask{method: "DELETE", path: "/v1/models"}, http.StatusMethodNotAllowed, "method_not_allowed", ""},
		"unknown service": {
			ask{path: "/v1/services/nothing/x"}, http.StatusNotFound, "service_not_found", "name",
		},
		"service without an idempotency key": {
			ask{path: servicePath}, http.StatusBadRequest, "invalid_request_error", "Idempotency-Key",
		},
		"service of a class of another workspace": {
			ask{path: servicePath, header: map[string]string{"Authorization": "Bearer " + keyBeta, "Idempotency-Key": "k"}},
			http.StatusForbidden, "permission_error", "name",
		},
	}
}

// TestBadInput guards against a bad request that is routed, and against an
// answer that does not say what is wrong and that nothing was run.
func TestBadInput(t *testing.T) {
	side := newSide()
	var routed atomic.Int32
	side.router = func(context.Context, cell.Request, func(cell.Chunk) error) (cell.Outcome, error) {
		routed.Add(1)
		return cell.Outcome{}, nil
	}
	side.serve(t)
	for _, table := range []map[string]badInput{badBodies(), badHeaders()} {
		for name, test := range table {
			t.Run(name, func(t *testing.T) {
				response, body := side.do(t, http.DefaultClient, test.ask)
				found := readProblem(t, response, body)
				assert.Equal(t, test.status, response.StatusCode)
				assert.Equal(t, problem{Type: test.kind, Message: found.Message, Run: "not_run", Param: test.param}, found)
				assert.NotContains(t, found.Message, "entry.", "a name of the source code")
				if test.status == http.StatusMethodNotAllowed {
					assert.NotEmpty(t, response.Header.Get("Allow"))
				}
			})
		}
	}
	assert.Zero(t, routed.Load())
	assert.Empty(t, side.ledger.begun)
}

// TestNotReady guards against work that is taken by a host without a document
// or cut off from all others.
func TestNotReady(t *testing.T) {
	side := newSide()
	side.directory.unready = true
	side.serve(t)
	for _, asked := range []ask{{body: goodChat}, {path: servicePath, header: map[string]string{"Idempotency-Key": "k"}}} {
		response, body := side.do(t, http.DefaultClient, asked)
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		assert.Equal(t, "not_run", readProblem(t, response, body).Run)
		assert.Equal(t, "1", response.Header.Get("Retry-After"))
	}
}

// TestLimited guards against a limit that names neither itself nor the time
// after which to come back.
func TestLimited(t *testing.T) {
	side := newSide()
	side.limits = map[string]limit.Limit{"alpha": {RequestsPerSecond: 0.001}}
	side.serve(t)
	for first := true; ; first = false {
		response, body := side.do(t, http.DefaultClient, ask{body: goodChat})
		if response.StatusCode == http.StatusOK {
			require.True(t, first, "the limit was not applied")
			continue
		}
		found := readProblem(t, response, body)
		assert.Equal(t, http.StatusTooManyRequests, response.StatusCode)
		assert.Equal(t, "requests_per_second", found.Param)
		assert.Equal(t, "not_run", found.Run)
		assert.NotEmpty(t, response.Header.Get("Retry-After"))
		break
	}
	other, _ := side.do(t, http.DefaultClient, ask{body: goodChat, header: map[string]string{"Authorization": "Bearer " + keyBeta}})
	assert.Equal(t, http.StatusOK, other.StatusCode, "the limit of one workspace held up another")
}

// TestHostsAreAList guards against null in place of an empty list.
func TestHostsAreAList(t *testing.T) {
	side := newSide().serve(t)
	_, body := side.do(t, http.DefaultClient, ask{method: "GET", path: "/v1/entry", header: map[string]string{"Authorization": ""}})
	assert.JSONEq(t, `{"hosts":[],"ttl_seconds":10}`, body)
}

// TestSlowBody guards against callers that hold a host's memory by a body that
// never arrives, with and without a key.
func TestSlowBody(t *testing.T) {
	cases := map[string]struct {
		key    string
		status int
	}{
		"with a key":    {keyAlpha, http.StatusRequestTimeout},
		"without a key": {"wrong", http.StatusUnauthorized},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			side := newSide()
			side.bounds.BodyTimeout = 100 * time.Millisecond
			side.serve(t)
			connection := dial(t, side.address)
			_, err := connection.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " +
				test.key + "\r\nContent-Length: 1000\r\n\r\n{\"model\""))
			require.NoError(t, err)
			reader := bufio.NewReader(connection)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			defer response.Body.Close()
			assert.Equal(t, test.status, response.StatusCode)
			assert.True(t, response.Close, "the connection stays open for the rest of the body")
		})
	}
}

// TestSlowHeaders guards against connections that never send a request.
func TestSlowHeaders(t *testing.T) {
	side := newSide()
	side.bounds.HeaderTimeout = 100 * time.Millisecond
	side.bounds.IdleTimeout = 100 * time.Millisecond
	side.serve(t)
	for _, sent := range []string{"", "POST /v1/chat", "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"} {
		connection := dial(t, side.address)
		_, err := connection.Write([]byte(sent))
		require.NoError(t, err)
		_, err = bufio.NewReader(connection).ReadString(0)
		assert.ErrorContains(t, err, "EOF", "%q", sent)
	}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	require.NoError(t, connection.SetDeadline(time.Now().Add(patience)))
	return connection
}

// FuzzBody guards against a body that crashes the callers' side or that is
// neither routed nor refused.
func FuzzBody(f *testing.F) {
	for _, test := range badBodies() {
		f.Add([]byte(test.ask.body))
	}
	f.Add([]byte(goodChat))
	f.Add([]byte(liveChat))
	side := newSide()
	handler := side.handler()
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{chatPath, plainPath} {
			response := record(handler, path, body)
			if response.Code != http.StatusOK && response.Code/100 != 4 {
				t.Fatalf("status %d: %s", response.Code, response.Body)
			}
		}
	})
}
