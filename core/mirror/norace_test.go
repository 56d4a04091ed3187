//go:build !race

package mirror_test

// largestFleet limits the hosts of a test.
const largestFleet = 195
