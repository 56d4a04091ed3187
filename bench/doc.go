// Package bench measures the router against baselines under a paused clock.
// The measures, their workloads and their bounds are those of docs/design.md,
// section 7; docs/measures.md holds the figures. All code is in test files,
// because testing/synctest pauses the clock.
package bench
