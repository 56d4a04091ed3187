package keys_test

import (
	"crypto/tls"
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"primrosegw/core/fault"
	"primrosegw/io/keys"
)

// written returns the files of a host by a new authority.
func written(t *testing.T) keys.Files {
	t.Helper()
	authority, err := keys.NewAuthority("test")
	require.NoError(t, err)
	files, err := authority.WriteHost(t.TempDir(), "host-1", net.IPv4(127, 0, 0, 1))
	require.NoError(t, err)
	return files
}

// serial returns the number of the certificate that peers are shown.
func serial(t *testing.T, material *keys.Keys) string {
	t.Helper()
	shown, err := material.LinkConfig().GetCertificate(&tls.ClientHelloInfo{})
	require.NoError(t, err)
	return shown.Leaf.SerialNumber.String()
}

// TestReloadKeepsWhatWorks guards against a host that loses its keys because a
// file is missing, half written or of another host at the time of a reload.
func TestReloadKeepsWhatWorks(t *testing.T) {
	cases := map[string]struct {
		harm  func(files keys.Files) error
		field string
	}{
		"no authority":      {func(files keys.Files) error { return os.Remove(files.Authority) }, "tls.authority"},
		"empty authority":   {func(files keys.Files) error { return os.WriteFile(files.Authority, nil, 0o600) }, "tls.authority"},
		"no certificate":    {func(files keys.Files) error { return os.Remove(files.Certificate) }, "tls.certificate"},
		"cut key":           {func(files keys.Files) error { return os.Truncate(files.Key, 40) }, "tls.certificate"},
		"key of another":    {func(files keys.Files) error { return os.Rename(written(t).Key, files.Key) }, "tls.certificate"},
		"callers' key lost": {func(files keys.Files) error { return os.Remove(files.EntryKey) }, "tls.entry_certificate"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			files := written(t)
			callers := written(t)
			files.EntryCertificate, files.EntryKey = callers.Certificate, callers.Key
			material, err := keys.New(files)
			require.NoError(t, err)
			before := serial(t, material)
			require.NoError(t, test.harm(files))
			err = material.Reload()
			var failure *keys.Error
			require.ErrorAs(t, err, &failure)
			assert.Equal(t, test.field, failure.Field)
			assert.True(t, fault.Is(err, keys.Unreadable) || fault.Is(err, keys.Invalid))
			assert.Equal(t, before, serial(t, material))
			assert.True(t, material.Entry())
		})
	}
}

// TestFilesAreForTheOwner guards against keys that other users can read.
func TestFilesAreForTheOwner(t *testing.T) {
	files := written(t)
	info, err := os.Stat(files.Key)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())
}
