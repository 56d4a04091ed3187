package bench_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"primrosegw/core/heads"
	"primrosegw/core/spec"
)

// newDocument returns the stored form of a document with engines in 18 pools
// and 660 workspaces, as at the two-year target.
func newDocument(t *testing.T, engines, generation int) []byte {
	document := spec.Document{Environment: environment, Lot: fmt.Sprintf("lot-%d", generation)}
	for i := range 18 {
		document.Pools = append(document.Pools, spec.Pool{
			Name: fmt.Sprintf("pool-%02d", i), Model: fmt.Sprintf("model-%02d", i),
			Versions: []spec.Version{{Name: fmt.Sprintf("v%d", generation), Lot: fmt.Sprintf("weights-%d", generation)}},
		})
	}
	for i := range engines {
		document.BackendServers = append(document.BackendServers, spec.BackendServer{
			Name: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("http://10.1.%d.%d:9000", i/250, i%250),
			FailureDomain: fmt.Sprintf("domain-%02d", i%domains), Pool: fmt.Sprintf("pool-%02d", i%18),
			Slots: 16 + i%4, ReportsLoad: true, ChecksFence: i%3 > 0,
		})
	}
	for i := range 660 {
		name := fmt.Sprintf("workspace-%03d", i)
		document.Workspaces = append(document.Workspaces, spec.Workspace{
			Name: name, Keys: []spec.Key{{Name: "first", SHA256: heads.Digest([]byte(name))}},
			Classes: []string{"question", "report"}, DefaultClass: "question", Weight: 1, RequestsPerSecond: float64(10 + i),
		})
	}
	data, err := json.Marshal(document)
	require.NoError(t, err)
	return data
}

// summary is a cell's load as it rides on heartbeats, as a CBOR array.
type summary struct {
	_      struct{} `cbor:",toarray"`
	Cell   string
	Free   int
	Slots  int
	WaitMs [6]uint32
	Queued int
	// At is the owner's time, in milliseconds.
	At int64
}

// summaryLife is the age beyond which a summary is not passed on, in
// milliseconds. Entry hosts ask the owner instead of using an older one.
const summaryLife = 2000

// summaries are the summaries of one failure domain's cells at one host.
type summaries struct {
	owned map[string]bool
	order []string
	known map[string]summary
	// ages and merged give the mean age of the summaries that came in.
	ages, merged int64
}

// newSummaries deals the domain's share of all cells over its hosts.
func newSummaries(node *node, cells, hosts int) *summaries {
	summaries := &summaries{owned: map[string]bool{}, known: map[string]summary{}}
	var index, domain int
	_, _ = fmt.Sscanf(node.host.Name, "entry-%d", &index)
	_, _ = fmt.Sscanf(node.host.FailureDomain, "domain-%d", &domain)
	used := min(domains, hosts)
	local := (hosts - domain + domains - 1) / domains
	for cell := domain; cell < cells; cell += used {
		name := fmt.Sprintf("pool-%02d/domain-%02d/%d", cell%18, domain, cell/18)
		summaries.order = append(summaries.order, name)
		if cell/used%local == index/domains {
			summaries.owned[name] = true
		}
	}
	return summaries
}

// pack returns what rides on a ping: the own cells' summaries of this moment
// and those of others that are young enough.
func (summaries *summaries) pack() []byte {
	now := time.Now().UnixMilli()
	var all []summary
	for i, name := range summaries.order {
		if summaries.owned[name] {
			load := int(now/100+int64(i)) % 16
			wait := uint32(now) % 3000
			summaries.known[name] = summary{
				Cell: name, Free: load, Slots: 256, Queued: 10 * load, At: now,
				WaitMs: [6]uint32{0, wait / 8, wait / 4, wait / 2, wait, 2 * wait},
			}
		}
		if known, found := summaries.known[name]; found && now-known.At < summaryLife {
			all = append(all, known)
		}
	}
	if len(all) == 0 {
		return nil
	}
	// Plain numbers and strings can't fail to encode.
	data, _ := cbor.Marshal(all)
	return data
}

// merge takes the summaries off a ping.
func (summaries *summaries) merge(data []byte) {
	var all []summary
	if len(data) == 0 || cbor.Unmarshal(data, &all) != nil {
		return
	}
	now := time.Now().UnixMilli()
	for _, one := range all {
		if one.At > summaries.known[one.Cell].At && !summaries.owned[one.Cell] {
			summaries.known[one.Cell] = one
			summaries.ages += now - one.At
			summaries.merged++
		}
	}
}
