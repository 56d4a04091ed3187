package load

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// bytesPerToken is the length of a token in the prompts that are sent.
const bytesPerToken = 4

// Call is one call of the load, drawn in advance.
type Call struct {
	Index int
	// At is the time from the start at which the call is sent.
	At        time.Duration
	Class     int
	Workspace int
	Prompt    string
	// PromptTokens and OutputTokens are lengths; the latter is a hint that only
	// a stand-in engine reads.
	PromptTokens int
	OutputTokens int
}

// Arrivals draws the calls of a profile. The sequence depends on the profile
// alone, not on how the calls fare.
//
// Arrivals are a Poisson process whose rate follows the swings. It is drawn by
// thinning: candidates come at the highest rate, and each is kept with the
// probability that the rate at its time is of the highest (Lewis and Shedler,
// "Simulation of Nonhomogeneous Poisson Processes by Thinning").
type Arrivals struct {
	profile Profile
	random  *rand.Rand
	// highest is above the rate at any time.
	highest float64
	at      float64
	index   int
}

// arrivalStream separates the generator of arrivals from others of the seed.
const arrivalStream = 0x6c6f6164

// NewArrivals returns the calls of a profile that Parse has accepted.
func NewArrivals(profile Profile) *Arrivals {
	arrivals := &Arrivals{profile: profile, random: rand.New(rand.NewPCG(profile.Seed, arrivalStream))}
	arrivals.highest = profile.RatePerSecond
	for _, swing := range profile.Swings {
		arrivals.highest *= max(1, swing.Factor)
	}
	return arrivals
}

// Rate returns the calls per second of a class at a time from the start.
func (profile Profile) Rate(class int, at float64) float64 {
	whole := 0.0
	for _, other := range profile.Classes {
		whole += other.Share
	}
	rate := profile.RatePerSecond * profile.Classes[class].Share / whole
	for _, swing := range profile.Swings {
		rate *= swing.factor(profile.Classes[class].Name, at)
	}
	return rate
}

// Next returns the next call, or false at the end of the load.
func (arrivals *Arrivals) Next() (Call, bool) {
	for {
		arrivals.at += arrivals.random.ExpFloat64() / arrivals.highest
		if arrivals.at >= arrivals.profile.DurationSeconds {
			return Call{}, false
		}
		drawn := arrivals.random.Float64() * arrivals.highest
		for class := range arrivals.profile.Classes {
			drawn -= arrivals.profile.Rate(class, arrivals.at)
			if drawn < 0 {
				return arrivals.call(class), true
			}
		}
	}
}

// call draws what a call of a class is like.
func (arrivals *Arrivals) call(class int) Call {
	profile := arrivals.profile.Classes[class]
	call := Call{
		Index: arrivals.index, Class: class,
		At:           time.Duration(arrivals.at * float64(time.Second)),
		Workspace:    arrivals.workspace(profile.Name),
		PromptTokens: arrivals.length(profile.PromptTokens),
		OutputTokens: arrivals.length(profile.OutputTokens),
	}
	arrivals.index++
	if profile.MaximumTokens > 0 {
		call.OutputTokens = min(call.OutputTokens, profile.MaximumTokens)
	}
	call.Prompt = arrivals.prompt(profile, call.PromptTokens)
	return call
}

// workspace draws a workspace that calls the class.
func (arrivals *Arrivals) workspace(class string) int {
	whole := 0.0
	for _, workspace := range arrivals.profile.Workspaces {
		if workspace.calls(class) {
			whole += workspace.Share
		}
	}
	drawn, last := arrivals.random.Float64()*whole, 0
	for index, workspace := range arrivals.profile.Workspaces {
		if !workspace.calls(class) {
			continue
		}
		last = index
		drawn -= workspace.Share
		if drawn < 0 {
			break
		}
	}
	return last
}

// length draws from a mixture.
func (arrivals *Arrivals) length(lengths []Length) int {
	whole := 0.0
	for _, length := range lengths {
		whole += length.Weight
	}
	drawn := arrivals.random.Float64() * whole
	chosen := lengths[len(lengths)-1]
	for _, length := range lengths {
		drawn -= length.Weight
		if drawn < 0 {
			chosen = length
			break
		}
	}
	tokens := chosen.Tokens * math.Exp(chosen.Spread*arrivals.random.NormFloat64())
	return int(min(max(1, math.Round(tokens)), longestTokens))
}

// prompt writes a prompt of a length, with a shared beginning if the class has
// one. The rest differs for each call.
func (arrivals *Arrivals) prompt(class Class, tokens int) string {
	var text strings.Builder
	text.Grow(tokens * bytesPerToken)
	shared := min(class.PrefixTokens, tokens)
	if shared > 0 {
		writeWords(&text, arrivals.random.Uint64N(uint64(class.Prefixes)), shared)
	}
	// Seeds of shared beginnings are below longestTokens.
	writeWords(&text, longestTokens+arrivals.random.Uint64N(math.MaxInt64), tokens-shared)
	return text.String()
}

// writeWords writes words of one token each.
func writeWords(text *strings.Builder, seed uint64, count int) {
	random := rand.New(rand.NewPCG(seed, arrivalStream))
	for range count {
		number := random.Uint64()
		for range bytesPerToken - 1 {
			text.WriteByte(byte('a' + number%26))
			number /= 26
		}
		text.WriteByte(' ')
	}
}
