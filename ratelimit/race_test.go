//go:build race

package ratelimit

// coldFleets is the number of fleets that TestColdServersAreNotOverrun draws unless told
// otherwise. Each is played by one goroutine, so the race detector needs few of them.
const coldFleets = 200
