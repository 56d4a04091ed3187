package emul

import (
	"encoding/json"
	"fmt"

	"primrosegw/core/fault"
	"primrosegw/core/table"
	"primrosegw/standin/framing"
)

// Kind is the sort of an emulator error.
type Kind string

// The kinds of errors.
const (
	// Unreadable: a day is no JSON, or has fields that are not known.
	Unreadable Kind = "unreadable"
	// Invalid: a field of a day has a value that can't be used.
	Invalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Day is a deployment and what happens to it.
type Day struct {
	Name string `json:"name"`
	// Seconds is how long callers send requests.
	Seconds float64 `json:"seconds"`
	// Hosts is the number of hosts that callers are sent to, spread over the
	// failure domains.
	Hosts          int      `json:"hosts"`
	FailureDomains []string `json:"failure_domains"`
	// LinkMs is the delay between failure domains, CallerMs that to callers, one
	// way.
	LinkMs   float64 `json:"link_ms"`
	CallerMs float64 `json:"caller_ms"`
	// TellMs is the time between two messages of a host to the others.
	TellMs float64 `json:"tell_ms"`
	// Framing is how many answers have a length, chunks or neither; default: a third each.
	Framing  framing.Shares `json:"framing,omitzero"`
	Services []Service      `json:"services"`
	Classes  []Class        `json:"classes"`
	// Wave is how far the rate swings around its mean, and PeriodS how often.
	Wave    float64   `json:"wave"`
	PeriodS float64   `json:"period_s"`
	Trouble []Trouble `json:"trouble"`
}

// Service is a group of backend servers.
type Service struct {
	Name    string `json:"name"`
	Servers int    `json:"servers"`
	// Speeds are the usual slownesses of the servers, in turn. HidesSpeed: the servers report only what
	// others on their machines do to them.
	Speeds     []float64 `json:"speeds"`
	HidesSpeed bool      `json:"hides_speed,omitempty"`
	Noise      Noise     `json:"noise"`
	// Engine or Plain describes the servers.
	Engine *Engine `json:"engine,omitempty"`
	Plain  *Plain  `json:"plain,omitempty"`
}

// Noise is what others on the same machines do to a server: for a share of the
// time it is so many times slower, in spells of some length.
type Noise struct {
	Share   float64 `json:"share"`
	X       float64 `json:"x"`
	SpellMs float64 `json:"spell_ms"`
}

// Class is a kind of request.
type Class struct {
	Name      string     `json:"name"`
	Service   string     `json:"service"`
	Kind      table.Kind `json:"kind"`
	Priority  int        `json:"priority"`
	PerSecond float64    `json:"per_second"`
	// ObjectiveMs is the time to the answer or to the first event, GapMs the longest
	// pause between events, for which the answer is worth Worth and not LateWorth.
	ObjectiveMs float64 `json:"objective_ms"`
	GapMs       float64 `json:"gap_ms"`
	DeadlineMs  float64 `json:"deadline_ms"`
	Worth       float64 `json:"worth"`
	LateWorth   float64 `json:"late_worth"`
	// Retries is how often callers come back.
	Retries     int  `json:"retries"`
	MaxAttempts int  `json:"max_attempts"`
	Resumable   bool `json:"resumable"`
	// Shared are the parts of the prompt that requests share, Own the part that
	// they don't.
	Shared []Part `json:"shared"`
	Own    Size   `json:"own"`
	// Events is the number of events of an answer.
	Events Size `json:"events"`
	// WorkMs is the time that a plain server takes.
	WorkMs Size `json:"work_ms"`
	// Failing is the share of requests to which plain servers answer a failure.
	Failing float64 `json:"failing"`
}

// Part is a shared part of the prompts of a class.
type Part struct {
	Size
	// Things is the number of different ones.
	Things int `json:"things"`
}

// Size is a random size: log-normal with a mean, and a spread that is the standard
// deviation of its logarithm.
type Size struct {
	Mean   float64 `json:"mean"`
	Spread float64 `json:"spread"`
	Max    float64 `json:"max"`
}

// Sort is the sort of a trouble.
type Sort string

// The sorts of trouble.
const (
	// Burst: a class has X times its rate.
	Burst Sort = "burst"
	// Crash: a share of the servers is down.
	Crash Sort = "crash"
	// Slow: a share of the servers takes X times as long.
	Slow Sort = "slow"
	// Release: a share of the servers is replaced in a row. Each one leaves, its successor starts
	// releaseTime later with an empty cache and takes X times as long for warmTime.
	Release Sort = "release"
	// Lose: a share of the servers loses a part X of its answers.
	Lose Sort = "lose"
	// Stop: a share of the hosts, all if it is 0, stops in a planned way: callers are sent to the others,
	// if there are any. At its end these hosts start anew.
	Stop Sort = "stop"
	// Reload: a share of the hosts, all if it is 0, reads its settings again, beside a new configuration.
	Reload Sort = "reload"
)

// Trouble is something that happens in a day.
type Trouble struct {
	Kind    Sort    `json:"kind"`
	AtS     float64 `json:"at_s"`
	ForS    float64 `json:"for_s"`
	X       float64 `json:"x"`
	Share   float64 `json:"share"`
	Class   string  `json:"class,omitempty"`
	Service string  `json:"service,omitempty"`
}

// Check returns an error that names the first field with a value that can't be
// used.
func (day Day) Check() error {
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"seconds", day.Seconds},
		{"hosts", float64(day.Hosts)},
		{"tell_ms", day.TellMs},
		{"period_s", day.PeriodS},
		{"failure_domains", float64(len(day.FailureDomains))},
		{"services", float64(len(day.Services))},
		{"classes", float64(len(day.Classes))},
	} {
		if field.value <= 0 {
			return invalid(field.name, "it is missing or not above 0")
		}
	}
	if err := day.Framing.Check(); err != nil {
		return invalid("framing", err.Error())
	}
	services := map[string]Service{}
	for index, service := range day.Services {
		if err := service.check(fmt.Sprintf("services[%d]", index)); err != nil {
			return err
		}
		services[service.Name] = service
	}
	classes := map[string]bool{}
	for index, class := range day.Classes {
		if err := class.check(fmt.Sprintf("classes[%d]", index), services); err != nil {
			return err
		}
		classes[class.Name] = true
	}
	for index, trouble := range day.Trouble {
		if err := trouble.check(fmt.Sprintf("trouble[%d]", index), services, classes); err != nil {
			return err
		}
	}
	return nil
}

