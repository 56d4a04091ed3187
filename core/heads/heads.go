// Package heads records which document of an environment is in trial, which is
// in production, and which lots are recalled. The whole state is one value under
// one key of the key-value service, so that each change is a single
// compare-and-swap and only one of two concurrent changes succeeds.
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

// Kind classifies the errors of this package.
type Kind string

// The error kinds.
const (
	// Invalid: an argument or the stored value is invalid.
	Invalid Kind = "invalid"
	// Conflict: a concurrent change was written first; nothing was written.
	Conflict Kind = "conflict"
	// NotTried: the document is not the trial head or has no passing verdict.
	NotTried Kind = "not_tried"
	// Recalled: the document, or a version or adapter in it, belongs to a
	// recalled lot.
	Recalled Kind = "recalled"
	// Absent: there is no such document or environment.
	Absent Kind = "absent"
	// Unavailable: the key-value service is unavailable, or concurrent writes
	// used up all attempts; the heads were not written.
	Unavailable Kind = "unavailable"
	// Unsettled: the reply to a write was lost, and its outcome could not be
	// determined before the deadline; Settle can determine it later.
	Unsettled Kind = "unsettled"
	// Full: the maximum number of recalled lots is reached.
	Full Kind = "full"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Limits that keep the stored value under the 1 MB limit of the key-value
// service, even with the longest names: 1,000 recalled lots of 430 bytes each, and
// 33 documents with 100 component lots of 64 bytes each.
const (
	maximumHistory       = 100
	maximumAccepted      = 32
	maximumRecalledLots  = 1000
	maximumComponentLots = 100
	// maximumTextBytes limits a reason, and the name and detail of a check.
	maximumTextBytes = 200
	// maximumNameBytes limits operator and lot names.
	maximumNameBytes = 64
	maximumChecks    = 50
)

// Action is the type of a change.
type Action string

// The actions.
const (
	ActionTrial   Action = "trial"
	ActionVerdict Action = "verdict"
	ActionPromote Action = "promote"
	ActionRecall  Action = "recall"
	// ActionReinstate: a host wrote again what a restored store lacked.
	ActionReinstate Action = "reinstate"
)

// Heads is the state of an environment's documents.
type Heads struct {
	Environment string `json:"environment" cbor:"environment"`
	// Generation is incremented by each promotion and recall.
	Generation uint64 `json:"generation" cbor:"generation"`
	// Sequence is incremented by each write of the value.
	Sequence uint64 `json:"sequence" cbor:"sequence"`
	// Production is the document in force. It is empty before the first
	// promotion and after a recall that left no accepted document; hosts then
	// serve no requests for the environment.
	Production AcceptedDocument `json:"production" cbor:"production"`
	Trial      *Trial           `json:"trial,omitempty" cbor:"trial,omitempty"`
	// Accepted are the documents that a recall can fall back to, in order of
	// promotion. The production document is one of them.
	Accepted []AcceptedDocument `json:"accepted,omitempty" cbor:"accepted,omitempty"`
	// RecalledLots are all recalled lots. Hosts remove the model versions and
	// adapters that belong to one of them.
	RecalledLots []RecalledLot `json:"withdrawn,omitempty" cbor:"withdrawn,omitempty"`
	// History holds the latest changes, oldest first.
	History []Change `json:"history,omitempty" cbor:"history,omitempty"`
}

// AcceptedDocument is a document that passed its trial and was promoted.
type AcceptedDocument struct {
	Digest string `json:"digest" cbor:"digest"`
	Lot    string `json:"lot" cbor:"lot"`
	// ComponentLots are the lots of the versions and adapters in the document.
	ComponentLots []string `json:"parts,omitempty" cbor:"parts,omitempty"`
	// Generation is the generation that the promotion created.
	Generation uint64 `json:"generation" cbor:"generation"`
}

// Trial is the document in trial.
type Trial struct {
	Digest        string   `json:"digest" cbor:"digest"`
	Lot           string   `json:"lot" cbor:"lot"`
	ComponentLots []string `json:"parts,omitempty" cbor:"parts,omitempty"`
	Operator      string   `json:"operator" cbor:"operator"`
	// Sequence is the sequence of the write that started the trial.
	Sequence uint64    `json:"sequence" cbor:"sequence"`
	At       time.Time `json:"at" cbor:"at"`
	Verdict  *Verdict  `json:"verdict,omitempty" cbor:"verdict,omitempty"`
}

// Verdict is the result of a trial.
type Verdict struct {
	Digest string  `json:"digest" cbor:"digest"`
	Checks []Check `json:"checks" cbor:"checks"`
	Replay Replay  `json:"replay" cbor:"replay"`
}

// Check is the result of one check of the document.
type Check struct {
	Name   string `json:"name" cbor:"name"`
	Passed bool   `json:"passed" cbor:"passed"`
	Detail string `json:"detail,omitempty" cbor:"detail,omitempty"`
}

// Replay compares recent routing decisions with those made under the document.
type Replay struct {
	Decisions int `json:"decisions" cbor:"decisions"`
	Changed   int `json:"changed" cbor:"changed"`
	// Lost counts the decisions for which the document leaves no backend server.
	Lost int `json:"lost" cbor:"lost"`
}

// Passes reports whether the verdict allows a promotion: there are checks, all
// of them passed, and every replayed decision still found a backend server.
func (verdict *Verdict) Passes() bool {
	if verdict == nil || len(verdict.Checks) == 0 || verdict.Replay.Lost > 0 {
		return false
	}
	return !slices.ContainsFunc(verdict.Checks, func(check Check) bool { return !check.Passed })
}

// RecalledLot records who recalled a lot, when and why.
type RecalledLot struct {
	Lot        string    `json:"lot" cbor:"lot"`
	Generation uint64    `json:"generation" cbor:"generation"`
	Operator   string    `json:"operator" cbor:"operator"`
	Reason     string    `json:"reason" cbor:"reason"`
	At         time.Time `json:"at" cbor:"at"`
}

// Change is the audit record of one change.
type Change struct {
	Sequence   uint64 `json:"sequence" cbor:"sequence"`
	Generation uint64 `json:"generation" cbor:"generation"`
	Action     Action `json:"action" cbor:"action"`
	// Digest identifies the document of the change; for a recall, the production
	// document after it.
	Digest   string    `json:"digest,omitempty" cbor:"digest,omitempty"`
	Lot      string    `json:"lot,omitempty" cbor:"lot,omitempty"`
	Operator string    `json:"operator" cbor:"operator"`
	Reason   string    `json:"reason" cbor:"reason"`
	At       time.Time `json:"at" cbor:"at"`
	// Token identifies the write, so that its writer can find it in the history
	// after a lost reply.
	Token string `json:"token" cbor:"token"`
}

// Document is a stored document with the metadata that is recorded in the heads.
type Document struct {
	// Data is the document as it is stored.
	Data []byte
	// Digest is the SHA-256 of Data in lower-case hexadecimal digits.
	Digest string
	Lot    string
	// ComponentLots are the lots of the model versions and adapters.
	ComponentLots []string
}

// Digest returns the digest under which data is stored.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// NewDocument returns the metadata of a parsed document, given its stored form.
func NewDocument(parsed spec.Document, data []byte) Document {
	var componentLots []string
	for _, pool := range parsed.Pools {
		for _, version := range pool.Versions {
			componentLots = append(componentLots, version.Lot)
		}
		for _, adapter := range pool.Adapters {
			componentLots = append(componentLots, adapter.Lot)
		}
	}
	slices.Sort(componentLots)
	componentLots = slices.DeleteFunc(slices.Compact(componentLots), func(lot string) bool { return lot == "" })
	return Document{Data: data, Digest: Digest(data), Lot: parsed.Lot, ComponentLots: componentLots}
}

// Parse reads a stored value. It fails with Invalid.
func Parse(data []byte) (Heads, error) {
	var heads Heads
	if err := json.Unmarshal(data, &heads, json.RejectUnknownMembers(true)); err != nil {
		return Heads{}, fault.Wrap("heads.parse", Invalid, err)
	}
	return heads, nil
}

// Encode returns the JSON encoding, which is the stored form. It fails with
// Invalid.
func (heads Heads) Encode() ([]byte, error) {
	data, err := json.Marshal(heads, json.Deterministic(true))
	if err != nil {
		return nil, fault.Wrap("heads.encode", Invalid, err)
	}
	return data, nil
}

// LastChange returns the latest change, or the zero value if there is none.
func (heads Heads) LastChange() Change {
	if len(heads.History) == 0 {
		return Change{}
	}
	return heads.History[len(heads.History)-1]
}

// IsRecalled reports whether a lot is recalled.
func (heads Heads) IsRecalled(lot string) bool {
	return lot != "" && slices.ContainsFunc(heads.RecalledLots, func(entry RecalledLot) bool { return entry.Lot == lot })
}

// RemoveRecalled returns a copy of a document without the model versions and
// adapters of recalled lots. Hosts apply the result.
func (heads Heads) RemoveRecalled(document spec.Document) spec.Document {
	pools := slices.Clone(document.Pools)
	for i := range pools {
		pools[i].Versions = slices.DeleteFunc(slices.Clone(pools[i].Versions), func(version spec.Version) bool {
			return heads.IsRecalled(version.Lot)
		})
		pools[i].Adapters = slices.DeleteFunc(slices.Clone(pools[i].Adapters), func(adapter spec.Adapter) bool {
			return heads.IsRecalled(adapter.Lot)
		})
	}
	document.Pools = pools
	return document
}

// HostView returns the part of the heads that hosts need to apply them: without
// the trial, the accepted documents and the history.
func (heads Heads) HostView() Heads {
	return Heads{
		Environment: heads.Environment, Generation: heads.Generation, Sequence: heads.Sequence,
		Production: heads.Production, RecalledLots: heads.RecalledLots,
	}
}
