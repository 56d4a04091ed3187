package cmds_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/cmds"
	"primrosegw/core/heads"
	"primrosegw/io/admin"
)

// TestWait guards against a change whose confirmation fails in a way that does
// not tell the operator that the change was made and what is missing.
func TestWait(t *testing.T) {
	tests := []struct {
		name   string
		status int
		answer any
		code   int
		says   []string
	}{
		{
			"all have confirmed", http.StatusOK,
			admin.Confirmed{Generation: 3, Confirmed: []string{"host-1"}, Unreached: []string{"host-9"}},
			cmds.ExitDone,
			[]string{"generation 3", "confirmed by 1 hosts: host-1", "taken for dead: host-9"},
		},
		{
			"one has not", http.StatusOK,
			admin.Confirmed{Generation: 3, Confirmed: []string{"host-1"}, Waiting: []string{"host-2"}},
			cmds.ExitFailed,
			[]string{"generation 3 is made", "not confirmed by: host-2"},
		},
		{
			"the key is not valid any more", http.StatusUnauthorized,
			admin.Problem{Kind: "authentication_error"},
			cmds.ExitFailed,
			[]string{"generation 3 is made", "does not say who", "authentication_error"},
		},
		{
			"the host fails", http.StatusOK, "nothing", cmds.ExitFailed,
			[]string{"generation 3 is made", "no host has answered"},
		},
	}
	t.Setenv("PRIMROSEGW_OPERATOR_KEY", "key")
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			mux := http.NewServeMux()
			mux.HandleFunc("POST /admin/recall", func(writer http.ResponseWriter, _ *http.Request) {
				change := heads.Change{Generation: 3, Action: heads.ActionRecall, Lot: "lot-1"}
				_ = json.NewEncoder(writer).Encode(admin.Changed{Heads: heads.Heads{Generation: 3, History: []heads.Change{change}}})
			})
			mux.HandleFunc("GET /admin/confirmed", func(writer http.ResponseWriter, _ *http.Request) {
				writer.WriteHeader(test.status)
				_ = json.NewEncoder(writer).Encode(test.answer)
			})
			server := httptest.NewServer(mux)
			defer server.Close()
			var out, err bytes.Buffer
			args := []string{"recall", "--lot", "lot-1", "--wait", "--timeout", "1s", "--host", server.URL}
			require.Equal(t, test.code, cmds.Run(args, &out, &err), err.String())
			for _, part := range test.says {
				assert.Contains(t, out.String()+err.String(), part)
			}
		})
	}
}
