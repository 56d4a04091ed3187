package ending

import (
	"sync"
	"time"
)

const (
	// UnnamedPause is how long a question is not asked again that did not name the process: servers
	// that can't answer it rarely learn it while they run.
	UnnamedPause = 30 * time.Second
	// NoAnswerPause is how long a question is not asked again that had no answer maxNoAnswers times
	// in a row, as each one costs the caller TimeLimit.
	NoAnswerPause = 5 * time.Second
	maxNoAnswers  = 3
	// maxSilent limits the number of questions that are remembered.
	maxSilent = 4096
)

// Silent remembers which questions to which processes are in vain. It is safe for concurrent use.
type Silent struct {
	mutex     sync.Mutex
	questions map[string]silence
}

// silence is what is known about a question.
type silence struct {
	noAnswers int
	until     time.Time
}

// NewSilent returns a Silent without any questions.
func NewSilent() *Silent { return &Silent{questions: map[string]silence{}} }

// MayAsk reports whether a question may be asked. After a pause it may be asked once, until its
// outcome is recorded or another pause has passed.
func (silent *Silent) MayAsk(question string, now time.Time) bool {
	silent.mutex.Lock()
	defer silent.mutex.Unlock()
	known, found := silent.questions[question]
	switch {
	case !found || known.until.IsZero():
		return true
	case now.Before(known.until):
		return false
	}
	known.until = now.Add(NoAnswerPause)
	silent.questions[question] = known
	return true
}

// Record records what came of a question.
func (silent *Silent) Record(question string, outcome Outcome, now time.Time) {
	silent.mutex.Lock()
	defer silent.mutex.Unlock()
	known := silent.questions[question]
	switch outcome {
	case Unnamed:
		known = silence{until: now.Add(UnnamedPause)}
	case NoAnswer:
		if known.noAnswers++; known.noAnswers >= maxNoAnswers {
			known.until = now.Add(NoAnswerPause)
		}
	case Registered, SameID, OtherProcess, Refused:
		delete(silent.questions, question)
		return
	default:
		return
	}
	if _, found := silent.questions[question]; !found && len(silent.questions) >= maxSilent {
		silent.forget(now)
	}
	silent.questions[question] = known
}

// forget removes the questions whose pause has passed, and all if none has. The mutex is held.
func (silent *Silent) forget(now time.Time) {
	for question, known := range silent.questions {
		if !now.Before(known.until) {
			delete(silent.questions, question)
		}
	}
	if len(silent.questions) >= maxSilent {
		clear(silent.questions)
	}
}
