package etcd

import (
	"context"
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
	client.cluster.recordRevision(key, answer.Header)
	if len(answer.Pairs) == 0 {
		return store.Entry{}, fault.New("etcd.range", store.Absent, key)
	}
	return answer.Pairs[0].entry(), nil
}

// Range reads all keys with a prefix.
func (client *Client) Range(ctx context.Context, prefix string) ([]store.Entry, int64, error) {
	var answer rangeReply
	message := rangeRequest{Key: []byte(prefix), End: prefixEnd(prefix)}
	err := client.do(ctx, call{kind: "range", path: "/v3/kv/range", message: message, answer: &answer})
	if err != nil {
		return nil, 0, err
	}
	entries := make([]store.Entry, 0, len(answer.Pairs))
	for _, pair := range answer.Pairs {
		client.cluster.recordRevision(string(pair.Key), answer.Header)
		entries = append(entries, pair.entry())
	}
	return entries, answer.Header.Revision, nil
}

// Swap writes a key if it is at the expected revision. A revision that the service gave out
// before it was restored from a copy is a Conflict, and a lease of before is Expired.
func (client *Client) Swap(ctx context.Context, swap store.Swap) (int64, error) {
	if kind, refused := client.cluster.refusal(swap); refused {
		return 0, fault.New("etcd.txn", kind, "the service was restored from a copy meanwhile")
	}
	put := &putRequest{Key: []byte(swap.Key), Value: swap.Value, Lease: swap.Lease}
	return client.transact(ctx, swap.Key, swap.Expect, operation{Put: put})
}

// Delete removes a key if it is at the expected revision.
func (client *Client) Delete(ctx context.Context, key string, expect int64) error {
	if kind, refused := client.cluster.refusal(store.Swap{Key: key, Expect: expect}); refused {
		return fault.New("etcd.txn", kind, "the service was restored from a copy meanwhile")
	}
	_, err := client.transact(ctx, key, expect, operation{Delete: &rangeRequest{Key: []byte(key)}})
	return err
}

// transact runs one operation if the key is at the expected revision.
func (client *Client) transact(ctx context.Context, key string, expect int64, change operation) (int64, error) {
	message := txnRequest{
		Compare: []compare{{Result: "EQUAL", Target: "MOD", Key: []byte(key), Modified: expect}},
		Success: []operation{change},
	}
	var answer txnReply
	err := client.do(ctx, call{kind: "txn", path: "/v3/kv/txn", write: true, message: message, answer: &answer})
	if err != nil {
		return 0, err
	}
	if !answer.Succeeded {
		return 0, fault.New("etcd.txn", store.Conflict, key)
	}
	client.cluster.recordRevision(key, answer.Header)
	return answer.Header.Revision, nil
}

// Grant makes a lease. The service counts in whole seconds: the time to live is
// rounded up.
func (client *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	message := leaseMessage{TTL: max(seconds, 1)}
	var answer leaseReply
	err := client.do(ctx, call{kind: "grant", path: "/v3/lease/grant", write: true, message: message, answer: &answer})
	if err == nil {
		client.cluster.recordLease(answer.ID, answer.Header)
	}
	return answer.ID, err
}

// KeepAlive renews a lease and returns its time to live. A lease that was granted before
// the service was restored from a copy is Expired: its ID may be somebody else's.
func (client *Client) KeepAlive(ctx context.Context, lease int64) (time.Duration, error) {
	var answer keepAliveReply
	message := leaseMessage{ID: lease}
	err := client.do(ctx, call{
		kind: "keepalive", path: "/v3/lease/keepalive", write: true, message: message, answer: &answer,
	})
	if err != nil {
		return 0, err
	}
	if answer.Result.TTL <= 0 || !client.cluster.keepsLease(lease) {
		return 0, fault.New("etcd.keepalive", store.Expired, "the lease does not exist")
	}
	return time.Duration(answer.Result.TTL) * time.Second, nil
}

// Revoke ends a lease and deletes its keys.
func (client *Client) Revoke(ctx context.Context, lease int64) error {
	if !client.cluster.keepsLease(lease) {
		return fault.New("etcd.revoke", store.Expired, "the service was restored from a copy meanwhile")
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
