package daemon

import (
	"sync"
	"time"

	"primrosegw/core/cell"
)

// cells are the cells that this host runs: those it owns, and those that other
// hosts sent it work for at the last hop.
type cells struct {
	mutex sync.Mutex
	open  map[string]*cell.Cell
	// make builds a cell; it reports false for a name that the document in
	// force does not have.
	make func(name string) (*cell.Cell, bool)
}

func newCells(build func(name string) (*cell.Cell, bool)) *cells {
	return &cells{open: make(map[string]*cell.Cell), make: build}
}

// get returns a cell, made at its first use.
func (cells *cells) get(name string) (*cell.Cell, bool) {
	cells.mutex.Lock()
	defer cells.mutex.Unlock()
	if found, ok := cells.open[name]; ok {
		return found, true
	}
	built, ok := cells.make(name)
	if ok {
		cells.open[name] = built
	}
	return built, ok
}

// find returns a cell that is open.
func (cells *cells) find(name string) (*cell.Cell, bool) {
	cells.mutex.Lock()
	defer cells.mutex.Unlock()
	found, ok := cells.open[name]
	return found, ok
}

// review withdraws running copies of requests that have become suspects.
func (cells *cells) review() {
	cells.mutex.Lock()
	defer cells.mutex.Unlock()
	for _, open := range cells.open {
		open.WithdrawSuspects()
	}
}

// summary returns the load of a cell, and an empty summary for a cell that this
// host does not run.
func (cells *cells) summary(name string) cell.Summary {
	cells.mutex.Lock()
	found, ok := cells.open[name]
	cells.mutex.Unlock()
	if !ok {
		return cell.Summary{}
	}
	return found.Summary()
}

// summaries returns the load of all cells of this host.
func (cells *cells) summaries() []cell.Summary {
	cells.mutex.Lock()
	defer cells.mutex.Unlock()
	summaries := make([]cell.Summary, 0, len(cells.open))
	for _, open := range cells.open {
		summaries = append(summaries, open.Summary())
	}
	return summaries
}

// update gives each open cell its servers of a new document. A cell that the
// document no longer has, or that another host owns, is closed: what it queued
// goes back to its entry hosts and what it runs goes on to its end.
func (cells *cells) update(
	servers func(name string) ([]cell.Server, bool), owned func(name string) bool, shares map[string]float64,
) {
	cells.mutex.Lock()
	defer cells.mutex.Unlock()
	for name, open := range cells.open {
		listed, ok := servers(name)
		if ok && owned(name) {
			open.Update(listed)
			open.SetShares(shares)
			continue
		}
		open.Close()
		delete(cells.open, name)
	}
}

// loads are the summaries of cells that other hosts run, as last heard.
type loads struct {
	mutex sync.Mutex
	known map[string]load
}

type load struct {
	summary cell.Summary
	heard   time.Time
}

func newLoads() *loads { return &loads{known: make(map[string]load)} }

// record keeps a summary. Summaries are aged by this host's clock from the
// moment they were heard, as hosts' clocks may differ.
func (loads *loads) record(summary cell.Summary) {
	if summary.Cell == "" {
		return
	}
	loads.mutex.Lock()
	defer loads.mutex.Unlock()
	loads.known[summary.Cell] = load{summary: summary, heard: time.Now()}
}

// get returns the last summary of a cell and its age.
func (loads *loads) get(name string) (cell.Summary, time.Duration, bool) {
	loads.mutex.Lock()
	defer loads.mutex.Unlock()
	found, ok := loads.known[name]
	if !ok {
		return cell.Summary{}, 0, false
	}
	return found.summary, time.Since(found.heard), true
}
