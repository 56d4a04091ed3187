package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// streamer is a consumer with one stream, over all of its tries.
type streamer struct {
	number int
	hosts  []*host
	key    string
	began  time.Time
	limit  time.Duration

	last     int
	resumes  string
	versions map[string]int
	statuses []int
	complete bool
}

// run sends the request, and takes the stream up after a broken connection: up to five more tries,
// each after twice the wait of the one before.
func (streamer *streamer) run(next func(try int) *host) {
	streamer.began = time.Now()
	wait := 300 * time.Millisecond
	for try := 0; try <= 5 && !streamer.complete; try++ {
		left := streamer.limit - time.Since(streamer.began)
		if left < time.Second {
			return
		}
		retryAfter := streamer.try(next(try), left)
		time.Sleep(max(wait, retryAfter))
		wait *= 2
	}
}

// try makes one consumer attempt. It returns after what time the consumer may ask again.
func (streamer *streamer) try(host *host, left time.Duration) time.Duration {
	consumer, err := connect(host.entry)
	if err != nil {
		return 0
	}
	defer consumer.Close()
	_ = consumer.conn.SetDeadline(time.Now().Add(left))
	attempt := streamer.attempt(left)
	if consumer.Send(attempt) != nil {
		return 0
	}
	response, err := consumer.Head(http.MethodPost)
	if err != nil {
		return 0
	}
	streamer.statuses = append(streamer.statuses, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		var seconds float64
		_, _ = fmt.Sscanf(response.Header.Get("Retry-After"), "%f", &seconds)
		return time.Duration(seconds * float64(time.Second))
	}
	streamer.complete = streamer.read(response, attempt.id)
	return 0
}

// tryUntil makes the first consumer attempt, whose connection breaks off when cut is closed.
func (streamer *streamer) tryUntil(host *host, cut <-chan struct{}) {
	consumer, err := connect(host.entry)
	if err != nil {
		return
	}
	defer consumer.Close()
	go func() {
		<-cut
		consumer.Close()
	}()
	attempt := streamer.attempt(streamer.limit)
	if consumer.Send(attempt) != nil {
		return
	}
	response, err := consumer.Head(http.MethodPost)
	if err != nil {
		return
	}
	streamer.statuses = append(streamer.statuses, response.StatusCode)
	if response.StatusCode == http.StatusOK {
		streamer.complete = streamer.read(response, attempt.id)
	}
}

// attempt returns the next consumer attempt.
func (streamer *streamer) attempt(left time.Duration) request {
	// Half of the streams have long prompts, and half long answers.
	usage := "2370,200"
	if streamer.number%2 == 0 {
		usage = "711,200"
	}
	attempt := request{
		method: http.MethodPost, path: "/pufi791/2f", id: newID(), key: streamer.key, deadline: left, body: strings.Repeat("p", 2000),
		headers: []string{
			"Model: m", wire("{token usage}: ") + usage,
			fmt.Sprintf(wire("{prefix hash}: 5c1e07a2:400,%x:100,%x:200"), 0x91000000+streamer.number, 0xe4000000+streamer.number),
		},
	}
	if streamer.last > 0 {
		attempt.headers = append(attempt.headers, fmt.Sprintf("Last-Event-Id: %d", streamer.last), "Resumes: "+streamer.resumes)
	}
	return attempt
}

// read reads the events of an answer and reports whether the stream is complete.
func (streamer *streamer) read(response *http.Response, id string) bool {
	return readEvents(response.Body, func(event event) {
		if streamer.last == 0 {
			streamer.resumes = id
		}
		streamer.last = event.id
		if fields := strings.Fields(event.data); len(fields) > 1 {
			streamer.versions[fields[1]]++
		}
	})
}
