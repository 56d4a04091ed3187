package heads

import (
	"fmt"
	"slices"
	"time"

	"primrosegw/core/fault"
)

// StartTrial returns the heads with a document in trial, in place of any current
// trial. It fails with Recalled or Invalid.
func (heads Heads) StartTrial(document Document, change Change) (Heads, error) {
	const op = "heads.try"
	if document.Lot == "" || len(document.Lot) > maximumNameBytes {
		return heads, fault.Field(op, Invalid, "lot", "is empty or longer than 64 bytes")
	}
	if len(document.ComponentLots) > maximumComponentLots {
		return heads, fault.Field(op, Invalid, "pools", "contain more than 100 lots")
	}
	if err := heads.checkNotRecalled(op, document.Lot, document.ComponentLots); err != nil {
		return heads, err
	}
	change.Action, change.Digest, change.Lot = ActionTrial, document.Digest, document.Lot
	next := heads.withChange(change)
	next.Trial = &Trial{
		Digest: document.Digest, Lot: document.Lot, ComponentLots: document.ComponentLots,
		Operator: change.Operator, Sequence: next.Sequence, At: change.At,
	}
	return next, nil
}

// RecordVerdict returns the heads with the verdict of the trial. It fails with
// NotTried if the verdict is for a document that is not in trial, or Invalid.
func (heads Heads) RecordVerdict(verdict Verdict, change Change) (Heads, error) {
	const op = "heads.judge"
	if len(verdict.Checks) > maximumChecks {
		return heads, fault.Field(op, Invalid, "checks", "contain more than 50 entries")
	}
	if heads.Trial == nil || heads.Trial.Digest != verdict.Digest {
		return heads, heads.notTriedError(op, verdict.Digest, "is not the trial head")
	}
	verdict.Checks = slices.Clone(verdict.Checks)
	for i := range verdict.Checks {
		verdict.Checks[i].Name = truncate(verdict.Checks[i].Name)
		verdict.Checks[i].Detail = truncate(verdict.Checks[i].Detail)
	}
	change.Action, change.Digest, change.Lot = ActionVerdict, verdict.Digest, heads.Trial.Lot
	next := heads.withChange(change)
	trial := *heads.Trial
	trial.Verdict = &verdict
	next.Trial = &trial
	return next, nil
}

// Promote returns the heads with the trial document in production, as a new
// generation. It fails with NotTried or Recalled.
func (heads Heads) Promote(digest string, change Change) (Heads, error) {
	const op = "heads.promote"
	trial := heads.Trial
	if trial == nil || trial.Digest != digest {
		return heads, heads.notTriedError(op, digest, "is not the trial head")
	}
	if !trial.Verdict.Passes() {
		return heads, heads.notTriedError(op, digest, "has no passing verdict")
	}
	if err := heads.checkNotRecalled(op, trial.Lot, trial.ComponentLots); err != nil {
		return heads, err
	}
	change.Action, change.Digest, change.Lot = ActionPromote, digest, trial.Lot
	next := heads.withNewGeneration(change)
	next.Production = AcceptedDocument{Digest: digest, Lot: trial.Lot, ComponentLots: trial.ComponentLots, Generation: next.Generation}
	next.Trial = nil
	next.Accepted = slices.DeleteFunc(next.Accepted, func(entry AcceptedDocument) bool { return entry.Digest == digest })
	next.Accepted = append(next.Accepted, next.Production)
	next.Accepted = next.Accepted[max(0, len(next.Accepted)-maximumAccepted):]
	return next, nil
}

