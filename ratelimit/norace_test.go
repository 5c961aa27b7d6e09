//go:build !race

package ratelimit

// coldFleets is the number of fleets that TestColdServersAreNotOverrun draws unless told
// otherwise.
const coldFleets = 2000
