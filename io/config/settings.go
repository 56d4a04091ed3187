// Package config is the settings of an entry host, in strict JSON.
package config

import (
	"primrosegw/core/spec"
	"primrosegw/io/keys"
)

// Settings are what one host is told at its start.
type Settings struct {
	Environment string   `json:"environment"`
	Host        Host     `json:"host"`
	KeyValue    KeyValue `json:"key_value"`
	// HostList is where the platform lists live and leaving hosts.
	HostList HostList `json:"host_list,omitzero"`
	// Seeds are hosts to find the others by.
	Seeds []Host `json:"seeds,omitempty"`
	// Operators may call this host while no document is in force. Otherwise the
	// document's operators may.
	Operators []spec.Operator `json:"operators,omitempty"`
	TLS       keys.Files      `json:"tls"`
	Limits    Limits          `json:"limits,omitzero"`
	Log       Log             `json:"log,omitzero"`
}

// Host names a host and its addresses, all by IP number.
type Host struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// LinkAddress is the UDP address for other hosts.
	LinkAddress string `json:"link_address"`
	// EntryAddress is the TCP address for callers.
	EntryAddress string `json:"entry_address"`
	// AdminAddress is the TCP address for operators, health and metrics.
	AdminAddress string `json:"admin_address,omitempty"`
}

// KeyValue says how to reach the platform's key-value service.
type KeyValue struct {
	Endpoints []string `json:"endpoints"`
	// TimeoutMs bounds one call, in milliseconds.
	TimeoutMs int `json:"timeout_ms,omitempty"`
	// CallsPerSecond is this host's budget of calls.
	CallsPerSecond float64 `json:"calls_per_second,omitempty"`
}

// HostList says how to read the platform's list of hosts.
type HostList struct {
	URL        string `json:"url"`
	IntervalMs int    `json:"interval_ms,omitempty"`
}

// Limits bound what one caller may take; a zero takes the default.
type Limits struct {
	BodyBytes       int64 `json:"body_bytes,omitempty"`
	HeaderBytes     int   `json:"header_bytes,omitempty"`
	HeaderTimeoutMs int   `json:"header_timeout_ms,omitempty"`
	BodyTimeoutMs   int   `json:"body_timeout_ms,omitempty"`
	WriteTimeoutMs  int   `json:"write_timeout_ms,omitempty"`
	// DrainMs is how long a leaving host goes on serving: the time to live of
	// the entry addresses at least.
	DrainMs int `json:"drain_ms,omitempty"`
}

// Log chooses what is logged.
type Log struct {
	// Level is one of debug, info, warning and error.
	Level string `json:"level,omitempty"`
	// Subsystems write their debug events whatever the level is.
	Subsystems []string `json:"subsystems,omitempty"`
}

// The defaults of the settings.
const (
	DefaultKeyValueTimeoutMs = 2_000
	DefaultCallsPerSecond    = 20
	DefaultHostListMs        = 2_000
	DefaultBodyBytes         = 1 << 20
	DefaultHeaderBytes       = 64 << 10
	DefaultHeaderTimeoutMs   = 5_000
	DefaultBodyTimeoutMs     = 20_000
	DefaultWriteTimeoutMs    = 20_000
	DefaultDrainMs           = 20_000
	DefaultLevel             = "info"
)

// Filled returns the settings with the defaults filled in.
func (settings Settings) Filled() Settings {
	settings.fill()
	return settings
}

func (settings *Settings) fill() {
	orDefault(&settings.KeyValue.TimeoutMs, DefaultKeyValueTimeoutMs)
	orDefault(&settings.KeyValue.CallsPerSecond, DefaultCallsPerSecond)
	orDefault(&settings.HostList.IntervalMs, DefaultHostListMs)
	orDefault(&settings.Limits.BodyBytes, DefaultBodyBytes)
	orDefault(&settings.Limits.HeaderBytes, DefaultHeaderBytes)
	orDefault(&settings.Limits.HeaderTimeoutMs, DefaultHeaderTimeoutMs)
	orDefault(&settings.Limits.BodyTimeoutMs, DefaultBodyTimeoutMs)
	orDefault(&settings.Limits.WriteTimeoutMs, DefaultWriteTimeoutMs)
	orDefault(&settings.Limits.DrainMs, DefaultDrainMs)
	orDefault(&settings.Log.Level, DefaultLevel)
}

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
