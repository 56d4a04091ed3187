package etcd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"primrosegw/core/fault"
	"primrosegw/core/store"
)

// Watch reports changes to keys with a prefix from a revision on; 0 means from
// now on. The stream has no time limit but the context's; its opening has the
// time limit of a call.
func (client *Client) Watch(ctx context.Context, prefix string, from int64) (<-chan store.Event, error) {
	ctx, cancel := context.WithCancel(ctx)
	opening := time.AfterFunc(client.timeout, cancel)
	decoder, response, err := client.watch(ctx, prefix, from)
	if err == nil && !opening.Stop() {
		_ = response.Body.Close()
		err = fault.New("etcd.watch", store.Unavailable, "the watch did not open in time")
	}
	if err != nil {
		cancel()
		return nil, err
	}
	events := make(chan store.Event)
	go func() {
		defer close(events)
		defer cancel()
		defer func() { _ = response.Body.Close() }()
		err := pump(ctx, decoder, events)
		_ = send(ctx, events, store.Event{Err: err})
	}()
	return events, nil
}

// watch opens a stream at one of the endpoints and reads the message that
// confirms it.
func (client *Client) watch(ctx context.Context, prefix string, from int64) (*messages, *http.Response, error) {
	endpoint := client.endpoints.choose(nil)
	if endpoint == nil {
		return nil, nil, fault.New("etcd.watch", store.Unavailable, "all endpoints are backing off")
	}
	if err := client.spend(ctx, "watch"); err != nil {
		client.endpoints.settle(endpoint, false)
		return nil, nil, err
	}
	message := watchRequest{Create: createRequest{Key: []byte(prefix), End: prefixEnd(prefix), Start: from}}
	response, _, err := client.open(ctx, endpoint, call{kind: "watch", path: "/v3/watch", message: message})
	if err != nil {
		client.endpoints.settle(endpoint, true)
		return nil, nil, fault.Wrap("etcd.watch", store.Unavailable, err)
	}
	if response.StatusCode != http.StatusOK {
		attempt := refusal("watch", response)
		_ = response.Body.Close()
		client.endpoints.settle(endpoint, attempt.failed)
		return nil, nil, attempt.err
	}
	decoder := newMessages(response.Body)
	var first watchReply
	err = decoder.next(&first)
	client.endpoints.settle(endpoint, err != nil)
	if err != nil {
		_ = response.Body.Close()
		return nil, nil, fault.Wrap("etcd.watch", store.Unavailable, err)
	}
	return decoder, response, nil
}

// messages decodes the messages of a stream, each of at most replyLimit bytes.
type messages struct {
	limited *io.LimitedReader
	decoder *json.Decoder
}

func newMessages(stream io.Reader) *messages {
	limited := &io.LimitedReader{R: stream}
	return &messages{limited: limited, decoder: json.NewDecoder(limited)}
}

// next decodes the next message. The end of a message that is too long looks like that of the stream.
func (messages *messages) next(message any) error {
	messages.limited.N = replyLimit
	return messages.decoder.Decode(message)
}

// pump passes the events of a stream on until the stream ends, and returns why
// it ended.
func pump(ctx context.Context, decoder *messages, events chan<- store.Event) error {
	for {
		var answer watchReply
		if err := decoder.next(&answer); err != nil {
			return fault.Wrap("etcd.watch", store.Unavailable, err)
		}
		if answer.Result.Compacted > 0 {
			return fault.New("etcd.watch", store.Compacted, "the revision is compacted away")
		}
		if answer.Result.Canceled || answer.Error != nil {
			return fault.New("etcd.watch", store.Unavailable, "the service cancelled the watch")
		}
		for _, event := range answer.Result.Events {
			change := store.Event{Entry: event.Pair.entry(), Deleted: event.Type == "DELETE"}
			if err := send(ctx, events, change); err != nil {
				return fault.Wrap("etcd.watch", store.Unavailable, err)
			}
		}
	}
}

// send passes an event on unless the context ends first.
func send(ctx context.Context, events chan<- store.Event, event store.Event) error {
	select {
	case events <- event:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
