package front_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosegw/core/ending"
	"primrosegw/core/idstep"
)

func eventsWith(ids ...int) string {
	var text strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&text, "id: %d\ndata: token %d\n\n", id, id)
	}
	return text.String()
}

// Guards against sound streams that end because their IDs increase by more than one, and against IDs
// that do not increase.
func TestIDsOfAStreamOnlyHaveToIncrease(t *testing.T) {
	for name, test := range map[string]struct {
		ids   []int
		sound int
	}{
		"by ten":       {[]int{10, 20, 30}, 3},
		"by any":       {[]int{1, 2, 7, 100, 101}, 5},
		"from zero":    {[]int{0, 5, 6}, 3},
		"repeated":     {[]int{10, 20, 20}, 2},
		"back":         {[]int{10, 20, 15, 30}, 2},
		"from another": {[]int{5, 9, 1}, 2},
	} {
		harness := newHarness(t, nil)
		harness.addServer("a", respondWithStream(true, eventsWith(test.ids...)))
		got := harness.post("/stream/", "x")
		require.Equal(t, test.sound == len(test.ids), got.err == nil, name)
		require.Equal(t, eventsWith(test.ids[:test.sound]...), got.body, name)
	}
}

// Guards against a missing event where a stream goes on at another server, and against sound streams
// that are ended there.
func TestStreamGoesOnAtTheNextIDOfItsSteps(t *testing.T) {
	for name, test := range map[string]struct {
		sent, rest []int
		sound      bool
	}{
		"by one":                   {[]int{1, 2, 3}, []int{4, 5}, true},
		"by one, missing":          {[]int{1, 2, 3}, []int{5, 6}, false},
		"by ten":                   {[]int{10, 20}, []int{30, 40}, true},
		"by ten, missing":          {[]int{10, 20}, []int{40, 50}, false},
		"by ten, repeated":         {[]int{10, 20}, []int{20, 30}, false},
		"steps differ":             {[]int{3, 7, 20}, []int{60, 61}, true},
		"steps differ, repeated":   {[]int{3, 7, 20}, []int{20, 61}, false},
		"one event":                {[]int{10}, []int{20, 30}, true},
		"one event, missing":       {[]int{10}, []int{30, 40}, false},
		"one event, by one":        {[]int{1}, []int{2, 3}, true},
		"one event, missing one":   {[]int{1}, []int{3, 4}, false},
		"one event, nothing shown": {[]int{10}, []int{20}, false},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, nil)
			respond := firstThen(respondWithStream(false, eventsWith(test.sent...)), respondWithStream(true, eventsWith(test.rest...)))
			harness.addServer("a", respond)
			harness.addServer("b", respond)
			got := harness.post("/resume/", "x")
			if test.sound {
				require.NoError(t, got.err)
				require.Equal(t, eventsWith(test.sent...)+eventsWith(test.rest...), got.body)
			} else {
				require.Error(t, got.err)
				require.Equal(t, eventsWith(test.sent...), got.body)
			}
		})
	}
}

// Guards against a stream that is taken up, whose steps its host has not seen, and whose first event
// is judged before the second one shows them.
func TestTakenUpStreamWithLargerSteps(t *testing.T) {
	for rest, sound := range map[[2]int]bool{{40, 50}: true, {50, 60}: false, {31, 32}: true, {32, 33}: false} {
		harness := newHarness(t, nil)
		harness.addServer("a", func(request *http.Request, conn net.Conn) {
			writeResponse(conn, 200, request.Header.Get("X-Id"), []string{signed, eventStream, "Transfer-Encoding: chunked"}, chunk(": comment\n\n"+eventsWith(rest[0])))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, chunk(": comment\n\n"+eventsWith(rest[1]))+"0\r\n\r\n")
		})
		got := harness.post("/resume/", "x", "X-Last", "30")
		if sound {
			require.NoError(t, got.err)
			require.Equal(t, 200, got.status, rest)
			require.Contains(t, got.body, eventsWith(rest[0]))
			require.Contains(t, got.body, eventsWith(rest[1]))
		} else {
			require.Equal(t, http.StatusBadGateway, got.status, rest)
		}
	}
}

// tail responds to a request that goes on with a stream with its events after the last one that the caller has, and
// to others with all of them.
func tail(isFramed bool, ids ...int) responder {
	return func(request *http.Request, conn net.Conn) {
		last, _ := strconv.Atoi(request.Header.Get("X-Last"))
		rest := slices.DeleteFunc(slices.Clone(ids), func(id int) bool { return id <= last })
		if isFramed {
			respondWithStream(true, eventsWith(rest...))(request, conn)
			return
		}
		respondUntilEnd(200, eventsWith(rest...), eventStream)(request, conn)
	}
}