func (service Service) check(at string) error {
	switch {
	case service.Name == "":
		return invalid(at+".name", "it is empty")
	case service.Servers <= 0:
		return invalid(at+".servers", "it is missing or not above 0")
	case (service.Engine == nil) == (service.Plain == nil):
		return invalid(at, "it needs either engine or plain")
	case service.Plain != nil && service.Plain.Slots <= 0:
		return invalid(at+".plain.slots", "it is missing or not above 0")
	case service.Engine != nil:
		return service.Engine.check(at + ".engine")
	}
	return nil
}

func (engine Engine) check(at string) error {
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"slots", float64(engine.Slots)},
		{"step_ms", engine.StepMs},
		{"tokens_per_ms", engine.TokensPerMs},
		{"chunk", float64(engine.Chunk)},
		{"stride", float64(engine.Stride)},
		{"memory_tokens", float64(engine.Memory)},
	} {
		if field.value <= 0 {
			return invalid(at+"."+field.name, "it is missing or not above 0")
		}
	}
	return nil
}

func (class Class) check(at string, services map[string]Service) error {
	service, known := services[class.Service]
	switch {
	case class.Name == "":
		return invalid(at+".name", "it is empty")
	case !known:
		return invalid(at+".service", fmt.Sprintf("%q is not among the services", class.Service))
	case class.Kind != table.Idempotent && class.Kind != table.Once && class.Kind != table.Stream:
		return invalid(at+".kind", fmt.Sprintf("%q is unknown", class.Kind))
	case (class.Kind == table.Stream) != (service.Engine != nil):
		return invalid(at+".kind", "streams need a service with engines, and engines serve streams only")
	case class.PerSecond <= 0 || class.ObjectiveMs <= 0 || class.DeadlineMs <= 0 || class.Worth <= 0:
		return invalid(at, "per_second, objective_ms, deadline_ms and worth have to be above 0")
	}
	for index, part := range class.Shared {
		if part.Things <= 0 || part.Mean <= 0 {
			return invalid(fmt.Sprintf("%s.shared[%d]", at, index), "mean and things have to be above 0")
		}
	}
	return nil
}

func (trouble Trouble) check(at string, services map[string]Service, classes map[string]bool) error {
	switch trouble.Kind {
	case Burst:
		if !classes[trouble.Class] {
			return invalid(at+".class", fmt.Sprintf("%q is not among the classes", trouble.Class))
		}
	case Crash, Slow, Lose, Release:
		if _, known := services[trouble.Service]; !known {
			return invalid(at+".service", fmt.Sprintf("%q is not among the services", trouble.Service))
		}
		if trouble.Share <= 0 || trouble.Share > 1 {
			return invalid(at+".share", "it is not above 0 and at most 1")
		}
	case Stop, Reload:
		if trouble.Share < 0 || trouble.Share > 1 {
			return invalid(at+".share", "it is not between 0 and 1")
		}
	default:
		return invalid(at+".kind", fmt.Sprintf("%q is unknown", trouble.Kind))
	}
	if trouble.ForS <= 0 {
		return invalid(at+".for_s", "it is missing or not above 0")
	}
	return nil
}

// Scale returns the day with so many times the hosts, servers and requests.
func (day Day) Scale(factor float64) (Day, error) {
	data, err := json.Marshal(day)
	if err != nil {
		return Day{}, fault.Wrap("emul.scale", Unreadable, err)
	}
	var scaled Day
	if err := json.Unmarshal(data, &scaled); err != nil {
		return Day{}, fault.Wrap("emul.scale", Unreadable, err)
	}
	scaled.Hosts = max(1, int(float64(day.Hosts)*factor+0.5))
	for index := range scaled.Services {
		scaled.Services[index].Servers = max(1, int(float64(day.Services[index].Servers)*factor+0.5))
	}
	for index := range scaled.Classes {
		scaled.Classes[index].PerSecond *= factor
	}
	return scaled, nil
}

func invalid(field, detail string) error { return fault.Field("emul.check", Invalid, field, detail) }
