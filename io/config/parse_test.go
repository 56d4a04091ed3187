package config_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/io/config"
)

const valid = `{
  "environment": "serra",
  "host": {
    "name": "host-1", "region": "serra-gaucha", "failure_domain": "caxias",
    "link_address": "127.0.0.1:7001", "entry_address": "127.0.0.1:8001"
  },
  "key_value": {"endpoints": ["http://127.0.0.1:2379"]},
  "tls": {"authority": "a.pem", "certificate": "h.pem", "key": "h.key"}
}`

func TestParseFillsDefaults(t *testing.T) {
	settings, err := config.Parse([]byte(valid))
	require.NoError(t, err)
	assert.Equal(t, config.DefaultDrainMs, settings.Limits.DrainMs)
	assert.Equal(t, config.DefaultLevel, settings.Log.Level)
}

// TestParseNamesTheFault guards against settings that start a host with a field
// that means something else than the operator wrote.
func TestParseNamesTheFault(t *testing.T) {
	tests := []struct {
		name, from, to string
		kind           config.Kind
		says           []string
	}{
		{"unknown field", `"environment"`, `"environmant"`, config.Malformed, []string{"environmant", "line 2", "unknown field"}},
		{"nested unknown field", `"region"`, `"zone"`, config.Malformed, []string{"host.zone", "line 4"}},
		{"wrong type", `"serra"`, `7`, config.Malformed, []string{"environment", "line 2", "string"}},
		{"not JSON", `"environment": "serra",`, `"environment": serra,`, config.Malformed, []string{"line 2"}},
		{"duplicate field", `"environment": "serra",`, `"environment": "serra", "environment": "x",`, config.Malformed, []string{"environment"}},
		{"empty name", `"host-1"`, `""`, config.Invalid, []string{"host.name", "line 4"}},
		{"address by name", `"127.0.0.1:7001"`, `"localhost:7001"`, config.Invalid, []string{"host.link_address", "localhost:7001", "IP number"}},
		{"address without port", `"127.0.0.1:8001"`, `"127.0.0.1"`, config.Invalid, []string{"host.entry_address"}},
		{"no endpoints", `["http://127.0.0.1:2379"]`, `[]`, config.Invalid, []string{"key_value.endpoints"}},
		{"endpoint scheme", `"http://127.0.0.1:2379"`, `"ftp://127.0.0.1"`, config.Invalid, []string{"key_value.endpoints.0", "http"}},
		{"negative limit", `"tls"`, `"limits": {"drain_ms": -1}, "tls"`, config.Invalid, []string{"limits.drain_ms", "-1"}},
		{"log level", `"tls"`, `"log": {"level": "loud"}, "tls"`, config.Invalid, []string{"log.level", "line 8", "loud", "debug, info"}},
		{"entry key alone", `"key": "h.key"`, `"key": "h.key", "entry_key": "e.key"`, config.Invalid, []string{"tls.entry_key"}},
		{"missing key", `, "key": "h.key"`, ``, config.Invalid, []string{"tls.key", "line 8"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Contains(t, valid, test.from)
			_, err := config.Parse([]byte(strings.Replace(valid, test.from, test.to, 1)))
			require.Error(t, err)
			assert.True(t, fault.Is(err, test.kind), "kind of %v", err)
			for _, part := range test.says {
				assert.Contains(t, err.Error(), part)
			}
		})
	}
}

// TestParseReportsEveryFault guards against an operator mending one field at a
// time.
func TestParseReportsEveryFault(t *testing.T) {
	data := strings.NewReplacer(`"host-1"`, `""`, `"127.0.0.1:7001"`, `"x"`, `"a.pem"`, `""`).Replace(valid)
	_, err := config.Parse([]byte(data))
	for _, field := range []string{"host.name", "host.link_address", "tls.authority"} {
		assert.ErrorContains(t, err, field)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"host":{"name":[[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := config.Parse(data)
		if err == nil && settings.Host.Name == "" {
			t.Error("settings without a host name passed the checks")
		}
	})
}
