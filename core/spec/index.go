package spec

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// Digest returns the SHA-256 hash of the document's canonical JSON (RFC 8785) in
// hexadecimal digits. White space, the order of fields and fields that hold
// their default do not change it.
func (document Document) Digest() string {
	encoded, err := json.Marshal(document)
	if err != nil {
		// Documents hold strings, finite numbers and truth values only.
		panic(err)
	}
	canonical := jsontext.Value(encoded)
	if err := canonical.Canonicalize(); err != nil {
		panic(err)
	}
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// Index finds the parts of a document that was parsed without a problem.
type Index struct {
	Document   Document
	workspaces map[[4]byte][]holder
	operators  map[[4]byte][]holder
	classes    map[string]Class
	services   map[string]Service
	pools      map[string]Pool
	servers    map[string][]BackendServer
	regions    map[string]string
}

// holder is the place of a workspace or an operator with one of its hashes.
type holder struct {
	hash  [sha256.Size]byte
	place int
}

// NewIndex returns the index of a document.
func NewIndex(document Document) *Index {
	index := &Index{
		Document: document, workspaces: map[[4]byte][]holder{}, operators: map[[4]byte][]holder{},
		classes: map[string]Class{}, services: map[string]Service{}, pools: map[string]Pool{},
		servers: map[string][]BackendServer{}, regions: map[string]string{},
	}
	for place, workspace := range document.Workspaces {
		enter(index.workspaces, workspace.Keys, place)
	}
	for place, operator := range document.Operators {
		enter(index.operators, operator.Keys, place)
	}
	for _, class := range document.Classes {
		index.classes[class.Name] = class
	}
	for _, service := range document.Services {
		index.services[service.Name] = service
	}
	for _, pool := range document.Pools {
		index.pools[pool.Model] = pool
		for _, adapter := range pool.Adapters {
			index.pools[adapter.Name] = pool
		}
	}
	for _, server := range document.BackendServers {
		index.servers[server.Pool] = append(index.servers[server.Pool], server)
	}
	for _, region := range document.Regions {
		for _, domain := range region.FailureDomains {
			index.regions[domain] = region.Name
		}
	}
	return index
}

// enter adds the hashes of keys. Hashes that are not valid are left out.
func enter(holders map[[4]byte][]holder, keys []Key, place int) {
	for _, key := range keys {
		digest, err := hex.DecodeString(key.SHA256)
		if err != nil || len(digest) != sha256.Size {
			continue
		}
		bucket := [4]byte(digest)
		holders[bucket] = append(holders[bucket], holder{hash: [sha256.Size]byte(digest), place: place})
	}
}

// find returns the place of the holder of a key. The first bytes of the hash
// choose a bucket; the whole hash is compared in constant time.
func find(holders map[[4]byte][]holder, key string) (int, bool) {
	sum := sha256.Sum256([]byte(key))
	for _, holder := range holders[[4]byte(sum[:4])] {
		if subtle.ConstantTimeCompare(holder.hash[:], sum[:]) == 1 {
			return holder.place, true
		}
	}
	return 0, false
}

// Workspace returns the workspace of a bearer key.
func (index *Index) Workspace(key string) (Workspace, bool) {
	place, found := find(index.workspaces, key)
	if !found {
		return Workspace{}, false
	}
	return index.Document.Workspaces[place], true
}

// Operator returns the operator of a bearer key.
func (index *Index) Operator(key string) (Operator, bool) {
	place, found := find(index.operators, key)
	if !found {
		return Operator{}, false
	}
	return index.Document.Operators[place], true
}

// Class returns a class by name.
func (index *Index) Class(name string) (Class, bool) {
	class, found := index.classes[name]
	return class, found
}

// Service returns a plain service by name.
func (index *Index) Service(name string) (Service, bool) {
	service, found := index.services[name]
	return service, found
}

// Pool returns the pool that runs a model or an adapter.
func (index *Index) Pool(model string) (Pool, bool) {
	pool, found := index.pools[model]
	return pool, found
}

// Servers returns the backend servers of a pool by its name, leaving ones too.
func (index *Index) Servers(pool string) []BackendServer { return index.servers[pool] }

// Region returns the region of a failure domain, empty if it is unknown.
func (index *Index) Region(failureDomain string) string { return index.regions[failureDomain] }
