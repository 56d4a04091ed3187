package cmds_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosegw/cmds"
	"primrosegw/standin/cutter"
)

// Guards against a command that prints a part of a list, or reports a change as made, after a cut answer.
func TestCutAnswersPrintNothing(t *testing.T) {
	t.Setenv("PRIMROSEGW_OPERATOR_KEY", "key")
	commands := map[string][]string{
		`{"environment":"e","generation":3,"heads":{"generation":3},"hosts":[{"name":"host-1"},{"name":"host-2"}]}`: {"status"},
		`{"heads":{"generation":3,"history":[{"generation":3,"action":"recall","lot":"lot-1"}]}}`:                   {"recall", "--lot", "lot-1", "--wait", "--timeout", "1s"},
	}
	for body, arguments := range commands {
		for _, framing := range cutter.Framings() {
			t.Run(arguments[0]+" "+string(framing), func(t *testing.T) {
				answer, _ := cutter.Answer(framing, "200 OK", body)
				device, err := cutter.New(cutter.Close, func(*http.Request) []byte { return answer })
				require.NoError(t, err)
				defer func() { _ = device.Close() }()
				for cut := range strings.LastIndex(string(answer), "}") + 1 {
					device.CutAfter(cut)
					var out, errs bytes.Buffer
					code := cmds.Run(append(arguments, "--host", device.URL()), &out, &errs)
					require.Equal(t, cmds.ExitFailed, code, "cut after %d: %s", cut, errs.String())
					require.Empty(t, out.String(), "cut after %d", cut)
					require.NotEmpty(t, errs.String())
				}
			})
		}
	}
}
