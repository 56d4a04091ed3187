package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"primrosegw/core/cell"
	"primrosegw/core/event"
	"primrosegw/core/fault"
	"primrosegw/core/host"
	"primrosegw/core/route"
	"primrosegw/io/engine"
	"primrosegw/io/link"
)

const (
	// progressInterval is how often an owner shows that it is alive while a
	// request waits or runs.
	progressInterval = 500 * time.Millisecond
	// silenceTimeout is how long an entry host waits for any frame before it
	// takes the owner for lost. It is the bound for finding a dead host, 3 s.
	silenceTimeout = 3 * time.Second
)

// lost is returned when a cell's owner could not be reached or fell silent.
// The request may have been dispatched unless delivered is false.
type lost struct {
	delivered bool
	err       error
}

func (lost *lost) Error() string { return "the cell's owner was lost: " + lost.err.Error() }

func (lost *lost) Unwrap() error { return lost.err }

// forward runs a request at the owner of a cell and relays the answer.
func (daemon *Daemon) forward(ctx context.Context, owner host.Host, message forward, emit func(cell.Chunk) error) (cell.Outcome, error) {
	stream, err := daemon.link.Open(ctx, owner.LinkAddress, messageForward)
	if err != nil {
		return cell.Outcome{Run: cell.NotRun}, &lost{err: err}
	}
	// Giving the stream up tells the owner that nobody waits for the answer.
	defer stream.Cancel()
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	if err := stream.Write(message); err != nil {
		// The owner has not got the whole request, so it can't have run it.
		return cell.Outcome{Run: cell.NotRun}, &lost{err: err}
	}
	return daemon.relay(ctx, stream, message, emit)
}

// relay hands the owner's frames on until the final one.
func (daemon *Daemon) relay(ctx context.Context, stream *link.Stream, message forward, emit func(cell.Chunk) error) (cell.Outcome, error) {
	const op = "daemon.relay"
	for {
		stream.ReadBefore(time.Now().Add(silenceTimeout))
		var received frame
		if err := stream.Read(&received); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return cell.Outcome{Run: cell.RunUnknown}, cause
			}
			return cell.Outcome{Run: cell.RunUnknown}, &lost{delivered: true, err: err}
		}
		if received.Request != message.Request.ID {
			err := fault.New(op, link.Malformed, "a frame of request "+received.Request)
			return cell.Outcome{Run: cell.RunUnknown}, &lost{delivered: true, err: err}
		}
		switch {
		case received.Chunk != nil:
			if err := emit(*received.Chunk); err != nil {
				return cell.Outcome{Run: cell.Ran}, err
			}
		case received.Final != nil:
			daemon.loads.record(received.Final.Summary)
			return received.Final.Outcome, received.Final.err()
		}
	}
}

// serveForward runs a request that came from another host.
func (daemon *Daemon) serveForward(ctx context.Context, stream *link.Stream) {
	var message forward
	if err := stream.Read(&message); err != nil {
		daemon.logger.Log(event.LinkRefused(), logrus.Fields{"peer": stream.Peer(), "error": err.Error()})
		return
	}
	if err := message.check(); err != nil {
		daemon.logger.Log(event.LinkRefused(), logrus.Fields{"peer": stream.Peer(), "error": err.Error()})
		refused := &frames{stream: stream, request: message.Request.ID}
		refused.final(cell.Outcome{Run: cell.NotRun}, err, cell.Summary{})
		return
	}
	request := message.request()
	daemon.logger.Log(event.ForwardReceived(), logrus.Fields{
		"request_id": request.ID, "cell": message.Cell, "hops": message.Hops, "peer": stream.Peer(),
	})
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	writer := &frames{stream: stream, request: request.ID}
	stop := writer.progress(ctx)
	outcome, err := daemon.serveHere(ctx, message.Cell, message.Hops, request, writer.chunk)
	stop()
	writer.final(outcome, err, daemon.cells.summary(message.Cell))
}

// serveHere runs a request in this host's cell, or passes it on once more when
// another host owns the cell.
func (daemon *Daemon) serveHere(ctx context.Context, name string, hops int, request cell.Request, emit func(cell.Chunk) error) (cell.Outcome, error) {
	owner, known := daemon.owner(name)
	if known && !route.Serves(hops, daemon.self.Name, owner) {
		outcome, err := daemon.forward(ctx, owner, prepare(name, hops+1, request), emit)
		if failed := (*lost)(nil); !errors.As(err, &failed) || failed.delivered {
			return outcome, err
		}
	}
	served, ok := daemon.cells.get(name)
	if !ok {
		err := fault.New("daemon.serve", cell.Closed, "no backend server of cell "+name+" is in the document")
		return cell.Outcome{Run: cell.NotRun}, err
	}
	return served.Serve(ctx, request, emit)
}

// frames writes the answer to a forward.
type frames struct {
	stream  *link.Stream
	request string
}

func (frames *frames) chunk(chunk cell.Chunk) error {
	err := frames.stream.Write(frame{Request: frames.request, Chunk: &chunk})
	if err != nil {
		return fault.Wrap("daemon.frames", cell.Gone, err)
	}
	return nil
}

func (frames *frames) final(outcome cell.Outcome, err error, summary cell.Summary) {
	last := final{Outcome: outcome, Summary: summary}
	if err != nil {
		last.Kind = kindOf(err)
		last.Text = err.Error()
		last.Said = engine.Said(err)
	}
	_ = frames.stream.Write(frame{Request: frames.request, Final: &last})
}

// progress sends empty frames until the returned function is called.
func (frames *frames) progress(ctx context.Context) func() {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				_ = frames.stream.Write(frame{Request: frames.request})
			}
		}
	})
	return func() {
		cancel()
		group.Wait()
	}
}

// kindOf returns the kind of a cell's error for the way over a link.
func kindOf(err error) cell.Kind {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return cell.Expired
	case errors.Is(err, context.Canceled):
		return cell.Gone
	}
	if kind := fault.KindOf[cell.Kind](err); kind != "" {
		return kind
	}
	return cell.Unknown
}
