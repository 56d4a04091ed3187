package etcd

import "sync"

// comparedBytes is the size up to which a value is kept in memory and compared by a write. The
// service takes requests of about 1.5 MB, so a large value and its successor don't fit one.
const comparedBytes = 64 << 10

/*
cluster tracks the cluster ID of the service. A service that is restored from a copy gets
a new one, and gives the revisions and lease IDs of the changes that it lost out again. So a
revision or a lease holds only in the cluster that gave it out. The client learns the ID from
replies; so a write also compares the value that it replaces, and leases have random IDs. A
cluster is safe for concurrent use.
*/
type cluster struct {
	mutex sync.Mutex
	// id is the ID in the latest reply, 0 if it is unknown.
	id uint64
	// versions holds what the service said of a key last, by key, and leases the cluster
	// that granted a lease, by lease ID.
	versions map[string]version
	leases   map[int64]uint64
}

// version is what the service said of a key.
type version struct {
	cluster  uint64
	revision int64
	// value is the value at the revision if hasValue is set.
	value    []byte
	hasValue bool
}

// reply is a message of the service that has a header.
type reply interface{ head() header }

// observe records the ID in a reply.
func (cluster *cluster) observe(header header) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	if header.ClusterID != 0 {
		cluster.id = header.ClusterID
	}
}

// recordRevision records that a reply gave out the revision of a key. A reply that was
// overtaken by a later one changes nothing.
func (cluster *cluster) recordRevision(key string, header header, revision int64) {
	cluster.record(key, version{cluster: header.ClusterID, revision: revision})
}

// recordValue is recordRevision for a reply that tells the value.
func (cluster *cluster) recordValue(key string, header header, revision int64, value []byte) {
	latest := version{cluster: header.ClusterID, revision: revision}
	if len(value) <= comparedBytes {
		latest.value, latest.hasValue = append([]byte{}, value...), true
	}
	cluster.record(key, latest)
}

func (cluster *cluster) record(key string, latest version) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	known := cluster.versions[key]
	if known.cluster == latest.cluster && (known.revision > latest.revision || known.revision == latest.revision && known.hasValue) {
		return
	}
	cluster.versions[key] = latest
}

// recordLease records that a reply granted a lease.
func (cluster *cluster) recordLease(lease int64, header header) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.leases[lease] = header.ClusterID
}

// forgetLease forgets a lease that has ended.
func (cluster *cluster) forgetLease(lease int64) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	delete(cluster.leases, lease)
}

// version returns what the service said of a key last, whether it said anything, and whether
// that holds in the present cluster.
func (cluster *cluster) version(key string) (known version, found, holds bool) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	known, found = cluster.versions[key]
	return known, found, !found || known.cluster == cluster.id
}

// keepsLease reports whether a lease holds in the present cluster.
func (cluster *cluster) keepsLease(lease int64) bool {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	granted, known := cluster.leases[lease]
	return !known || granted == cluster.id
}
