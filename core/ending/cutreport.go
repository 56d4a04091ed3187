package ending

// CutReport says that the connection of a response was closed in order before the response ended. The age
// holds when the report is made. An older build sends and reads the first three fields.
type CutReport struct {
	Service       string `cbor:"1,keyasint"`
	FailureDomain string `cbor:"2,keyasint"`
	AgeMs         int64  `cbor:"3,keyasint"`
	Plain         bool   `cbor:"4,keyasint,omitempty"`
	// Whole is how many framed responses have ended whole at the sender since the cut and its last report.
	Whole int `cbor:"5,keyasint,omitempty"`
	// Cleared: the cut counts no longer.
	Cleared bool `cbor:"6,keyasint,omitempty"`
	// ID names the cut; 0: an older build does not.
	ID uint32 `cbor:"7,keyasint,omitempty"`
	// ToCollector: only the hosts that collect are told.
	ToCollector bool `cbor:"8,keyasint,omitempty"`
}

func (report CutReport) place() Place {
	return Place{Service: report.Service, FailureDomain: report.FailureDomain, Plain: report.Plain}
}

// whole returns the number of whole responses that a report tells, within its bounds.
func (report CutReport) whole() int { return min(max(0, report.Whole), maxToldWhole) }
