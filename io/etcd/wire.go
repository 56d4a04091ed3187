package etcd

// The messages of the published JSON gateway that the client uses: 64-bit
// integers are strings and bytes are base64.

type header struct {
	ClusterID uint64 `json:"cluster_id,string"`
	Revision  int64  `json:"revision,string"`
}

type pair struct {
	Key      []byte `json:"key"`
	Created  int64  `json:"create_revision,string"`
	Modified int64  `json:"mod_revision,string"`
	Value    []byte `json:"value"`
	Lease    int64  `json:"lease,string"`
}

type rangeRequest struct {
	Key []byte `json:"key"`
	End []byte `json:"range_end,omitempty"`
	// KeysOnly leaves the values out of the reply.
	KeysOnly bool `json:"keys_only,omitempty"`
}

type rangeReply struct {
	Header header `json:"header"`
	Pairs  []pair `json:"kvs"`
	// Count is the number of all keys in the span, and More is set if the reply lacks some.
	Count int64 `json:"count,string"`
	More  bool  `json:"more"`
}

// whole reports whether the reply has all keys that it counts.
func (reply *rangeReply) whole() bool {
	return !reply.More && (reply.Count == 0 || reply.Count == int64(len(reply.Pairs)))
}

type compare struct {
	Result string `json:"result"`
	Target string `json:"target"`
	Key    []byte `json:"key"`
	// Modified or Value is set.
	Modified *int64  `json:"mod_revision,string,omitempty"`
	Value    *[]byte `json:"value,omitempty"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type operation struct {
	Put    *putRequest   `json:"request_put,omitempty"`
	Delete *rangeRequest `json:"request_delete_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
}

type txnReply struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

type leaseMessage struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string,omitempty"`
}

type leaseReply struct {
	Header header `json:"header"`
	leaseMessage
}

type keepAliveReply struct {
	Result leaseReply `json:"result"`
}

type watchRequest struct {
	Create createRequest `json:"create_request"`
}

type createRequest struct {
	Key   []byte `json:"key"`
	End   []byte `json:"range_end"`
	Start int64  `json:"start_revision,string,omitempty"`
}

type watchReply struct {
	Result struct {
		Created   bool  `json:"created"`
		Canceled  bool  `json:"canceled"`
		Compacted int64 `json:"compact_revision,string"`
		Events    []struct {
			Type string `json:"type"`
			Pair pair   `json:"kv"`
		} `json:"events"`
	} `json:"result"`
	Error any `json:"error"`
}

func (reply *rangeReply) head() header     { return reply.Header }
func (reply *txnReply) head() header       { return reply.Header }
func (reply *leaseReply) head() header     { return reply.Header }
func (reply *keepAliveReply) head() header { return reply.Result.Header }
