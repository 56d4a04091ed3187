package etcd

import (
	"sync"

	"primrosegw/core/store"
)

/*
cluster tracks the cluster ID of the service. A service that is restored from a copy gets
a new one, and gives the revisions and lease IDs of the changes that it lost out again. So a
revision or a lease holds only in the cluster that gave it out. A cluster is safe for
concurrent use.
*/
type cluster struct {
	mutex sync.Mutex
	// id is the ID in the latest reply, 0 if it is unknown.
	id uint64
	// revisions holds the cluster that gave out the revision of a key last, by key, and
	// leases the one that granted a lease, by lease ID.
	revisions map[string]uint64
	leases    map[int64]uint64
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

// recordRevision records that a reply gave out the revision of a key.
func (cluster *cluster) recordRevision(key string, header header) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	cluster.revisions[key] = header.ClusterID
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

// keepsRevision reports whether the known revision of a key holds in the present cluster.
func (cluster *cluster) keepsRevision(key string) bool {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	gaveOut, known := cluster.revisions[key]
	return !known || gaveOut == cluster.id
}

// keepsLease reports whether a lease holds in the present cluster.
func (cluster *cluster) keepsLease(lease int64) bool {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	granted, known := cluster.leases[lease]
	return !known || granted == cluster.id
}

// refusal returns the error kind of a swap that relies on a revision or a lease of another
// cluster, and false if it relies on none.
func (cluster *cluster) refusal(swap store.Swap) (store.Kind, bool) {
	switch {
	case swap.Expect != 0 && !cluster.keepsRevision(swap.Key):
		return store.Conflict, true
	case swap.Lease != 0 && !cluster.keepsLease(swap.Lease):
		return store.Expired, true
	}
	return "", false
}
