package docs_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// capacity is docs/capacity.json: the target size and the measured slopes.
type capacity struct {
	Target map[string]float64 `json:"target"`
	Slopes map[string]struct {
		Value   float64 `json:"value"`
		Unit    string  `json:"unit"`
		What    string  `json:"what"`
		Command string  `json:"command"`
	} `json:"slopes"`
}

func (capacity capacity) slope(t *testing.T, name string) float64 {
	t.Helper()
	slope, found := capacity.Slopes[name]
	require.True(t, found, "slope %s", name)
	return slope.Value
}

var update = flag.Bool("update", false, "write the computed tables of CAPACITY.md again")

const (
	tableBegin = "<!-- computed: go test ./docs -run TestCapacity -update -->"
	tableEnd   = "<!-- end of computed -->"
)

// TestCapacity recomputes the tables of CAPACITY.md from the measured slopes, so
// that the page and the figures can't part.
func TestCapacity(t *testing.T) {
	data, err := os.ReadFile("capacity.json")
	require.NoError(t, err)
	var capacity capacity
	require.NoError(t, json.Unmarshal(data, &capacity))
	page, err := os.ReadFile("CAPACITY.md")
	require.NoError(t, err)
	head, rest, found := strings.Cut(string(page), tableBegin)
	require.True(t, found)
	_, tail, found := strings.Cut(rest, tableEnd)
	require.True(t, found)
	wanted := head + tableBegin + "\n\n" + capacity.tables(t) + "\n" + tableEnd + tail
	if *update {
		require.NoError(t, os.WriteFile("CAPACITY.md", []byte(wanted), 0o644))
		return
	}
	require.Equal(t, wanted, string(page), "write it again with -update")
}

// tables computes what each role takes at the target.
func (capacity capacity) tables(t *testing.T) string {
	target := capacity.Target
	slope := func(name string) float64 { return capacity.slope(t, name) }
	nodes := target["nodes"]
	requests := target["requests_per_second"] / nodes
	tokens := target["tokens_per_second"] / nodes
	engines := target["engines"] / nodes
	link := slope("gossip_messages") * slope("link_overhead")
	reports := engines * slope("engine_reads") * slope("engine_exchange")
	control := slope("gossip_bytes") + link + reports
	most := slope("gossip_bytes_most") + link + reports
	plans := target["models"] / slope("plan_interval") * slope("plan_decision") / 1e3 * 100 / target["models"]
	var out strings.Builder
	row := func(cells ...string) { fmt.Fprintf(&out, "| %s |\n", strings.Join(cells, " | ")) }
	row("per host at the target", "value", "bound", "from")
	row("---", "---", "---", "---")
	row("requests entered a second", fmt.Sprintf("%.1f", requests), "", "22,000 / 340")
	row("tokens relayed a second, as entry and again as owner", fmt.Sprintf("%.0f", tokens), "", "4.5 million / 340")
	row("engines read by an owner", fmt.Sprintf("%.1f", engines), "", "1,400 / 340")
	row("control bytes sent, mean", fmt.Sprintf("%.0f B/s", control), "13,000 B/s", "gossip_bytes + gossip_messages x link_overhead + engines x engine_reads x engine_exchange")
	row("control bytes sent, highest host", fmt.Sprintf("%.0f B/s", most), "13,000 B/s", "the same with gossip_bytes_most")
	row("control processor time", fmt.Sprintf("%.2f %% of a core", slope("idle_cpu")+slope("gossip_cpu")), "2.4 %", "idle_cpu + gossip_cpu")
	row("control memory on the heap", fmt.Sprintf("%.2f MB", slope("gossip_memory")), "32 MB", "gossip_memory; the whole process is at process_memory")
	row("routing decisions", fmt.Sprintf("%.3f %% of a core", requests*slope("route_decision")/1e4), "", "requests x route_decision")
	row("queue decisions", fmt.Sprintf("%.3f %% of a core", requests*slope("queue_decision")/1e4), "", "requests x queue_decision")
	row("entry: relaying", fmt.Sprintf("%.2f cores", (requests*slope("entry_request")+tokens*slope("entry_token"))/1e6), "", "requests x entry_request + tokens x entry_token")
	row("owner: relaying", fmt.Sprintf("%.2f cores", tokens*slope("owner_token")/1e6), "", "tokens x owner_token")
	row("placer: planning, one pool", fmt.Sprintf("%.2f %% of a core", plans), "", "plan_decision / plan_interval")
	out.WriteString("\n")
	row("key-value service at the target", "calls a second", "bound", "from")
	row("---", "---", "---", "---")
	row("ledger writes, all partitions busy", fmt.Sprintf("%.0f", slope("ledger_writes")*slope("ledger_partitions")), fmt.Sprintf("%.0f writes", target["service_writes_per_second"]), "ledger_writes x ledger_partitions")
	row("relays", fmt.Sprintf("%.2f", slope("service_calls")), fmt.Sprintf("%.0f reads", target["service_reads_per_second"]), "service_calls")
	row("placer leases, two candidates a pool, one call in 10 s", fmt.Sprintf("%.1f", target["models"]*2/10), "", "models x 2 / 10 s")
	row("changes of configuration", fmt.Sprintf("%.3f", target["changes_per_day"]*3/86400), "", "changes_per_day x 3 writes / 86,400 s")
	return out.String()
}
