package heads

import (
	"context"
	"slices"

	"primrosegw/core/event"
	"primrosegw/core/fault"
)

// reinstateOperator is the operator in the history of heads that a host wrote again.
const reinstateOperator = "primrosegw"

/*
Reinstate writes heads that a host has applied again, if the store lacks them because it was
restored from a copy. It reports whether it wrote anything.

If the store holds an older generation, it gets the applied one. If it holds another change of
the same generation, which an operator made after the restoration, that change gets a new
generation, so that the hosts apply it. Lots that were recalled by either stay so. Document is
the production document, nil if it is not known. It fails with Conflict after a concurrent
write, Unavailable, Unsettled or Invalid.
*/
func (client *Client) Reinstate(ctx context.Context, applied Heads, document []byte) (bool, error) {
	const op = "heads.reinstate"
	stored, revision, err := client.Status(ctx)
	if err != nil || !stored.Lacks(applied) {
		return false, err
	}
	if digest := applied.Production.Digest; digest != "" && Digest(document) == digest {
		if err := client.storeDocument(ctx, Document{Data: document, Digest: digest}); err != nil {
			return false, err
		}
	}
	change := client.newChange(operation{operator: reinstateOperator, reason: "the store was restored from a copy"})
	result, err := client.compareAndSwap(ctx, stored.reinstated(applied, change), revision)
	if err != nil {
		return false, fault.Wrap(op, fault.KindOf[Kind](err), err)
	}
	client.logChange(event.HeadsReinstated(), result)
	return true, nil
}

// Lacks reports whether heads that a host has applied are missing in the stored ones.
func (heads Heads) Lacks(applied Heads) bool {
	if heads.Generation != applied.Generation {
		return heads.Generation < applied.Generation
	}
	return heads.Production.Digest != applied.Production.Digest || len(heads.missingLots(applied)) > 0
}

// missingLots returns the lots that are recalled in other heads only.
func (heads Heads) missingLots(other Heads) []RecalledLot {
	return slices.DeleteFunc(slices.Clone(other.RecalledLots), func(lot RecalledLot) bool {
		return slices.ContainsFunc(heads.RecalledLots, func(known RecalledLot) bool { return known.Lot == lot.Lot })
	})
}

// reinstated returns the stored heads with what is missing of the applied ones.
func (heads Heads) reinstated(applied Heads, change Change) Heads {
	next := heads
	change.Action = ActionReinstate
	if heads.Generation < applied.Generation {
		next.Generation, next.Sequence, next.Production = applied.Generation, max(heads.Sequence, applied.Sequence), applied.Production
		change.Digest, change.Lot = applied.Production.Digest, applied.Production.Lot
		next = next.withChange(change)
	} else {
		change.Digest, change.Lot = heads.Production.Digest, heads.Production.Lot
		next = next.withNewGeneration(change)
	}
	next.RecalledLots = append(next.RecalledLots, heads.missingLots(applied)...)
	if trial := next.Trial; trial != nil && next.recallIndex(trial.Lot, trial.ComponentLots) >= 0 {
		next.Trial = nil
	}
	isRecalled := func(entry AcceptedDocument) bool { return next.recallIndex(entry.Lot, entry.ComponentLots) >= 0 }
	next.Accepted = slices.DeleteFunc(next.Accepted, func(entry AcceptedDocument) bool {
		return entry.Digest == next.Production.Digest || isRecalled(entry)
	})
	switch {
	case !isRecalled(next.Production) && next.Production.Digest != "":
		next.Accepted = append(next.Accepted, next.Production)
		next.Accepted = next.Accepted[max(0, len(next.Accepted)-maximumAccepted):]
	case len(next.Accepted) > 0:
		next.Production = next.Accepted[len(next.Accepted)-1]
	default:
		next.Production = AcceptedDocument{}
	}
	return next
}
