package etcd

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"time"

	"primrosegw/core/fault"
	"primrosegw/core/store"
)

// Get reads one key.
func (client *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	var answer rangeReply
	message := rangeRequest{Key: []byte(key)}
	err := client.do(ctx, call{kind: "range", path: "/v3/kv/range", message: message, answer: &answer})
	if err != nil {
		return store.Entry{}, err
	}
	if len(answer.Pairs) == 0 {
		return store.Entry{}, fault.New("etcd.range", store.Absent, key)
	}
	entry := answer.Pairs[0].entry()
	client.cluster.recordValue(key, answer.Header, entry.Revision, entry.Value)
	return entry, nil
}

// Range reads all keys with a prefix.
func (client *Client) Range(ctx context.Context, prefix string) ([]store.Entry, int64, error) {
	var answer rangeReply
	message := rangeRequest{Key: []byte(prefix), End: prefixEnd(prefix)}
	err := client.do(ctx, call{kind: "range", path: "/v3/kv/range", message: message, answer: &answer})
	if err != nil {
		return nil, 0, err
	}
	if !answer.whole() {
		return nil, 0, fault.New("etcd.range", store.Unavailable, "the reply lacks keys that it counts")
	}
	entries := make([]store.Entry, 0, len(answer.Pairs))
	for _, pair := range answer.Pairs {
		client.cluster.recordRevision(string(pair.Key), answer.Header, pair.Modified)
		entries = append(entries, pair.entry())
	}
	return entries, answer.Header.Revision, nil
}

// Swap writes a key if it is at the expected revision. A revision that the service gave out
// before it was restored from a copy is a Conflict, and a lease of before is Expired.
func (client *Client) Swap(ctx context.Context, swap store.Swap) (int64, error) {
	if swap.Lease != 0 && !client.cluster.keepsLease(swap.Lease) {
		return 0, fault.New("etcd.txn", store.Expired, restoredDetail)
	}
	put := &putRequest{Key: []byte(swap.Key), Value: swap.Value, Lease: swap.Lease}
	revision, header, err := client.transact(ctx, swap.Key, swap.Expect, operation{Put: put})
	if err == nil {
		client.cluster.recordValue(swap.Key, header, revision, swap.Value)
	}
	return revision, err
}

// Delete removes a key if it is at the expected revision.
func (client *Client) Delete(ctx context.Context, key string, expect int64) error {
	_, _, err := client.transact(ctx, key, expect, operation{Delete: &rangeRequest{Key: []byte(key)}})
	return err
}

// restoredDetail says why a revision or a lease holds no more.
const restoredDetail = "the service was restored from a copy meanwhile"

// transact runs one operation if the key is at the expected revision.
func (client *Client) transact(ctx context.Context, key string, expect int64, change operation) (int64, header, error) {
	conditions, err := client.conditions(ctx, key, expect)
	if err != nil {
		return 0, header{}, err
	}
	message := txnRequest{Compare: conditions, Success: []operation{change}}
	var answer txnReply
	err = client.do(ctx, call{kind: "txn", path: "/v3/kv/txn", write: true, message: message, answer: &answer})
	if err != nil {
		return 0, header{}, err
	}
	if !answer.Succeeded {
		return 0, header{}, fault.New("etcd.txn", store.Conflict, key)
	}
	return answer.Header.Revision, answer.Header, nil
}

// conditions returns the comparisons of a write that expects a revision. The protocol can't
// compare the cluster ID. So the value is compared, too: the write of another host after a
// restoration may have the same revision, but then it has another value or changes nothing.
// Before a write to a value that is too long to be compared, the ID is asked for; a restoration
// between that reply and the write is not noticed.
func (client *Client) conditions(ctx context.Context, key string, expect int64) ([]compare, error) {
	conditions := []compare{{Result: "EQUAL", Target: "MOD", Key: []byte(key), Modified: &expect}}
	known, found, holds := client.cluster.version(key)
	if expect == 0 || !found {
		return conditions, nil
	}
	if holds && known.hasValue && known.revision == expect {
		return append(conditions, compare{Result: "EQUAL", Target: "VALUE", Key: []byte(key), Value: &known.value}), nil
	}
	if holds {
		var answer rangeReply
		message := rangeRequest{Key: []byte(key), KeysOnly: true}
		err := client.do(ctx, call{kind: "range", path: "/v3/kv/range", message: message, answer: &answer})
		if err != nil {
			return nil, err
		}
		_, _, holds = client.cluster.version(key)
	}
	if !holds {
		return nil, fault.New("etcd.txn", store.Conflict, restoredDetail)
	}
	return conditions, nil
}

// Grant makes a lease with a random ID, which a restored service does not give out again. The
// service counts in whole seconds: the time to live is rounded up.
func (client *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	message := leaseMessage{ID: newLeaseID(), TTL: max(seconds, 1)}
	var answer leaseReply
	err := client.do(ctx, call{kind: "grant", path: "/v3/lease/grant", write: true, message: message, answer: &answer})
	if err != nil {
		return 0, err
	}
	if answer.ID != message.ID {
		return 0, fault.New("etcd.grant", store.Refused, "the service chose another lease ID than the requested one")
	}
	client.cluster.recordLease(answer.ID, answer.Header)
	return answer.ID, nil
}

// newLeaseID returns a random positive ID.
func newLeaseID() int64 {
	var random [8]byte
	_, _ = rand.Read(random[:])
	return int64(binary.BigEndian.Uint64(random[:])>>1 | 1)
}

// KeepAlive renews a lease and returns its time to live. A lease that was granted before
// the service was restored from a copy is Expired, since what was written under it may be lost.
func (client *Client) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	var answer keepAliveReply
	message := leaseMessage{ID: lease}
	err := client.do(ctx, call{
		kind: "keepalive", path: "/v3/lease/keepalive", write: true, message: message, answer: &answer,
	})
	if err != nil {
		return 0, err
	}
	if answer.Result.ID != lease {
		return 0, fault.New("etcd.keepalive", store.Uncertain, "the reply is not about the lease")
	}
	if answer.Result.TTL <= 0 || !client.cluster.keepsLease(lease) {
		return 0, fault.New("etcd.keepalive", store.Expired, "the lease does not exist")
	}
	return time.Duration(answer.Result.TTL) * time.Second, nil
}

// Revoke ends a lease and deletes its keys.
func (client *Client) Revoke(ctx context.Context, lease int64) error {
	if !client.cluster.keepsLease(lease) {
		return fault.New("etcd.revoke", store.Expired, restoredDetail)
	}
	var answer struct{}
	message := leaseMessage{ID: lease}
	client.cluster.forgetLease(lease)
	return client.do(ctx, call{kind: "revoke", path: "/v3/lease/revoke", write: true, message: message, answer: &answer})
}

// entry returns the store's form of a key.
func (pair pair) entry() store.Entry {
	return store.Entry{
		Key: string(pair.Key), Value: pair.Value, Revision: pair.Modified, Created: pair.Created, Lease: pair.Lease,
	}
}

// prefixEnd returns the range end for all keys with a prefix: the prefix with
// its last byte that is not 0xff raised by one, or a zero byte for "no end".
func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for index := len(end) - 1; index >= 0; index-- {
		if end[index] < 0xff {
			end[index]++
			return end[:index+1]
		}
	}
	return []byte{0}
}
