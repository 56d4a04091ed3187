package config

import (
	"bytes"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"primrosegw/core/fault"
)

// Kind is the sort of a settings error.
type Kind string

// The kinds of settings errors.
const (
	// Malformed: not JSON, an unknown field or a wrong type.
	Malformed Kind = "malformed"
	// Invalid: a field's value is not allowed.
	Invalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const opParse = "config.parse"

// Parse reads settings, checks every field and fills in the defaults. The error
// joins one Error for each fault, with the field's path, what was found and
// what is allowed.
func Parse(data []byte) (Settings, error) {
	var settings Settings
	err := json.Unmarshal(data, &settings, json.RejectUnknownMembers(true))
	if err != nil {
		return Settings{}, describe(data, err)
	}
	settings.fill()
	check := checker{data: data, places: places(data)}
	check.settings(settings)
	if len(check.faults) > 0 {
		return Settings{}, errors.Join(check.faults...)
	}
	return settings, nil
}

// describe turns a decoder's error into one that names the line and the field.
func describe(data []byte, err error) error {
	var semantic *json.SemanticError
	if errors.As(err, &semantic) {
		found := &Error{Op: opParse, Kind: Malformed, Field: path(semantic.JSONPointer)}
		found.Detail = fmt.Sprintf("line %d: found %s, allowed %s",
			line(data, semantic.ByteOffset), describeFound(data, semantic), describeAllowed(semantic))
		return found
	}
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) {
		found := &Error{Op: opParse, Kind: Malformed, Field: path(syntactic.JSONPointer)}
		found.Detail = fmt.Sprintf("line %d: %v", line(data, syntactic.ByteOffset), syntactic.Err)
		return found
	}
	return fault.Wrap(opParse, Malformed, err)
}

// foundLimit bounds the piece of the settings that an error quotes, in bytes.
const foundLimit = 60

func describeFound(data []byte, semantic *json.SemanticError) string {
	if errors.Is(semantic.Err, json.ErrUnknownName) {
		return "an unknown field"
	}
	if len(semantic.JSONValue) > 0 {
		return string(semantic.JSONValue)
	}
	// The offset is before the value or the separators that lead to it.
	rest := bytes.TrimLeft(data[min(semantic.ByteOffset, int64(len(data))):], " \t\r\n:,")
	value, err := jsontext.NewDecoder(bytes.NewReader(rest)).ReadValue()
	if err != nil || len(value) > foundLimit {
		return "a JSON " + semantic.JSONKind.String()
	}
	return string(value)
}

func describeAllowed(semantic *json.SemanticError) string {
	if errors.Is(semantic.Err, json.ErrUnknownName) {
		return "the fields in docs/settings.md"
	}
	if semantic.GoType != nil {
		return "a value of type " + semantic.GoType.String()
	}
	return "another value"
}

func line(data []byte, offset int64) int {
	offset = min(offset, int64(len(data)))
	return 1 + bytes.Count(data[:offset], []byte("\n"))
}

func path(pointer jsontext.Pointer) string {
	return strings.ReplaceAll(strings.TrimPrefix(string(pointer), "/"), "/", ".")
}

// places returns the offset of each value by its path.
func places(data []byte) map[string]int64 {
	found := make(map[string]int64)
	decoder := jsontext.NewDecoder(bytes.NewReader(data))
	for {
		if _, err := decoder.ReadToken(); err != nil {
			return found
		}
		field := path(decoder.StackPointer())
		if _, known := found[field]; !known {
			found[field] = decoder.InputOffset()
		}
	}
}

// checker collects the faults of settings that are well-formed.
type checker struct {
	data   []byte
	places map[string]int64
	faults []error
}

func (checker *checker) fail(field, found, allowed string) {
	checker.faults = append(checker.faults, fault.Field(opParse, Invalid, field,
		fmt.Sprintf("line %d: found %q, allowed: %s", checker.line(field), found, allowed)))
}

// line returns the line of a field, or of what should hold it.
func (checker *checker) line(field string) int {
	for field != "" {
		if offset, known := checker.places[field]; known {
			return line(checker.data, offset)
		}
		field = field[:max(0, strings.LastIndex(field, "."))]
	}
	return 1
}

func (checker *checker) settings(settings Settings) {
	checker.filled("environment", settings.Environment)
	checker.host("host", settings.Host)
	for index, seed := range settings.Seeds {
		checker.host(fmt.Sprintf("seeds.%d", index), seed)
	}
	if len(settings.KeyValue.Endpoints) == 0 {
		checker.fail("key_value.endpoints", "[]", "one address or more")
	}
	for index, endpoint := range settings.KeyValue.Endpoints {
		checker.address(fmt.Sprintf("key_value.endpoints.%d", index), endpoint)
	}
	if settings.HostList.URL != "" {
		checker.address("host_list.url", settings.HostList.URL)
	}
	checker.filled("tls.authority", settings.TLS.Authority)
	checker.filled("tls.certificate", settings.TLS.Certificate)
	checker.filled("tls.key", settings.TLS.Key)
	if (settings.TLS.EntryCertificate == "") != (settings.TLS.EntryKey == "") {
		checker.fail("tls.entry_key", settings.TLS.EntryKey, "both of entry_certificate and entry_key, or none")
	}
	checker.limits(settings)
	levels := []string{"debug", "info", "warning", "error"}
	if !slices.Contains(levels, settings.Log.Level) {
		checker.fail("log.level", settings.Log.Level, strings.Join(levels, ", "))
	}
}

func (checker *checker) limits(settings Settings) {
	numbers := []struct {
		field string
		value float64
	}{
		{"key_value.timeout_ms", float64(settings.KeyValue.TimeoutMs)},
		{"key_value.calls_per_second", settings.KeyValue.CallsPerSecond},
		{"host_list.interval_ms", float64(settings.HostList.IntervalMs)},
		{"limits.body_bytes", float64(settings.Limits.BodyBytes)},
		{"limits.header_bytes", float64(settings.Limits.HeaderBytes)},
		{"limits.header_timeout_ms", float64(settings.Limits.HeaderTimeoutMs)},
		{"limits.body_timeout_ms", float64(settings.Limits.BodyTimeoutMs)},
		{"limits.write_timeout_ms", float64(settings.Limits.WriteTimeoutMs)},
		{"limits.drain_ms", float64(settings.Limits.DrainMs)},
	}
	for _, number := range numbers {
		if number.value < 0 {
			checker.fail(number.field, fmt.Sprint(number.value), "a positive number")
		}
	}
}

func (checker *checker) host(field string, host Host) {
	checker.filled(field+".name", host.Name)
	checker.filled(field+".region", host.Region)
	checker.filled(field+".failure_domain", host.FailureDomain)
	checker.endpoint(field+".link_address", host.LinkAddress)
	checker.endpoint(field+".entry_address", host.EntryAddress)
	if host.AdminAddress != "" {
		checker.endpoint(field+".admin_address", host.AdminAddress)
	}
}

func (checker *checker) filled(field, value string) {
	if value == "" {
		checker.fail(field, value, "a non-empty string")
	}
}

// endpoint accepts an IP number with a port, as hosts talk by IP number.
func (checker *checker) endpoint(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		checker.fail(field, value, "an IP number and a port, as 127.0.0.1:8001")
	}
}

func (checker *checker) address(field, value string) {
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		checker.fail(field, value, "an http or https address")
	}
}
