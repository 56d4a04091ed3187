//go:build !race

package bench_test

// raceEnabled says that the race detector is on.
const raceEnabled = false
