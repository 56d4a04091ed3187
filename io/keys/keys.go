// Package keys holds a host's TLS material. It can be reloaded while
// connections stay open, so that certificates rotate without dropping a request.
package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"primrosegw/core/fault"
)

// Kind is the sort of a keys error.
type Kind string

// The kinds of keys errors.
const (
	// Unreadable: a file could not be read.
	Unreadable Kind = "unreadable"
	// Invalid: a file does not hold what it should.
	Invalid Kind = "invalid"
	// Untrusted: a peer's certificate is not signed by the authority.
	Untrusted Kind = "untrusted"
	// Unwritable: a file could not be written.
	Unwritable Kind = "unwritable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Files names the PEM files of a host.
type Files struct {
	// Authority holds the certificates that sign host certificates. During a
	// rotation it holds the old and the new one.
	Authority string `json:"authority"`
	// Certificate and Key are the host's own, for links between hosts.
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
	// EntryCertificate and EntryKey are for callers. Both empty: callers are
	// served without TLS.
	EntryCertificate string `json:"entry_certificate,omitempty"`
	EntryKey         string `json:"entry_key,omitempty"`
}

// linkProtocol is the ALPN name of the protocol between hosts.
const linkProtocol = "primrosegw/1"

// Keys is the TLS material in use.
type Keys struct {
	files    Files
	material atomic.Pointer[material]
}

type material struct {
	authority *x509.CertPool
	host      tls.Certificate
	entry     *tls.Certificate
}

// New reads the files. Errors are Unreadable or Invalid and name the field.
func New(files Files) (*Keys, error) {
	keys := &Keys{files: files}
	if err := keys.Reload(); err != nil {
		return nil, err
	}
	return keys, nil
}

// Of returns TLS material that is held in memory only, for hosts that run in
// one process. Callers are served without TLS, and Reload changes nothing.
func Of(authority []byte, pair Pair) (*Keys, error) {
	const op = "keys.of"
	certificate, err := tls.X509KeyPair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, fault.Wrap(op, Invalid, err)
	}
	loaded := &material{authority: x509.NewCertPool(), host: certificate}
	if !loaded.authority.AppendCertsFromPEM(authority) {
		return nil, fault.Field(op, Invalid, "authority", "it holds no certificate")
	}
	keys := &Keys{}
	keys.material.Store(loaded)
	return keys, nil
}

// Reload reads the files again. On an error the material in use stays.
func (keys *Keys) Reload() error {
	const op = "keys.reload"
	if keys.files.Authority == "" {
		return nil
	}
	authority, err := os.ReadFile(keys.files.Authority)
	if err != nil {
		return &Error{Op: op, Kind: Unreadable, Field: "tls.authority", Err: err}
	}
	loaded := &material{authority: x509.NewCertPool()}
	if !loaded.authority.AppendCertsFromPEM(authority) {
		return fault.Field(op, Invalid, "tls.authority", keys.files.Authority+" holds no certificate")
	}
	loaded.host, err = tls.LoadX509KeyPair(keys.files.Certificate, keys.files.Key)
	if err != nil {
		return &Error{Op: op, Kind: Invalid, Field: "tls.certificate", Err: err}
	}
	if keys.files.EntryCertificate != "" {
		entry, err := tls.LoadX509KeyPair(keys.files.EntryCertificate, keys.files.EntryKey)
		if err != nil {
			return &Error{Op: op, Kind: Invalid, Field: "tls.entry_certificate", Err: err}
		}
		loaded.entry = &entry
	}
	keys.material.Store(loaded)
	return nil
}

// Entry reports whether callers are served with TLS.
func (keys *Keys) Entry() bool { return keys.material.Load().entry != nil }

// EntryConfig returns the TLS configuration toward callers.
func (keys *Keys) EntryConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return keys.material.Load().entry, nil
		},
	}
}

// LinkConfig returns the mutual TLS configuration between hosts. Peers are
// verified against the authority in use at the time of the handshake, which the
// fixed certificate pools of tls.Config could not follow through a reload.
func (keys *Keys) LinkConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{linkProtocol},
		ClientAuth:         tls.RequireAnyClientCert,
		InsecureSkipVerify: true,
		VerifyConnection:   keys.verify,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &keys.material.Load().host, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &keys.material.Load().host, nil
		},
	}
}

func (keys *Keys) verify(state tls.ConnectionState) error {
	const op = "keys.verify"
	if len(state.PeerCertificates) == 0 {
		return fault.New(op, Untrusted, "the peer sent no certificate")
	}
	if state.PeerCertificates[0].Subject.CommonName == "" {
		return fault.New(op, Untrusted, "the peer's certificate names no host")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         keys.material.Load().authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return fault.Wrap(op, Untrusted, err)
	}
	return nil
}
