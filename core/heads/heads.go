// Package heads holds which document of an environment is in trial, which is
// in production, and which lots are recalled. All of it is one value under one
// key of the key-value service, so that each change is one compare-and-swap
// and of two operators one wins.
package heads

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/go-json-experiment/json"

	"primrosegw/core/fault"
	"primrosegw/core/spec"
)

// Kind is the sort of a heads error.
type Kind string

// The kinds of errors.
const (
	// Invalid: an argument or the stored value is not usable.
	Invalid Kind = "invalid"
	// Conflict: another operator's change came first; nothing was written.
	Conflict Kind = "conflict"
	// NotTried: the document is not the trial head or has no passing verdict.
	NotTried Kind = "not_tried"
	// Recalled: the document, or a version in it, is of a recalled lot.
	Recalled Kind = "recalled"
	// Absent: there is no such document or environment.
	Absent Kind = "absent"
	// Unavailable: the key-value service is down; nothing was written.
	Unavailable Kind = "unavailable"
	// Unsettled: the reply of a write was lost and could not be read back in
	// time; Settle finds out later.
	Unsettled Kind = "unsettled"
	// Full: the value has no room for another recalled lot.
	Full Kind = "full"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Bounds of the stored value, which with the longest names allowed below
// stays under the 1 MB of the key-value service: 1,000 lots of 430 bytes, and 33
// documents with 100 lots of 64 bytes each.
const (
	historyLimit  = 100
	acceptedLimit = 32
	recalledLimit = 1000
	partLimit     = 100
	// textLimit bounds a reason or a verdict's detail, in bytes.
	textLimit = 200
	// nameLimit bounds operator and lot names, in bytes.
	nameLimit = 64
	// checkLimit bounds the checks kept of a verdict.
	checkLimit = 50
)

// Action is what a change did.
type Action string

// The actions.
const (
	Tried    Action = "trial"
	Judged   Action = "verdict"
	Promoted Action = "promote"
	Withdrew Action = "recall"
)

// Heads is the state of an environment's documents.
type Heads struct {
	Environment string `json:"environment" cbor:"environment"`
	// Generation rises by one with each promote and recall.
	Generation uint64 `json:"generation" cbor:"generation"`
	// Sequence rises by one with each write of the value.
	Sequence uint64 `json:"sequence" cbor:"sequence"`
	// Production is the document in force. It is empty before the first
	// promotion and after a recall that left no accepted document; hosts then
	// serve nothing of the environment.
	Production Accepted `json:"production" cbor:"production"`
	Trial      *Trial   `json:"trial,omitempty" cbor:"trial,omitempty"`
	// Accepted are the documents that were in production and may be again, the
	// latest last.
	Accepted []Accepted `json:"accepted,omitempty" cbor:"accepted,omitempty"`
	// Withdrawn are all recalled lots. Hosts drop the model versions and
	// adapters that are of one of them.
	Withdrawn []Withdrawal `json:"withdrawn,omitempty" cbor:"withdrawn,omitempty"`
	// History is the latest changes, the last one last.
	History []Change `json:"history,omitempty" cbor:"history,omitempty"`
}

// Accepted is a document that passed its trial.
type Accepted struct {
	Digest string `json:"digest" cbor:"digest"`
	Lot    string `json:"lot" cbor:"lot"`
	// Parts are the lots of the versions and adapters in the document.
	Parts []string `json:"parts,omitempty" cbor:"parts,omitempty"`
	// Generation is the one at which the document was promoted.
	Generation uint64 `json:"generation" cbor:"generation"`
}

// Trial is the document in trial.
type Trial struct {
	Digest   string   `json:"digest" cbor:"digest"`
	Lot      string   `json:"lot" cbor:"lot"`
	Parts    []string `json:"parts,omitempty" cbor:"parts,omitempty"`
	Operator string   `json:"operator" cbor:"operator"`
	// Sequence is that of the write that began the trial.
	Sequence uint64    `json:"sequence" cbor:"sequence"`
	At       time.Time `json:"at" cbor:"at"`
	Verdict  *Verdict  `json:"verdict,omitempty" cbor:"verdict,omitempty"`
}

// Verdict is the outcome of a trial.
type Verdict struct {
	Digest string  `json:"digest" cbor:"digest"`
	Checks []Check `json:"checks" cbor:"checks"`
	Replay Replay  `json:"replay" cbor:"replay"`
}

// Check is one test of the document.
type Check struct {
	Name   string `json:"name" cbor:"name"`
	Passed bool   `json:"passed" cbor:"passed"`
	Detail string `json:"detail,omitempty" cbor:"detail,omitempty"`
}

// Replay compares recent decisions with those the document would have made.
type Replay struct {
	Decisions int `json:"decisions" cbor:"decisions"`
	Changed   int `json:"changed" cbor:"changed"`
	// Lost counts decisions that the document leaves without a backend server.
	Lost int `json:"lost" cbor:"lost"`
}

// Passes reports whether the verdict allows a promotion: there are checks, all
// of them passed, and no replayed call was left without a server.
func (verdict *Verdict) Passes() bool {
	if verdict == nil || len(verdict.Checks) == 0 || verdict.Replay.Lost > 0 {
		return false
	}
	return !slices.ContainsFunc(verdict.Checks, func(check Check) bool { return !check.Passed })
}

// Withdrawal is a recalled lot.
type Withdrawal struct {
	Lot        string    `json:"lot" cbor:"lot"`
	Generation uint64    `json:"generation" cbor:"generation"`
	Operator   string    `json:"operator" cbor:"operator"`
	Reason     string    `json:"reason" cbor:"reason"`
	At         time.Time `json:"at" cbor:"at"`
}

// Change says who changed what, when and why.
type Change struct {
	Sequence   uint64 `json:"sequence" cbor:"sequence"`
	Generation uint64 `json:"generation" cbor:"generation"`
	Action     Action `json:"action" cbor:"action"`
	// Digest is the document the change was about; of a recall, the document
	// in force after it.
	Digest   string    `json:"digest,omitempty" cbor:"digest,omitempty"`
	Lot      string    `json:"lot,omitempty" cbor:"lot,omitempty"`
	Operator string    `json:"operator" cbor:"operator"`
	Reason   string    `json:"reason" cbor:"reason"`
	At       time.Time `json:"at" cbor:"at"`
	// Token identifies the write, so that its writer knows it again.
	Token string `json:"token" cbor:"token"`
}

// Document is a document with what the heads need to know of it.
type Document struct {
	// Data is the document as it is stored.
	Data []byte
	// Digest is the SHA-256 of Data in lower-case hexadecimal digits.
	Digest string
	Lot    string
	// Parts are the lots of the model versions and adapters.
	Parts []string
}

// Digest returns the digest under which data is stored.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Describe returns a parsed document with its stored form.
func Describe(parsed spec.Document, data []byte) Document {
	var parts []string
	for _, pool := range parsed.Pools {
		for _, version := range pool.Versions {
			parts = append(parts, version.Lot)
		}
		for _, adapter := range pool.Adapters {
			parts = append(parts, adapter.Lot)
		}
	}
	slices.Sort(parts)
	parts = slices.DeleteFunc(slices.Compact(parts), func(lot string) bool { return lot == "" })
	return Document{Data: data, Digest: Digest(data), Lot: parsed.Lot, Parts: parts}
}

// Parse reads a stored value. It fails with Invalid.
func Parse(data []byte) (Heads, error) {
	var heads Heads
	if err := json.Unmarshal(data, &heads, json.RejectUnknownMembers(true)); err != nil {
		return Heads{}, fault.Wrap("heads.parse", Invalid, err)
	}
	return heads, nil
}

// Encode returns the stored form. It fails with Invalid.
func (heads Heads) Encode() ([]byte, error) {
	data, err := json.Marshal(heads, json.Deterministic(true))
	if err != nil {
		return nil, fault.Wrap("heads.encode", Invalid, err)
	}
	return data, nil
}

// Last returns the latest change, the zero value if there is none.
func (heads Heads) Last() Change {
	if len(heads.History) == 0 {
		return Change{}
	}
	return heads.History[len(heads.History)-1]
}

// IsWithdrawn reports whether a lot is recalled.
func (heads Heads) IsWithdrawn(lot string) bool {
	return lot != "" && slices.ContainsFunc(heads.Withdrawn, func(entry Withdrawal) bool { return entry.Lot == lot })
}

// Strip returns a document without the model versions and adapters of recalled
// lots. Hosts put the result in force.
func (heads Heads) Strip(document spec.Document) spec.Document {
	pools := slices.Clone(document.Pools)
	for i := range pools {
		pools[i].Versions = slices.DeleteFunc(slices.Clone(pools[i].Versions), func(version spec.Version) bool {
			return heads.IsWithdrawn(version.Lot)
		})
		pools[i].Adapters = slices.DeleteFunc(slices.Clone(pools[i].Adapters), func(adapter spec.Adapter) bool {
			return heads.IsWithdrawn(adapter.Lot)
		})
	}
	document.Pools = pools
	return document
}

// Trim returns the part of the heads that hosts need to put them in force:
// without the trial, the accepted documents and the history.
func (heads Heads) Trim() Heads {
	return Heads{
		Environment: heads.Environment, Generation: heads.Generation, Sequence: heads.Sequence,
		Production: heads.Production, Withdrawn: heads.Withdrawn,
	}
}
