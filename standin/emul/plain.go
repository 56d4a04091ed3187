package emul

import (
	"time"

	"primrosegw/core/fleet"
)

// Plain describes the servers of a service without a model.
type Plain struct {
	// Slots is the number of requests that run at once, Queue of those that wait.
	Slots int `json:"slots"`
	Queue int `json:"queue"`
}

// plain is a server that runs requests of a given length.
type plain struct {
	machine
	model   Plain
	running []*task
	waiting []*task
}

func (plain *plain) submit(task *task) {
	switch {
	case plain.down:
		task.finish(broken)
	case len(plain.running) < plain.model.Slots:
		plain.begin(task)
	case len(plain.waiting) < plain.model.Queue:
		plain.waiting = append(plain.waiting, task)
	default:
		task.finish(declined)
	}
}

func (plain *plain) begin(task *task) {
	plain.running = append(plain.running, task)
	life := plain.life
	plain.clock.after(time.Duration(float64(task.work)*plain.slowness()), func() {
		if life != plain.life {
			return
		}
		plain.running = without(plain.running, task)
		task.finish(task.result())
		if len(plain.waiting) > 0 {
			next := plain.waiting[0]
			plain.waiting = plain.waiting[1:]
			plain.begin(next)
		}
	})
}

// result is how a plain request ends. Output 0 stands for a failure of the server.
func (task *task) result() outcome {
	switch {
	case task.loses:
		return broken
	case task.output == 0:
		return failed
	}
	return whole
}

func (plain *plain) cancel(task *task) {
	plain.waiting = without(plain.waiting, task)
}

func (plain *plain) crash() {
	plain.down = true
	plain.life++
	lost := append(plain.running, plain.waiting...)
	plain.waiting, plain.running = nil, nil
	for _, task := range lost {
		task.finish(broken)
	}
}

func (plain *plain) restart() { plain.down = false }

func (plain *plain) load() fleet.Load {
	return fleet.Load{
		Running: len(plain.running), Waiting: len(plain.waiting), Slots: plain.model.Slots,
		Slowness: plain.reportedSlowness(), ReportedAt: plain.clock.time(),
	}
}

func (plain *plain) truth() fleet.InFlight {
	return fleet.InFlight{Running: len(plain.running) + len(plain.waiting)}
}
