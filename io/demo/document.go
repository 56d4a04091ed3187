package demo

import "primrosegw/core/spec"

// The demo's pools, classes and service.
const (
	PoolSketch  = "sketch"
	ModelSketch = "sketch-model"
	PoolLedger  = "observatory"
	ModelLedger = "observatory-ledger"

	ClassReport     = "report"
	ClassQuestion   = "question"
	ClassEntry      = "archive-entry"
	ClassAnnotation = "annotation"

	ServiceArchive = "archive"

	WorkspaceObservatory = "observatory"
	WorkspaceSchools     = "schools"
)

// document is the demo's document without its backend servers.
func (world *World) document(archive string) spec.Document {
	classes := []string{ClassReport, ClassQuestion, ClassEntry, ClassAnnotation}
	return spec.Document{
		Environment: "demo",
		Lot:         "demo-1",
		Regions:     []spec.Region{{Name: "demo-region", FailureDomains: world.Options.FailureDomains}},
		Classes: []spec.Class{
			{
				Name: ClassReport, Tier: 1, FirstTokenMs: 530, BetweenTokensMs: 56, DeadlineMs: 30_000,
				Idempotent: true, Priority: 60, MinimumShare: 0.2,
			},
			{
				Name: ClassQuestion, Tier: 2, FirstTokenMs: 530, BetweenTokensMs: 56, DeadlineMs: 20_000,
				Idempotent: true, Priority: 50, MinimumShare: 0.1,
			},
			{
				Name: ClassEntry, Tier: 2, FirstTokenMs: 1_000, BetweenTokensMs: 56, DeadlineMs: 15_000,
				Idempotent: false, Priority: 50, MinimumShare: 0.1,
			},
			{
				Name: ClassAnnotation, Tier: 6, FirstTokenMs: 5_000, BetweenTokensMs: 200, DeadlineMs: 120_000,
				Idempotent: true, Priority: 10, MinimumShare: 0.1,
			},
		},
		Workspaces: []spec.Workspace{
			{
				Name: WorkspaceObservatory, Classes: classes, DefaultClass: ClassQuestion, Weight: 2,
				Keys: []spec.Key{{Name: "demo", SHA256: hash(CallerKey + WorkspaceObservatory)}},
			},
			{
				Name: WorkspaceSchools, Classes: classes, DefaultClass: ClassQuestion, Weight: 1,
				Keys: []spec.Key{{Name: "demo", SHA256: hash(CallerKey + WorkspaceSchools)}},
			},
		},
		Pools: []spec.Pool{
			{Name: PoolSketch, Model: ModelSketch, Versions: []spec.Version{{Name: "v1", Lot: "weights-1"}}},
			{Name: PoolLedger, Model: ModelLedger, Versions: []spec.Version{{Name: "v1", Lot: "weights-2"}}},
		},
		Services: []spec.Service{{
			Name: ServiceArchive, Class: ClassEntry, URLs: []string{archive},
			RepeatableMethods: []string{"GET", "HEAD"}, TimeoutMs: 5_000,
		}},
		Limits:    spec.Limits{EntryTTLSecond: 1},
		Operators: []spec.Operator{{Name: "demo", Keys: []spec.Key{{Name: "demo", SHA256: hash(OperatorKey)}}}},
	}
}
