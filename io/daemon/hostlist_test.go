package daemon_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/core/host"
	"primrosegw/io/daemon"
)

// Guards against an answer without a list that is taken for an empty one: all seeds, and what was known as
// leaving, would be forgotten.
func TestAnswerWithoutAListIsNoEmptyList(t *testing.T) {
	for name, answer := range map[string]struct {
		status int
		body   string
		want   []host.Host
	}{
		"nothing":      {status: http.StatusOK},
		"null":         {status: http.StatusOK, body: "null"},
		"no content":   {status: http.StatusNoContent},
		"a cut list":   {status: http.StatusOK, body: `[{"name":"a"},`},
		"a failure":    {status: http.StatusServiceUnavailable, body: `[]`},
		"an empty one": {status: http.StatusOK, body: "[]", want: []host.Host{}},
		"a host":       {status: http.StatusOK, body: `[{"name":"a"}]`, want: []host.Host{{Name: "a"}}},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(answer.status)
				_, _ = writer.Write([]byte(answer.body))
			}))
			defer server.Close()
			listed, err := daemon.ReadHostList(server.Client(), server.URL)
			require.Equal(t, answer.want, listed)
			require.Equal(t, answer.want == nil, fault.Is(err, daemon.Unlisted), "%v", err)
		})
	}
}
