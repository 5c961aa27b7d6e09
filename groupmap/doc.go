// Package groupmap keeps the expert map of a group of ranks in step with the
// popularity of its experts, on engines where the replicas of an expert share
// its tokens evenly and a rank is told the pass at which it switches.
//
// Plan chooses the next map, Switch puts it in force at all ranks at the same
// pass. Both are pure: time and what is known are passed in.
// docs/design/platform.md has the argument why no pass runs on two maps.
package groupmap
