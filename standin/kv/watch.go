package kv

import (
	"encoding/json"
	"net/http"

	"primrosegw/core/fault"
	"primrosegw/core/store"
)

type watchRequest struct {
	Create struct {
		Key   []byte `json:"key"`
		End   []byte `json:"range_end"`
		Start int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

// watchEvent leaves out the type of a put, which is the published default.
type watchEvent struct {
	Type string `json:"type,omitempty"`
	Pair pair   `json:"kv"`
}

type watchReply struct {
	Header    header       `json:"header"`
	Created   bool         `json:"created,omitempty"`
	Canceled  bool         `json:"canceled,omitempty"`
	Compacted int64        `json:"compact_revision,string,omitempty"`
	Events    []watchEvent `json:"events,omitempty"`
}

// serveWatch streams changes as JSON messages, one a line.
func (service *Service) serveWatch(writer http.ResponseWriter, request *http.Request) {
	var message watchRequest
	body := http.MaxBytesReader(writer, request.Body, requestLimit)
	if err := json.NewDecoder(body).Decode(&message); err != nil {
		fail(writer, fault.Wrap("kv.watch", store.Refused, err))
		return
	}
	if err := service.enter(request.Context(), "watch"); err != nil {
		fail(writer, err)
		return
	}
	begin := service.begin(message.Create.Start)
	stream := func(answer watchReply) error {
		if err := json.NewEncoder(writer).Encode(map[string]watchReply{"result": answer}); err != nil {
			return err
		}
		return http.NewResponseController(writer).Flush()
	}
	if stream(watchReply{Header: header{Revision: begin - 1}, Created: true}) != nil {
		return
	}
	create := message.Create
	err := service.follow(request.Context(), string(create.Key), string(create.End), begin, func(batch []change) error {
		return stream(watchReply{Header: header{Revision: batch[len(batch)-1].revision}, Events: eventsOf(batch)})
	})
	if fault.Is(err, store.Compacted) {
		_ = stream(watchReply{Canceled: true, Compacted: begin})
		return
	}
	panic(http.ErrAbortHandler)
}

func eventsOf(batch []change) []watchEvent {
	events := make([]watchEvent, 0, len(batch))
	for _, past := range batch {
		event := watchEvent{Pair: pairOf(past.event.Entry, 0)}
		if past.event.Deleted {
			event.Type = "DELETE"
		}
		events = append(events, event)
	}
	return events
}
