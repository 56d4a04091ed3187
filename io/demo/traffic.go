package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"

	"primrosegw/standin/engine"
)

// Tally counts what became of the demo's requests.
type Tally struct {
	Requests int `json:"requests"`
	// Complete requests got their whole answer, word for word.
	Complete int `json:"complete"`
	// NotRun requests were refused before they were run.
	NotRun int `json:"not_run"`
	// Unknown requests ended with an error that does not say whether they ran.
	Unknown int `json:"unknown"`
	// Wrong requests got an answer that is not theirs.
	Wrong int `json:"wrong"`
	// Lost requests got neither an answer nor an error.
	Lost int `json:"lost"`
	// Duplicated counts calls that ran more than once and may not.
	Duplicated int `json:"duplicated"`
	// ByClass counts the complete requests of each class and their mean time to
	// the first token in milliseconds.
	ByClass map[string]ClassTally `json:"by_class"`
}

// ClassTally counts the requests of one class.
type ClassTally struct {
	Requests     int     `json:"requests"`
	Complete     int     `json:"complete"`
	FirstTokenMs float64 `json:"first_token_ms"`
}

// Sound reports whether no answer was wrong, lost or doubled.
func (tally Tally) Sound() bool { return tally.Wrong == 0 && tally.Lost == 0 && tally.Duplicated == 0 }

// kind is a sort of request in the demo's mix.
type kind struct {
	class  string
	model  string
	tokens int
	// share is the kind's part of the requests.
	share float64
}

func mix() []kind {
	return []kind{
		{ClassQuestion, ModelSketch, 20, 0.5},
		{ClassReport, ModelSketch, 60, 0.25},
		{ClassAnnotation, ModelLedger, 200, 0.1},
		{ClassEntry, "", 0, 0.15},
	}
}

// Traffic sends mixed requests to an environment and checks each answer.
type Traffic struct {
	world  *World
	rate   float64
	random *rand.Rand
	client *http.Client

	mutex sync.Mutex
	tally Tally
	group sync.WaitGroup
}

