package heads

import (
	"fmt"
	"slices"
	"time"

	"primrosegw/core/fault"
)

// Try returns the heads with a document in trial. A trial that is under way is
// replaced. It fails with Recalled or Invalid.
func (heads Heads) Try(document Document, change Change) (Heads, error) {
	const op = "heads.try"
	if document.Lot == "" || len(document.Lot) > nameLimit {
		return heads, fault.Field(op, Invalid, "lot", "is empty or longer than 64 bytes")
	}
	if len(document.Parts) > partLimit {
		return heads, fault.Field(op, Invalid, "pools", "hold more than 100 lots")
	}
	if err := heads.refuseWithdrawn(op, document.Lot, document.Parts); err != nil {
		return heads, err
	}
	change.Action, change.Digest, change.Lot = Tried, document.Digest, document.Lot
	next := heads.follow(change)
	next.Trial = &Trial{
		Digest: document.Digest, Lot: document.Lot, Parts: document.Parts,
		Operator: change.Operator, Sequence: next.Sequence, At: change.At,
	}
	return next, nil
}

// Judge returns the heads with the verdict of the trial. It fails with NotTried
// if the verdict is about another document, or Invalid.
func (heads Heads) Judge(verdict Verdict, change Change) (Heads, error) {
	const op = "heads.judge"
	if len(verdict.Checks) > checkLimit {
		return heads, fault.Field(op, Invalid, "checks", "are more than 50")
	}
	if heads.Trial == nil || heads.Trial.Digest != verdict.Digest {
		return heads, heads.notTried(op, verdict.Digest, "is not the trial head")
	}
	verdict.Checks = slices.Clone(verdict.Checks)
	for i := range verdict.Checks {
		verdict.Checks[i].Name = clip(verdict.Checks[i].Name)
		verdict.Checks[i].Detail = clip(verdict.Checks[i].Detail)
	}
	change.Action, change.Digest, change.Lot = Judged, verdict.Digest, heads.Trial.Lot
	next := heads.follow(change)
	trial := *heads.Trial
	trial.Verdict = &verdict
	next.Trial = &trial
	return next, nil
}

// Promote returns the heads with the trial's document in production, as a new
// generation. It fails with NotTried or Recalled.
func (heads Heads) Promote(digest string, change Change) (Heads, error) {
	const op = "heads.promote"
	trial := heads.Trial
	if trial == nil || trial.Digest != digest {
		return heads, heads.notTried(op, digest, "is not the trial head")
	}
	if !trial.Verdict.Passes() {
		return heads, heads.notTried(op, digest, "has no passing verdict")
	}
	if err := heads.refuseWithdrawn(op, trial.Lot, trial.Parts); err != nil {
		return heads, err
	}
	change.Action, change.Digest, change.Lot = Promoted, digest, trial.Lot
	next := heads.advance(change)
	next.Production = Accepted{Digest: digest, Lot: trial.Lot, Parts: trial.Parts, Generation: next.Generation}
	next.Trial = nil
	next.Accepted = slices.DeleteFunc(next.Accepted, func(entry Accepted) bool { return entry.Digest == digest })
	next.Accepted = append(next.Accepted, next.Production)
	next.Accepted = next.Accepted[max(0, len(next.Accepted)-acceptedLimit):]
	return next, nil
}

// Recall returns the heads without a lot, as a new generation. If the document
// in production is of the lot, the last accepted document outside all recalled
// lots takes its place; if there is none, production becomes empty, since a
// document that is known to be bad must not stay in force. If only versions or
// adapters are of the lot, the document stays and hosts drop them. It fails
// with Recalled if the lot is recalled already, Full, or Invalid.
func (heads Heads) Recall(lot string, change Change) (Heads, error) {
	const op = "heads.recall"
	if lot == "" || len(lot) > nameLimit {
		return heads, fault.Field(op, Invalid, "lot", "is empty or longer than 64 bytes")
	}
	if err := heads.refuseWithdrawn(op, lot, nil); err != nil {
		return heads, err
	}
	if len(heads.Withdrawn) >= recalledLimit {
		return heads, fault.New(op, Full, "1000 lots are recalled")
	}
	change.Action, change.Lot = Withdrew, lot
	next := heads.advance(change)
	next.Withdrawn = append(next.Withdrawn, Withdrawal{
		Lot: lot, Generation: next.Generation,
		Operator: change.Operator, Reason: clip(change.Reason), At: change.At,
	})
	next.Accepted = slices.DeleteFunc(next.Accepted, func(entry Accepted) bool { return entry.Lot == lot })
	if next.Production.Lot == lot {
		next.Production = Accepted{}
		if count := len(next.Accepted); count > 0 {
			next.Production = next.Accepted[count-1]
		}
	}
	if next.Trial != nil && (next.Trial.Lot == lot || slices.Contains(next.Trial.Parts, lot)) {
		next.Trial = nil
	}
	next.History[len(next.History)-1].Digest = next.Production.Digest
	return next, nil
}

// advance returns a copy with the change as a new generation.
func (heads Heads) advance(change Change) Heads {
	heads.Generation++
	return heads.follow(change)
}

// follow returns a copy with the change in its history.
func (heads Heads) follow(change Change) Heads {
	heads.Sequence++
	change.Sequence, change.Generation = heads.Sequence, heads.Generation
	change.Reason = clip(change.Reason)
	heads.Accepted = slices.Clone(heads.Accepted)
	heads.Withdrawn = slices.Clone(heads.Withdrawn)
	heads.History = append(slices.Clone(heads.History), change)
	heads.History = heads.History[max(0, len(heads.History)-historyLimit):]
	return heads
}

// refuseWithdrawn fails with Recalled if any of the lots is recalled.
func (heads Heads) refuseWithdrawn(op, lot string, parts []string) error {
	for _, entry := range heads.Withdrawn {
		if entry.Lot == lot || slices.Contains(parts, entry.Lot) {
			return fault.Field(op, Recalled, "lot", fmt.Sprintf("lot %q was recalled by %q at %s in generation %d: %s",
				entry.Lot, entry.Operator, entry.At.Format(time.RFC3339), entry.Generation, entry.Reason))
		}
	}
	return nil
}

// notTried returns the error of a document that may not be promoted.
func (heads Heads) notTried(op, digest, what string) error {
	detail := fmt.Sprintf("document %s %s", short(digest), what)
	if heads.Trial != nil && heads.Trial.Digest != digest {
		detail += fmt.Sprintf("; %q tries %s since %s",
			heads.Trial.Operator, short(heads.Trial.Digest), heads.Trial.At.Format(time.RFC3339))
	}
	return fault.Field(op, NotTried, "digest", detail)
}

// text returns a change in words: who, when, what and why.
func (change Change) text() string {
	what := fmt.Sprintf("%s of document %s", change.Action, short(change.Digest))
	if change.Action == Withdrew {
		what = fmt.Sprintf("recall of lot %q", change.Lot)
	}
	return fmt.Sprintf("%s by %q at %s, generation %d: %s",
		what, change.Operator, change.At.Format(time.RFC3339), change.Generation, change.Reason)
}

// short returns the head of a digest for messages.
func short(digest string) string { return digest[:min(12, len(digest))] }

// clip bounds a text.
func clip(text string) string {
	if len(text) <= textLimit {
		return text
	}
	end := textLimit
	for end > 0 && text[end]&0xC0 == 0x80 {
		// Doesn't cut inside a UTF-8 character.
		end--
	}
	return text[:end]
}
