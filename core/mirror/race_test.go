//go:build race

package mirror_test

// largestFleet limits the hosts of a test: with more, the race detector's own bookkeeping fails
// in some runs ("CHECK failed: tsan_rtl.cpp").
const largestFleet = 8