// Recall returns the heads with a lot recalled, as a new generation. If the
// production document belongs to the lot, the latest accepted document that does
// not belong to a recalled lot replaces it. If there is none, production becomes
// empty, since a document that is known to be bad must not stay in force. If only
// versions or adapters belong to the lot, the document stays in production and
// hosts remove them from it. It fails with Recalled if the lot is already
// recalled, Full, or Invalid.
func (heads Heads) Recall(lot string, change Change) (Heads, error) {
	const op = "heads.recall"
	if lot == "" || len(lot) > maximumNameBytes {
		return heads, fault.Field(op, Invalid, "lot", "is empty or longer than 64 bytes")
	}
	if err := heads.checkNotRecalled(op, lot, nil); err != nil {
		return heads, err
	}
	if len(heads.RecalledLots) >= maximumRecalledLots {
		return heads, fault.New(op, Full, "the maximum of 1000 recalled lots is reached")
	}
	change.Action, change.Lot = ActionRecall, lot
	next := heads.withNewGeneration(change)
	next.RecalledLots = append(next.RecalledLots, RecalledLot{
		Lot: lot, Generation: next.Generation,
		Operator: change.Operator, Reason: truncate(change.Reason), At: change.At,
	})
	next.Accepted = slices.DeleteFunc(next.Accepted, func(entry AcceptedDocument) bool { return entry.Lot == lot })
	if next.Production.Lot == lot {
		next.Production = AcceptedDocument{}
		if count := len(next.Accepted); count > 0 {
			next.Production = next.Accepted[count-1]
		}
	}
	if next.Trial != nil && (next.Trial.Lot == lot || slices.Contains(next.Trial.ComponentLots, lot)) {
		next.Trial = nil
	}
	next.History[len(next.History)-1].Digest = next.Production.Digest
	return next, nil
}

// withNewGeneration returns a copy with the generation incremented and the change
// appended to the history.
func (heads Heads) withNewGeneration(change Change) Heads {
	heads.Generation++
	return heads.withChange(change)
}

// withChange returns a copy with the sequence incremented and the change appended
// to the history.
func (heads Heads) withChange(change Change) Heads {
	heads.Sequence++
	change.Sequence, change.Generation = heads.Sequence, heads.Generation
	change.Reason = truncate(change.Reason)
	heads.Accepted = slices.Clone(heads.Accepted)
	heads.RecalledLots = slices.Clone(heads.RecalledLots)
	heads.History = append(slices.Clone(heads.History), change)
	heads.History = heads.History[max(0, len(heads.History)-maximumHistory):]
	return heads
}

// checkNotRecalled fails with Recalled if the lot or one of the component lots is
// recalled.
func (heads Heads) checkNotRecalled(op, lot string, componentLots []string) error {
	index := heads.recallIndex(lot, componentLots)
	if index < 0 {
		return nil
	}
	entry := heads.RecalledLots[index]
	return fault.Field(op, Recalled, "lot", fmt.Sprintf("lot %q was recalled by %q at %s in generation %d: %s",
		entry.Lot, entry.Operator, entry.At.Format(time.RFC3339), entry.Generation, entry.Reason))
}

// recallIndex returns the index of the first recalled lot that is the lot or one of the
// component lots, -1 if there is none.
func (heads Heads) recallIndex(lot string, componentLots []string) int {
	return slices.IndexFunc(heads.RecalledLots, func(recalled RecalledLot) bool {
		return recalled.Lot == lot || slices.Contains(componentLots, recalled.Lot)
	})
}

// notTriedError returns a NotTried error, which also names the current trial if it
// is of another document.
func (heads Heads) notTriedError(op, digest, problem string) error {
	detail := fmt.Sprintf("document %s %s", shortDigest(digest), problem)
	if heads.Trial != nil && heads.Trial.Digest != digest {
		detail += fmt.Sprintf("; %q has had document %s in trial since %s",
			heads.Trial.Operator, shortDigest(heads.Trial.Digest), heads.Trial.At.Format(time.RFC3339))
	}
	return fault.Field(op, NotTried, "digest", detail)
}

// describe formats a change for error messages.
func (change Change) describe() string {
	what := fmt.Sprintf("%s of document %s", change.Action, shortDigest(change.Digest))
	if change.Action == ActionRecall {
		what = fmt.Sprintf("recall of lot %q", change.Lot)
	}
	return fmt.Sprintf("%s by %q at %s, generation %d: %s",
		what, change.Operator, change.At.Format(time.RFC3339), change.Generation, change.Reason)
}

// shortDigest returns the first 12 digits of a digest for messages.
func shortDigest(digest string) string { return digest[:min(12, len(digest))] }

// truncate cuts a text to at most maximumTextBytes.
func truncate(text string) string {
	if len(text) <= maximumTextBytes {
		return text
	}
	end := maximumTextBytes
	for end > 0 && text[end]&0xC0 == 0x80 {
		// Move back to the start of a UTF-8 sequence.
		end--
	}
	return text[:end]
}
