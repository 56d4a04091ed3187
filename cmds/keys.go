package cmds

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strings"

	"primrosegw/core/fault"
	"primrosegw/io/keys"
)

// bearerBytes is the length of a new bearer key before its encoding: 256 bits.
const bearerBytes = 32

type keysCommand struct {
	Hosts  keysHosts  `cmd:"" help:"Make an authority and certificates for hosts, for development."`
	Bearer keysBearer `cmd:"" help:"Make a bearer key for a workspace or an operator."`
	Hash   keysHash   `cmd:"" help:"Print the hash of a bearer key, as documents hold it."`
}

// Help implements kong's extended help.
func (keysCommand) Help() string {
	return `Example:

  primrosegw keys hosts --directory keys host-1=127.0.0.1 host-2=127.0.0.1
  primrosegw keys bearer
  primrosegw keys hash < key.txt`
}

type keysHosts struct {
	Directory string   `required:"" placeholder:"DIR" help:"Where the files are written; made if missing."`
	Hosts     []string `arg:"" placeholder:"NAME=IP" help:"A host's name and IP number."`
}

// Help implements kong's extended help.
func (keysHosts) Help() string {
	return `Example:

  primrosegw keys hosts --directory keys host-1=127.0.0.1 host-2=127.0.0.1

The directory gets authority.pem, and NAME.pem and NAME.key for each host. The
authority's own key is not kept: a new run makes a new authority.`
}

// Run writes authority.pem, and NAME.pem and NAME.key for each host. The
// authority's own key is not kept: a new run makes a new authority.
func (command keysHosts) Run(console console) error {
	const op = "keys.hosts"
	if err := os.MkdirAll(command.Directory, 0o700); err != nil {
		return usage{err}
	}
	authority, err := keys.NewAuthority("primrosegw development")
	if err != nil {
		return err
	}
	for _, entry := range command.Hosts {
		name, address, ok := strings.Cut(entry, "=")
		ip := net.ParseIP(address)
		if !ok || name == "" || ip == nil || strings.ContainsAny(name, `/\`) {
			return usage{fault.Field(op, keys.Invalid, "hosts", "found "+entry+", allowed: NAME=IP")}
		}
		files, err := authority.WriteHost(command.Directory, name, ip)
		if err != nil {
			return err
		}
		fmt.Fprintf(console.out, "%s %s\n", files.Certificate, files.Key)
	}
	return nil
}

type keysBearer struct{}

// Help implements kong's extended help.
func (keysBearer) Help() string { return "Example:\n\n  primrosegw keys bearer" }

// Run prints a new key and its hash. The key is shown this once.
func (keysBearer) Run(console console) error {
	raw := make([]byte, bearerBytes)
	if _, err := rand.Read(raw); err != nil {
		return err
	}
	key := "pk-" + base64.RawURLEncoding.EncodeToString(raw)
	_, err := fmt.Fprintf(console.out, "key    %s\nsha256 %s\n", key, hashKey(key))
	return err
}

type keysHash struct{}

// Help implements kong's extended help.
func (keysHash) Help() string { return "Example:\n\n  primrosegw keys hash < key.txt" }

// Run reads a key from the standard input, so that it shows in no process list.
func (keysHash) Run(console console) error {
	var key string
	if _, err := fmt.Fscanln(os.Stdin, &key); err != nil {
		return usage{fault.Field("keys.hash", keys.Invalid, "standard input", "it holds no key")}
	}
	_, err := fmt.Fprintln(console.out, hashKey(key))
	return err
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