// Guards against a sound stream that does not go on for a caller who takes it up before its last event, because
// its IDs increase by more than one: no event follows that would show the step.
func TestTakenUpStreamGoesOnWithItsLastEvent(t *testing.T) {
	for name, isFramed := range map[string]bool{"framed": true, "unframed": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil)
			harness.addServer("a", tail(isFramed, 20, 40, 60))
			require.Equal(t, eventsWith(20, 40, 60), harness.post("/resume/", "x").body, harness.log.String())
			for last, rest := range map[string]string{"40": eventsWith(60), "20": eventsWith(40, 60)} {
				got := harness.post("/resume/", "x", "X-Last", last)
				require.Equal(t, http.StatusOK, got.status, harness.log.String())
				require.NoError(t, got.err, harness.log.String())
				require.Equal(t, rest, got.body)
			}
			require.Equal(t, 3, harness.streamsAt("a"), "no run in vain")
			require.Regexp(t, `"event_name":"step_learned".*"step":20`, harness.log.String())
		})
	}
}

// Guards against the same at a host that has seen no stream: another host tells it the step.
func TestStreamIsTakenUpWithAToldStep(t *testing.T) {
	harness := newHarness(t, nil)
	harness.addServer("a", tail(true, 20, 40, 60))
	harness.steps.Apply([]idstep.Report{{Service: "engines", Step: 20}}, time.Now())
	got := harness.post("/resume/", "x", "X-Last", "40")
	require.Equal(t, http.StatusOK, got.status, harness.log.String())
	require.Equal(t, eventsWith(60), got.body)
}

// Guards against the same where no step is known: if two servers go on with the same event, it is the next one. One
// alone, or two that differ, show nothing.
func TestTwoServersShowTheNextEvent(t *testing.T) {
	for name, test := range map[string]struct {
		servers [][]int
		want    string
	}{
		"one":                       {[][]int{{20, 40, 60}}, ""},
		"two":                       {[][]int{{20, 40, 60}, {20, 40, 60}}, eventsWith(60)},
		"two that differ":           {[][]int{{40, 60}, {40, 80}}, ""},
		"uneven, a larger step":     {[][]int{{40, 60, 63}, {40, 60, 63}}, eventsWith(60, 63)},
		"uneven, one leaves out":    {[][]int{{40, 60, 63}, {40, 63}}, ""},
		"a smaller step than usual": {[][]int{{40, 41}}, eventsWith(41)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil)
			for index, ids := range test.servers {
				harness.addServer(string(rune('a'+index)), tail(true, ids...))
			}
			got := harness.post("/resume/", "x", "X-Last", "40")
			if test.want == "" {
				require.Equal(t, http.StatusBadGateway, got.status, harness.log.String())
				return
			}
			require.Equal(t, http.StatusOK, got.status, harness.log.String())
			require.Equal(t, test.want, got.body)
		})
	}
}

// Guards against a missing event where the step is known, though several servers leave it out.
func TestMissingEventIsFoundWhereStepsAreEven(t *testing.T) {
	harness := newHarness(t, nil)
	respond := func(request *http.Request, conn net.Conn) {
		if request.Header.Get("X-Last") == "" {
			tail(true, 20, 40, 60, 80, 100)(request, conn)
			return
		}
		tail(true, 80)(request, conn)
	}
	harness.addServer("a", respond)
	harness.addServer("b", respond)
	for range 2 {
		require.Equal(t, http.StatusOK, harness.post("/resume/", "x").status)
	}
	require.Equal(t, http.StatusBadGateway, harness.post("/resume/", "x", "X-Last", "40").status, harness.log.String())
	require.Equal(t, http.StatusOK, harness.post("/resume/", "x", "X-Last", "60").status, harness.log.String())
}

// Guards against what a refused take-up sets off: a sound server that is suspended, or counts as crashed or as
// cutting its responses, which would cost other callers theirs.
func TestUnclearNextEventIsNoFailureOfTheServer(t *testing.T) {
	for name, isFramed := range map[string]bool{"framed": true, "unframed": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, nil)
			harness.addServer("a", tail(isFramed, 20, 40, 60))
			for range 3 {
				require.Equal(t, http.StatusBadGateway, harness.post("/resume/", "x", "X-Last", "40").status, harness.log.String())
			}
			// What is found out of a cut takes some time.
			time.Sleep(300 * time.Millisecond)
			require.Equal(t, ending.Unseen, harness.cuts.Status("engines", "", true, time.Now()), harness.log.String())
			for _, event := range []string{"cut_seen", "server_suspended", "server_crashed", "quarantine_started"} {
				require.NotContains(t, harness.log.String(), event)
			}
			require.Equal(t, eventsWith(20, 40, 60), harness.post("/stream/", "x").body, harness.log.String())
		})
	}
}
