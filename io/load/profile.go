// Package load is an open-loop load generator: it sends calls at the times that
// a profile asks for, whether or not earlier calls have ended, and measures what
// callers get.
package load

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"primrosegw/core/fault"
)

// Kind is the sort of an error of this package.
type Kind string

// The kinds of errors.
const (
	// Malformed: a profile is not JSON, or has an unknown field or a wrong type.
	Malformed Kind = "malformed"
	// Invalid: a profile's field has a value that is not allowed.
	Invalid Kind = "invalid"
	// Unreachable: no target tells the addresses of entry hosts.
	Unreachable Kind = "unreachable"
	// Report: the report could not be drawn.
	Report Kind = "report"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Profile describes a load.
type Profile struct {
	// Seed makes the arrivals and lengths repeatable.
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"duration_seconds"`
	// RatePerSecond is the mean number of calls per second outside of swings.
	RatePerSecond float64     `json:"rate_per_second"`
	Swings        []Swing     `json:"swings"`
	Classes       []Class     `json:"classes"`
	Workspaces    []Workspace `json:"workspaces"`
	// Phases name times of the run, by which responses are counted.
	Phases []Phase `json:"phases"`
}

// Swing multiplies the rate by Factor from AtSeconds on, reached and left over
// RampSeconds. Swings that overlap multiply.
type Swing struct {
	AtSeconds   float64 `json:"at_seconds"`
	RampSeconds float64 `json:"ramp_seconds"`
	HoldSeconds float64 `json:"hold_seconds"`
	Factor      float64 `json:"factor"`
	// Class restricts the swing to one class; empty: all.
	Class string `json:"class"`
}

// Class is a kind of calls with its targets.
type Class struct {
	Name  string `json:"name"`
	Model string `json:"model"`
	// Share is the class's part of the rate, relative to the other classes.
	Share           float64 `json:"share"`
	FirstTokenMs    float64 `json:"first_token_ms"`
	BetweenTokensMs float64 `json:"between_tokens_ms"`
	// DeadlineMs is when the caller gives up.
	DeadlineMs float64 `json:"deadline_ms"`
	// PromptTokens and OutputTokens are mixtures of lengths.
	PromptTokens []Length `json:"prompt_tokens"`
	OutputTokens []Length `json:"output_tokens"`
	// MaximumTokens is sent as the bound of the answer; 0: none.
	MaximumTokens int `json:"maximum_tokens"`
	// PrefixTokens of each prompt are shared with other calls: they are one of
	// Prefixes texts.
	PrefixTokens int `json:"prefix_tokens"`
	Prefixes     int `json:"prefixes"`
}

// Length is one part of a mixture: a log-normal distribution.
type Length struct {
	Weight float64 `json:"weight"`
	// Tokens is the median.
	Tokens float64 `json:"tokens"`
	// Spread is the standard deviation of the logarithm; 0: always Tokens.
	Spread float64 `json:"spread"`
}

// Workspace is a customer with a bearer key.
type Workspace struct {
	Name string `json:"name"`
	Key  string `json:"key"`
	// Share is the workspace's part of the calls of its classes.
	Share float64 `json:"share"`
	// Classes are those that it calls; empty: all.
	Classes []string `json:"classes"`
}

const (
	opParse = "load.parse"
	// longestTokens bounds the lengths of a profile.
	longestTokens = 1_000_000
	// highestRate bounds the calls per second of one generator.
	highestRate = 100_000
)

// Parse reads a profile and checks every field. The error joins one Error for
// each fault with the field's path. A fault of kind Malformed hides others.
func Parse(data []byte) (Profile, error) {
	var profile Profile
	if err := json.Unmarshal(data, &profile, json.RejectUnknownMembers(true)); err != nil {
		return Profile{}, describe(data, err)
	}
	checker := checker{}
	checker.profile(profile)
	return profile, errors.Join(checker.faults...)
}

// describe names the line and the field of a decoder's error.
func describe(data []byte, err error) error {
	found := &Error{Op: opParse, Kind: Malformed, Err: err}
	offset := int64(0)
	var semantic *json.SemanticError
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &semantic) {
		found.Field, offset = path(semantic.JSONPointer), semantic.ByteOffset
	} else if errors.As(err, &syntactic) {
		found.Field, offset = path(syntactic.JSONPointer), syntactic.ByteOffset
	}
	offset = min(max(offset, 0), int64(len(data)))
	found.Detail = fmt.Sprintf("line %d", 1+bytes.Count(data[:offset], []byte("\n")))
	return found
}

// path writes a JSON pointer with points.
func path(pointer jsontext.Pointer) string {
	return strings.ReplaceAll(strings.TrimPrefix(string(pointer), "/"), "/", ".")
}

// checker collects the faults of a profile that is well-formed.
type checker struct{ faults []error }

// within requires a number from low to high.
func (checker *checker) within(field string, value, low, high float64) {
	if !(value >= low && value <= high) {
		checker.faults = append(checker.faults, fault.Field(opParse, Invalid, field,
			fmt.Sprintf("found %g, allowed: %g to %g", value, low, high)))
	}
}

// must reports a fault unless a condition holds.
func (checker *checker) must(holds bool, field, allowed string) {
	if !holds {
		checker.faults = append(checker.faults, fault.Field(opParse, Invalid, field, "allowed: "+allowed))
	}
}

// profile checks all fields.
func (checker *checker) profile(profile Profile) {
	checker.within("duration_seconds", profile.DurationSeconds, 0.001, 86_400)
	checker.within("rate_per_second", profile.RatePerSecond, 0.001, highestRate)
	checker.must(len(profile.Classes) > 0, "classes", "one class or more")
	checker.must(len(profile.Workspaces) > 0, "workspaces", "one workspace or more")
	names := make([]string, 0, len(profile.Classes))
	for index, class := range profile.Classes {
		field := fmt.Sprintf("classes.%d", index)
		checker.must(!slices.Contains(names, class.Name), field+".name", "a name that no other class has")
		checker.class(field, class)
		names = append(names, class.Name)
	}
	for index, swing := range profile.Swings {
		checker.swing(fmt.Sprintf("swings.%d", index), swing, names)
	}
	for index, phase := range profile.Phases {
		field := fmt.Sprintf("phases.%d", index)
		checker.must(phase.Name != "", field+".name", "a name")
		checker.within(field+".at_seconds", phase.AtSeconds, 0, 86_400)
		checker.within(field+".for_seconds", phase.ForSeconds, 0.001, 86_400)
	}
	for index, workspace := range profile.Workspaces {
		checker.workspace(fmt.Sprintf("workspaces.%d", index), workspace, names)
	}
	for index, class := range profile.Classes {
		called := slices.ContainsFunc(profile.Workspaces, func(workspace Workspace) bool { return workspace.calls(class.Name) })
		checker.must(called || len(profile.Workspaces) == 0, fmt.Sprintf("classes.%d.name", index), "a class that some workspace calls")
	}
}

func (checker *checker) class(field string, class Class) {
	checker.must(class.Name != "", field+".name", "a name")
	checker.must(class.Model != "", field+".model", "a model's name")
	checker.within(field+".share", class.Share, 1e-6, 1e6)
	checker.within(field+".first_token_ms", class.FirstTokenMs, 1, 1e7)
	checker.within(field+".between_tokens_ms", class.BetweenTokensMs, 1, 1e7)
	checker.within(field+".deadline_ms", class.DeadlineMs, 1, 1e7)
	checker.within(field+".maximum_tokens", float64(class.MaximumTokens), 0, longestTokens)
	checker.within(field+".prefix_tokens", float64(class.PrefixTokens), 0, longestTokens)
	checker.within(field+".prefixes", float64(class.Prefixes), 0, longestTokens)
	checker.must(class.PrefixTokens == 0 || class.Prefixes > 0, field+".prefixes", "1 or more with prefix_tokens")
	checker.lengths(field+".prompt_tokens", class.PromptTokens)
	checker.lengths(field+".output_tokens", class.OutputTokens)
}

func (checker *checker) lengths(field string, lengths []Length) {
	checker.must(len(lengths) > 0, field, "one length or more")
	for index, length := range lengths {
		here := fmt.Sprintf("%s.%d", field, index)
		checker.within(here+".weight", length.Weight, 1e-6, 1e6)
		checker.within(here+".tokens", length.Tokens, 1, longestTokens)
		checker.within(here+".spread", length.Spread, 0, 3)
	}
}

func (checker *checker) swing(field string, swing Swing, classes []string) {
	checker.within(field+".at_seconds", swing.AtSeconds, 0, 86_400)
	checker.within(field+".ramp_seconds", swing.RampSeconds, 0, 86_400)
	checker.within(field+".hold_seconds", swing.HoldSeconds, 0, 86_400)
	checker.within(field+".factor", swing.Factor, 0, 1000)
	checker.must(swing.Class == "" || slices.Contains(classes, swing.Class), field+".class", "a class of this profile")
}

func (checker *checker) workspace(field string, workspace Workspace, classes []string) {
	checker.must(workspace.Name != "", field+".name", "a name")
	checker.must(workspace.Key != "", field+".key", "a bearer key")
	checker.within(field+".share", workspace.Share, 1e-6, 1e6)
	for index, class := range workspace.Classes {
		checker.must(slices.Contains(classes, class), fmt.Sprintf("%s.classes.%d", field, index), "a class of this profile")
	}
}

// calls reports whether the workspace calls a class.
func (workspace Workspace) calls(class string) bool {
	return len(workspace.Classes) == 0 || slices.Contains(workspace.Classes, class)
}

// factor returns the swing's multiple of the rate of a class at a time.
func (swing Swing) factor(class string, at float64) float64 {
	if swing.Class != "" && swing.Class != class {
		return 1
	}
	full, ends := swing.AtSeconds+swing.RampSeconds, swing.AtSeconds+swing.RampSeconds+swing.HoldSeconds
	part := 0.0
	switch {
	case at < swing.AtSeconds || at >= ends+swing.RampSeconds:
	case at < full:
		part = (at - swing.AtSeconds) / swing.RampSeconds
	case at < ends:
		part = 1
	default:
		part = 1 - (at-ends)/swing.RampSeconds
	}
	return 1 + part*(swing.Factor-1)
}

// milliseconds returns a duration of the profile.
func milliseconds(value float64) time.Duration {
	return time.Duration(math.Round(value * float64(time.Millisecond)))
}
