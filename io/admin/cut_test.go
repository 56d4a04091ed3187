package admin_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/io/admin"
	"primrosegw/standin/cutter"
)

// silentStep is every how many bytes a silent device cuts, since each cut takes its time.
const silentStep = 29

// cuts calls test with a client for each way, framing and cut of an answer.
func cuts(t *testing.T, status, body string, test func(t *testing.T, client *admin.Client, answer string, cut int)) {
	for _, way := range cutter.Ways() {
		for _, framing := range cutter.Framings() {
			t.Run(string(way)+" "+string(framing), func(t *testing.T) {
				t.Parallel()
				answer, _ := cutter.Answer(framing, status, body)
				device, err := cutter.New(way, func(*http.Request) []byte { return answer })
				require.NoError(t, err)
				defer func() { _ = device.Close() }()
				step := 1
				if way == cutter.Silent {
					step = silentStep
				}
				for cut := 0; cut < len(answer); cut += step {
					device.CutAfter(cut)
					before := device.Requests()
					test(t, admin.NewClient(device.URL(), "key"), string(answer), cut)
					require.Equal(t, int64(1), device.Requests()-before, "cut after %d", cut)
				}
			})
		}
	}
}

// Guards against a part of a list that an operator takes for the whole one.
func TestCutListIsNoList(t *testing.T) {
	reads := map[string]struct {
		body string
		read func(ctx context.Context, client *admin.Client) error
	}{
		"status": {`{"environment":"e","generation":3,"heads":{"generation":3},"hosts":[{"name":"a"},{"name":"b"}]}`, func(ctx context.Context, client *admin.Client) error {
			_, err := client.Status(ctx)
			return err
		}},
		"confirmed": {`{"generation":3,"confirmed":["a"],"waiting":["b"],"unreached":["c"]}`, func(ctx context.Context, client *admin.Client) error {
			_, err := client.Confirmed(ctx, 3)
			return err
		}},
		"recall": {`{"heads":{"generation":3,"history":[{"generation":3}]}}`, func(ctx context.Context, client *admin.Client) error {
			_, err := client.Recall(ctx, "lot", "test")
			return err
		}},
	}
	for name, test := range reads {
		t.Run(name, func(t *testing.T) {
			cuts(t, "200 OK", test.body, func(t *testing.T, client *admin.Client, answer string, cut int) {
				err := test.read(t.Context(), client)
				if last := strings.LastIndex(answer, "}"); cut <= last || err != nil {
					require.True(t, fault.Is(err, admin.Unreachable), "cut after %d of %d: %v", cut, last, err)
				}
			})
		})
	}
}

// Guards against a change that may have been made and is reported as refused, because the host's reason is cut short.
func TestCutReasonOfAHostIsNoRefusal(t *testing.T) {
	const body = `{"kind":"unsettled","message":"the outcome of the write is unknown"}`
	cuts(t, "503 Service Unavailable", body, func(t *testing.T, client *admin.Client, answer string, cut int) {
		_, err := client.Recall(t.Context(), "lot", "test")
		last := strings.LastIndex(answer, "}")
		if cut <= last || !strings.Contains(err.Error(), "unsettled") {
			require.True(t, fault.Is(err, admin.Unreachable), "cut after %d of %d: %v", cut, last, err)
		}
	})
}

// Guards against hosts that count as confirmed by an answer that is not about the generation asked for.
func TestAnswerAboutNoGenerationConfirmsNothing(t *testing.T) {
	for _, body := range []string{`{}`, `{"generation":2,"confirmed":["a"]}`} {
		answer, whole := cutter.Answer(cutter.Length, "200 OK", body)
		device, err := cutter.New(cutter.Close, func(*http.Request) []byte { return answer })
		require.NoError(t, err)
		device.CutAfter(whole)
		_, err = admin.NewClient(device.URL(), "key").Confirmed(t.Context(), 3)
		require.True(t, fault.Is(err, admin.Unreachable), "%s: %v", body, err)
		require.NoError(t, device.Close())
	}
}
