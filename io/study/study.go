// Package study plays experiments: one emulated day under several policies and
// seeds, compared request by request where the seeds are the same.
package study

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"

	"golang.org/x/sync/errgroup"

	"primrosegw/core/fault"
	"primrosegw/standin/emul"
	"primrosegw/standin/framing"
)

// Kind is the sort of a study error.
type Kind string

// The kinds of errors.
const (
	// Unreadable: the file can't be read, is no JSON or has unknown fields.
	Unreadable Kind = "unreadable"
	// Invalid: a field has a value that can't be used.
	Invalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// mostSeeds bounds the plays of one experiment.
	mostSeeds = 1000
	// worstSeconds is the number of worst seconds that are summed up.
	worstSeconds = 5
	// confidence is the number of standard errors around a mean within which the
	// true value is to be expected 95 times in 100, for many seeds.
	confidence = 1.96
)

// Plan is an experiment.
type Plan struct {
	// Seeds is the number of seeds, FirstSeed the first one.
	Seeds     int           `json:"seeds"`
	FirstSeed uint64        `json:"first_seed"`
	Policies  []emul.Policy `json:"policies"`
	// Scale multiplies hosts, servers and requests; 0: 1.
	Scale float64  `json:"scale"`
	Day   emul.Day `json:"day"`
}

// Read reads and checks a plan. The error names the field.
func Read(path string) (Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Plan{}, fault.Wrap("study.read", Unreadable, err)
	}
	return Parse(data)
}

// Parse decodes and checks a plan.
func Parse(data []byte) (Plan, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var plan Plan
	if err := decoder.Decode(&plan); err != nil {
		return Plan{}, fault.Wrap("study.parse", Unreadable, err)
	}
	return plan, plan.check()
}

func (plan Plan) check() error {
	if plan.Seeds <= 0 || plan.Seeds > mostSeeds {
		return fault.Field("study.check", Invalid, "seeds", fmt.Sprintf("it is not between 1 and %d", mostSeeds))
	}
	if plan.Scale < 0 {
		return fault.Field("study.check", Invalid, "scale", "it is negative")
	}
	if len(plan.Policies) == 0 {
		return fault.Field("study.check", Invalid, "policies", "it is empty")
	}
	for index, policy := range plan.Policies {
		if !policy.Known() {
			return fault.Field("study.check", Invalid, fmt.Sprintf("policies[%d]", index), fmt.Sprintf("%q is unknown", policy))
		}
	}
	return plan.Day.Check()
}

// Report is what an experiment found.
type Report struct {
	Day      string    `json:"day"`
	Seeds    int       `json:"seeds"`
	Policies []Summary `json:"policies"`
}

// Summary is what a policy came to over all seeds.
type Summary struct {
	Policy emul.Policy `json:"policy"`
	// Worth is the share of the worth that was earned, Worst that of the worst
	// seconds.
	Worth Mean `json:"worth"`
	Worst Mean `json:"worst_seconds"`
	// Gain is the difference in worth to the first policy, seed by seed.
	Gain    Mean           `json:"gain"`
	Classes []ClassSummary `json:"classes"`
	// BySecond is the mean share earned by the second of the day.
	BySecond []float64 `json:"by_second"`
	// Reread is the share of prompt tokens that engines read.
	Read Mean `json:"read"`
	// Again is the millions of shared prompt tokens that engines read within 6 s after their last use
	// on any engine.
	Again Mean `json:"again"`
	// Responses counts the responses of all seeds that servers began, by phase and framing.
	Responses []ResponseSummary `json:"responses"`
}

// ResponseSummary counts the responses of a framing that ended in a phase.
type ResponseSummary struct {
	Phase   emul.Phase      `json:"phase"`
	Framing framing.Framing `json:"framing"`
	emul.ResponseCount
}

// ClassSummary is what the callers of a class got over all seeds.
type ClassSummary struct {
	Name    string  `json:"name"`
	Worth   Mean    `json:"worth"`
	InTime  float64 `json:"in_time"`
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	Lost    float64 `json:"lost"`
	// FirstMs and PauseMs are the medians and 95th percentiles of answered requests.
	FirstMs [2]float64 `json:"first_ms"`
	PauseMs [2]float64 `json:"pause_ms"`
}

// Mean is a mean with the half width of its confidence interval.
type Mean struct {
	Value float64 `json:"value"`
	Error float64 `json:"error"`
}

