package bench_test

import (
	"bufio"
	"cmp"
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"primrosegw/core/cell"
)

var (
	seeds    = flag.Int("seeds", 5, "number of seeds")
	only     = flag.String("only", "", "run only the scenario of this name")
	onlyWith = flag.String("policy", "", "run only the policy of this name")
	update   = flag.Bool("update", false, "write docs/measures.md and its plots")
	parallel = flag.Int("runners", 5, "number of runs at once")
)

// The names of policies: subject is the one whose figures are held against the
// bounds, the others are the baselines.
const (
	subject   = "primrosegw"
	robinName = "round_robin_fifo"
	leastName = "least_reported_load"
)

// policies returns the router, the baselines, and the router with one mechanism
// off at a time, each of these in the workloads that the mechanism is for.
func policies() []policy {
	build := func(switches cell.Switches) func(context.Context, *fleet, uint64) router {
		return func(ctx context.Context, fleet *fleet, seed uint64) router {
			return newPrimrose(ctx, fleet, seed, switches)
		}
	}
	policies := []policy{
		{name: subject, build: build(cell.Switches{})},
		{name: robinName, build: func(_ context.Context, fleet *fleet, _ uint64) router { return newRoundRobin(fleet) }},
		{name: leastName, build: func(ctx context.Context, fleet *fleet, seed uint64) router { return newLeastLoad(ctx, fleet, seed) }},
	}
	for _, mechanism := range mechanisms() {
		policies = append(policies, policy{
			name: "without_" + mechanism.name, scenarios: mechanism.scenarios, build: build(mechanism.switches),
		})
	}
	return policies
}

// results collects the figures of runs that end in any order.
type results struct {
	mutex   sync.Mutex
	figures []figure
}

// add appends figures.
func (results *results) add(figures []figure) {
	results.mutex.Lock()
	defer results.mutex.Unlock()
	results.figures = append(results.figures, figures...)
}

// TestMeasure takes the measures of docs/design.md, section 7, and fails when a
// figure of the router is outside its bound and not listed in KNOWN-RED.txt. It
// guards against changes that cost callers their targets.
func TestMeasure(t *testing.T) {
	var results results
	gate := make(chan struct{}, *parallel)
	t.Run("runs", func(t *testing.T) {
		for _, profile := range profiles() {
			for _, scenario := range scenarios() {
				for _, policy := range policies() {
					for seed := uint64(1); seed <= uint64(*seeds); seed++ {
						measureOne(t, gate, &results, profile, scenario, policy, seed)
					}
				}
			}
		}
	})
	results.figures = append(results.figures, leads(results.figures)...)
	slices.SortStableFunc(results.figures, compareFigures)
	if *update {
		require.Empty(t, *only+*onlyWith, "-update needs the whole set")
		writePage(t, results.figures)
	}
	known := readKnown(t, "../KNOWN-RED.txt")
	for _, figure := range results.figures {
		if testing.Verbose() {
			fmt.Println(figure)
		}
		judge(t, figure, known)
	}
}

// measureOne takes the figures of one run, as a parallel subtest.
func measureOne(t *testing.T, gate chan struct{}, results *results, profile profile, scenario scenario, policy policy, seed uint64) {
	if !wanted(profile, scenario, policy, seed) {
		return
	}
	t.Run(fmt.Sprintf("%s/%s/%s/%d", profile.name, scenario.name, policy.name, seed), func(t *testing.T) {
		t.Parallel()
		gate <- struct{}{}
		defer func() { <-gate }()
		results.add(figures(run(t, profile, scenario, policy, seed)))
	})
}

// wanted reports whether a run belongs to the set. The race detector makes a run
// ten times slower and looks for data races, not for figures: with it, one seed
// of the router is run in the smaller environment.
func wanted(profile profile, scenario scenario, policy policy, seed uint64) bool {
	if raceEnabled && (seed > 1 || policy.name != subject || profile.name != "b") {
		return false
	}
	return (len(policy.scenarios) == 0 || slices.Contains(policy.scenarios, scenario.name)) &&
		(*only == "" || *only == scenario.name) && (*onlyWith == "" || *onlyWith == policy.name)
}

// leads returns how far the router's crest is ahead of the better baseline.
func leads(figures []figure) []figure {
	type key struct {
		profile string
		seed    uint64
	}
	best := map[key]float64{}
	for _, figure := range figures {
		if figure.measure == "crest" && (figure.policy == robinName || figure.policy == leastName) {
			at := key{figure.profile, figure.seed}
			best[at] = max(best[at], figure.value)
		}
	}
	var leads []figure
	for _, figure := range figures {
		baseline, found := best[key{figure.profile, figure.seed}]
		if figure.measure == "crest" && figure.policy == subject && found {
			figure.measure, figure.value, figure.bound = "crest_lead", figure.value-baseline, above(0)
			leads = append(leads, figure)
		}
	}
	return leads
}

// compareFigures orders lines by measure, environment, policy and seed.
func compareFigures(a, b figure) int {
	return cmp.Or(
		cmp.Compare(a.measure, b.measure), cmp.Compare(a.profile, b.profile), cmp.Compare(a.class, b.class),
		cmp.Compare(a.policy, b.policy), cmp.Compare(a.seed, b.seed),
	)
}

// judge fails the test when a figure of the router is outside its bound and not
// listed as known.
func judge(t *testing.T, figure figure, known map[string]bool) {
	if figure.policy != subject || figure.bound.holds(figure.value) {
		return
	}
	if known[knownKey(figure)] {
		fmt.Println("known red:", figure)
		return
	}
	t.Errorf("outside its bound: %s", figure)
}

// knownKey names a figure in KNOWN-RED.txt.
func knownKey(figure figure) string {
	return fmt.Sprintf("measure=%s profile=%s seed=%d", figure.measure, figure.profile, figure.seed)
}

// readKnown returns the entries of this test in the list of known failures: the
// lines "TestMeasure measure=<name> profile=<name> seed=<n> | ...".
func readKnown(t *testing.T, path string) map[string]bool {
	known := map[string]bool{}
	file, err := os.Open(path)
	if os.IsNotExist(err) {
		return known
	}
	require.NoError(t, err)
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		entry, found := strings.CutPrefix(scanner.Text(), "TestMeasure ")
		if !found {
			continue
		}
		name, _, _ := strings.Cut(entry, "|")
		known[strings.TrimSpace(name)] = true
	}
	require.NoError(t, scanner.Err())
	return known
}
