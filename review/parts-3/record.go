package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// runOf is a run of a request at an engine.
type runOf struct {
	id, engine, service string
	tenant              string
	at                  time.Time
}

// record is what was sent, answered and run.
type record struct {
	mutex   sync.Mutex
	started time.Time
	file    *os.File
	runs    map[string][]runOf
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file, runs: map[string][]runOf{}}, nil
}

// note writes a line with the time since the start.
func (record *record) note(format string, values ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.write(time.Now(), fmt.Sprintf(format, values...))
}

// write writes a line. The mutex is held.
func (record *record) write(at time.Time, line string) {
	fmt.Fprintf(record.file, "%9.3f s  %s\n", at.Sub(record.started).Seconds(), line)
}

// run notes that an engine begins a request.
func (record *record) run(id string, engine *engine, request *http.Request) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	run := runOf{id: id, engine: engine.id, service: engine.service, tenant: request.Header.Get("Tenant"), at: time.Now()}
	record.runs[id] = append(record.runs[id], run)
	record.write(run.at, fmt.Sprintf("engine %s runs %s for tenant %q from event %q", engine.id, id, run.tenant, request.Header.Get("Last-Event-Id")))
}

// runsOf returns the runs of a request.
func (record *record) runsOf(id string) []runOf {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return record.runs[id]
}
