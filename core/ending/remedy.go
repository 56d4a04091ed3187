package ending

// Remedy is what becomes of a request whose response is not whole.
type Remedy string

// The remedies. Attempts, deadline and retry budget limit the first two.
const (
	// Resume: another server of its version goes on after the last event.
	Resume Remedy = "resume"
	// Repeat: the request runs again.
	Repeat Remedy = "repeat"
	// Refuse: the caller gets an error of the host, as nothing has been sent to it.
	Refuse Remedy = "refuse"
	// BreakOff: the connection to the caller ends without a last chunk.
	BreakOff Remedy = "break_off"
)

// Progress is what decides the remedy for a request.
type Progress struct {
	// Delivered: the caller has a part of the response.
	Delivered bool
	// Resumable: the route allows that another server goes on with a stream.
	Resumable bool
	// Provable: it can be checked that a server goes on after the last event.
	Provable bool
	// Repeatable: the route allows that the request runs more than once.
	Repeatable bool
}

// Remedy returns what becomes of the request.
func (progress Progress) Remedy() Remedy {
	switch {
	case progress.Delivered && progress.Resumable && progress.Provable:
		return Resume
	case progress.Delivered:
		return BreakOff
	case progress.Repeatable:
		return Repeat
	}
	return Refuse
}