// Run plays all days of a plan, several at once.
func Run(plan Plan) (Report, error) {
	day := plan.Day
	if plan.Scale > 0 {
		scaled, err := day.Scale(plan.Scale)
		if err != nil {
			return Report{}, fault.Wrap("study.run", Invalid, err)
		}
		day = scaled
	}
	results := make([][]*emul.Result, len(plan.Policies))
	var group errgroup.Group
	group.SetLimit(max(1, runtime.NumCPU()/2))
	for row, policy := range plan.Policies {
		results[row] = make([]*emul.Result, plan.Seeds)
		for column := range plan.Seeds {
			group.Go(func() error {
				played, err := emul.Play(day, policy, plan.FirstSeed+uint64(column))
				results[row][column] = played
				return err
			})
		}
	}
	if err := group.Wait(); err != nil {
		return Report{}, fault.Wrap("study.run", Invalid, err)
	}
	report := Report{Day: day.Name, Seeds: plan.Seeds}
	for row, policy := range plan.Policies {
		report.Policies = append(report.Policies, summarize(policy, results[row], results[0]))
	}
	return report, nil
}

func summarize(policy emul.Policy, results, first []*emul.Result) Summary {
	summary := Summary{
		Policy: policy,
		Worth:  meanOf(results, (*emul.Result).Worth),
		Worst:  meanOf(results, func(result *emul.Result) float64 { return result.Worst(worstSeconds) }),
		Read: meanOf(results, func(result *emul.Result) float64 {
			return float64(result.Engines.Read) / max(1, float64(result.Engines.Read+result.Engines.Cached))
		}),
	}
	summary.Again = meanOf(results, func(result *emul.Result) float64 { return float64(result.Engines.Again) / 1e6 })
	gains := make([]float64, len(results))
	for index := range results {
		gains[index] = results[index].Worth() - first[index].Worth()
	}
	summary.Gain = mean(gains)
	for index := range results[0].Classes {
		summary.Classes = append(summary.Classes, summarizeClass(results, index))
	}
	for second := range results[0].Seconds {
		owed, earned := 0.0, 0.0
		for _, result := range results {
			owed += result.Seconds[second].Owed
			earned += result.Seconds[second].Earned
		}
		summary.BySecond = append(summary.BySecond, earned/max(owed, 1e-9))
	}
	summary.Responses = sumResponses(results)
	return summary
}

// sumResponses adds the counts of all days, without phases that none had.
func sumResponses(results []*emul.Result) []ResponseSummary {
	var found []ResponseSummary
	for _, phase := range emul.Phases() {
		for _, framing := range emul.Framings() {
			sum, known := ResponseSummary{Phase: phase, Framing: framing}, false
			for _, result := range results {
				if count := result.Responses[emul.ResponseKey{Phase: phase, Framing: framing}]; count != nil {
					sum.Add(*count)
					known = true
				}
			}
			if known {
				found = append(found, sum)
			}
		}
	}
	return found
}

func summarizeClass(results []*emul.Result, index int) ClassSummary {
	part := func(outcomes ...string) float64 {
		return meanOf(results, func(result *emul.Result) float64 {
			sum := 0.0
			for _, outcome := range outcomes {
				sum += result.Classes[index].Share(outcome)
			}
			return sum
		}).Value
	}
	var first, pause []float64
	for _, result := range results {
		first = append(first, result.Classes[index].FirstMs...)
		pause = append(pause, result.Classes[index].PauseMs...)
	}
	slices.Sort(first)
	slices.Sort(pause)
	return ClassSummary{
		Name:   results[0].Classes[index].Name,
		Worth:  meanOf(results, func(result *emul.Result) float64 { return result.Classes[index].Worth() }),
		InTime: part("in_time"), Late: part("late"), Refused: part("refused"), Lost: part("failed", "stalled", "gave_up"),
		FirstMs: [2]float64{emul.Quantile(first, 0.5), emul.Quantile(first, 0.95)},
		PauseMs: [2]float64{emul.Quantile(pause, 0.5), emul.Quantile(pause, 0.95)},
	}
}

func meanOf(results []*emul.Result, value func(*emul.Result) float64) Mean {
	values := make([]float64, len(results))
	for index, result := range results {
		values[index] = value(result)
	}
	return mean(values)
}

// mean returns the mean of values with the half width of the interval in which it
// lies 95 times in 100, by the normal approximation.
func mean(values []float64) Mean {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	count := float64(len(values))
	found := Mean{Value: sum / count}
	if len(values) < 2 {
		return found
	}
	squares := 0.0
	for _, value := range values {
		squares += (value - found.Value) * (value - found.Value)
	}
	found.Error = confidence * math.Sqrt(squares/(count-1)/count)
	return found
}