// NewTraffic returns traffic at a mean rate of requests a second.
func NewTraffic(world *World, rate float64) *Traffic {
	return &Traffic{
		world: world, rate: rate, random: rand.New(rand.NewPCG(world.Options.Seed, 7)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		tally:  Tally{ByClass: make(map[string]ClassTally)},
	}
}

// Run sends requests until the context ends and waits for their answers. It
// may be called once.
func (traffic *Traffic) Run(ctx context.Context) Tally {
	for number := 0; ctx.Err() == nil; number++ {
		chosen := traffic.choose()
		node := traffic.world.Nodes[traffic.random.IntN(len(traffic.world.Nodes))]
		traffic.group.Go(func() { traffic.send(node.URL(), chosen, number) })
		gap := traffic.random.ExpFloat64() / traffic.rate
		timer := time.NewTimer(time.Duration(gap * float64(time.Second)))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
	traffic.group.Wait()
	for _, run := range traffic.world.Archive.Runs() {
		if run.Count > 1 {
			traffic.tally.Duplicated += run.Count - 1
		}
	}
	return traffic.Tally()
}

// Tally returns the counts so far.
func (traffic *Traffic) Tally() Tally {
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	counted := traffic.tally
	counted.ByClass = make(map[string]ClassTally, len(traffic.tally.ByClass))
	for name, class := range traffic.tally.ByClass {
		counted.ByClass[name] = class
	}
	return counted
}

func (traffic *Traffic) choose() kind {
	kinds := mix()
	draw := traffic.random.Float64()
	for _, kind := range kinds {
		if draw < kind.share {
			return kind
		}
		draw -= kind.share
	}
	return kinds[0]
}

// verdict is what became of one request.
type verdict struct {
	complete, notRun, unknown, wrong bool
	first                            time.Duration
}

func (traffic *Traffic) send(url string, kind kind, number int) {
	var result verdict
	if kind.model == "" {
		result = traffic.file(url, number)
	} else {
		result = traffic.ask(url, kind, number)
	}
	traffic.mutex.Lock()
	defer traffic.mutex.Unlock()
	tally := &traffic.tally
	tally.Requests++
	class := tally.ByClass[kind.class]
	class.Requests++
	switch {
	case result.complete:
		tally.Complete++
		class.Complete++
		class.FirstTokenMs += (float64(result.first.Milliseconds()) - class.FirstTokenMs) / float64(class.Complete)
	case result.notRun:
		tally.NotRun++
	case result.unknown:
		tally.Unknown++
	case result.wrong:
		tally.Wrong++
	default:
		tally.Lost++
	}
	tally.ByClass[kind.class] = class
}

func (traffic *Traffic) request(method, url, class string, body []byte) (*http.Response, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+CallerKey+WorkspaceSchools)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Primrose-Class", class)
	if class == ClassEntry {
		request.Header.Set("Idempotency-Key", string(body))
	}
	return traffic.client.Do(request)
}

// ask sends a streamed chat request and compares the answer with the one that
// the stand-in engines give to it.
func (traffic *Traffic) ask(url string, kind kind, number int) verdict {
	body, _ := json.Marshal(map[string]any{
		"model": kind.model, "stream": true, "max_tokens": kind.tokens,
		"messages": []map[string]string{{"role": "user", "content": fmt.Sprintf("%s number %d", kind.class, number)}},
	})
	want, _, err := engine.Answer(body)
	if err != nil {
		return verdict{}
	}
	started := time.Now()
	response, err := traffic.request(http.MethodPost, url+"/v1/chat/completions", kind.class, body)
	if err != nil {
		return verdict{}
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusal(response.Body)
	}
	text, first, last := readStream(response.Body)
	switch {
	case last == streamDone && text == want:
		return verdict{complete: true, first: first.Sub(started)}
	case last == streamFailed && strings.HasPrefix(want, text):
		return verdict{unknown: true}
	case last == streamCut:
		return verdict{}
	}
	return verdict{wrong: true}
}

// ending is how a stream ended.
type ending int

const (
	streamCut ending = iota
	streamDone
	streamFailed
)

func readStream(body io.Reader) (string, time.Time, ending) {
	var text strings.Builder
	var first time.Time
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return text.String(), first, streamCut
		}
		if event.Data == "[DONE]" {
			return text.String(), first, streamDone
		}
		var part struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error json.RawMessage `json:"error"`
		}
		if json.Unmarshal([]byte(event.Data), &part) != nil {
			return text.String(), first, streamCut
		}
		if len(part.Error) > 0 {
			return text.String(), first, streamFailed
		}
		for _, choice := range part.Choices {
			if choice.Delta.Content != "" && first.IsZero() {
				first = time.Now()
			}
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String(), first, streamCut
}

// file makes an archive entry, twice with the same key: the second call must
// get the first one's answer.
func (traffic *Traffic) file(url string, number int) verdict {
	body, _ := json.Marshal(map[string]int{"entry": number})
	started := time.Now()
	var answers []string
	for range 2 {
		response, err := traffic.request(http.MethodPost, url+"/v1/services/"+ServiceArchive+"/entries", ClassEntry, body)
		if err != nil {
			return verdict{}
		}
		answer, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return verdict{}
		}
		if response.StatusCode != http.StatusOK {
			return refusal(bytes.NewReader(answer))
		}
		answers = append(answers, string(answer))
	}
	if answers[0] != answers[1] {
		return verdict{wrong: true}
	}
	return verdict{complete: true, first: time.Since(started)}
}

// refusal reads an error that the router gave before an answer.
func refusal(body io.Reader) verdict {
	var problem struct {
		Error struct {
			Run string `json:"run"`
		} `json:"error"`
	}
	if json.NewDecoder(body).Decode(&problem) != nil || problem.Error.Run == "" {
		return verdict{}
	}
	if problem.Error.Run == "not_run" {
		return verdict{notRun: true}
	}
	return verdict{unknown: true}
}
