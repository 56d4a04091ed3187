package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"primrosegw/core/fault"
)

const (
	// authorityLife and hostLife bound how long a leaked development key is of use.
	authorityLife = 365 * 24 * time.Hour
	hostLife      = 30 * 24 * time.Hour
	// clockSkew is how far hosts' clocks may differ.
	clockSkew = 10 * time.Minute
)

// Authority signs host certificates. It is meant for development and tests.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

// Pair is a certificate with its key, both in PEM form.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// NewAuthority makes an authority with a new key.
func NewAuthority(name string) (*Authority, error) {
	const op = "keys.authority"
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fault.Wrap(op, Invalid, err)
	}
	template := certificate(name, authorityLife)
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fault.Wrap(op, Invalid, err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fault.Wrap(op, Invalid, err)
	}
	return &Authority{certificate: parsed, key: key, pem: encode("CERTIFICATE", der)}, nil
}

// PEM returns the authority's certificate.
func (authority *Authority) PEM() []byte { return authority.pem }

// Issue makes a certificate for a host with the given IP numbers.
func (authority *Authority) Issue(name string, addresses ...net.IP) (Pair, error) {
	const op = "keys.issue"
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, fault.Wrap(op, Invalid, err)
	}
	template := certificate(name, hostLife)
	template.DNSNames = []string{name}
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	if err != nil {
		return Pair{}, fault.Wrap(op, Invalid, err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, fault.Wrap(op, Invalid, err)
	}
	return Pair{Certificate: encode("CERTIFICATE", der), Key: encode("PRIVATE KEY", private)}, nil
}

// WriteHost issues a certificate for a host and writes authority.pem, NAME.pem
// and NAME.key into a directory. Keys are readable by their owner only.
func (authority *Authority) WriteHost(directory, name string, addresses ...net.IP) (Files, error) {
	const op = "keys.write"
	pair, err := authority.Issue(name, addresses...)
	if err != nil {
		return Files{}, err
	}
	files := Files{
		Authority:   filepath.Join(directory, "authority.pem"),
		Certificate: filepath.Join(directory, name+".pem"),
		Key:         filepath.Join(directory, name+".key"),
	}
	contents := map[string][]byte{files.Authority: authority.pem, files.Certificate: pair.Certificate, files.Key: pair.Key}
	for path, content := range contents {
		if err := os.WriteFile(path, content, 0o600); err != nil {
			return Files{}, &Error{Op: op, Kind: Unwritable, Field: "directory", Err: err}
		}
	}
	return files, nil
}

func certificate(name string, life time.Duration) *x509.Certificate {
	now := time.Now()
	serial, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(life),
	}
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
