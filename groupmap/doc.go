// Package groupmap replaces the expert map of a group of ranks as the
// popularity of its experts changes. It is for engines that split the tokens of
// an expert evenly among its replicas and that switch to a new map at a given
// pass.
//
// Plan computes the next map. Switch makes all ranks change to it at the same
// pass: it holds the group before that pass, arms every rank for it, and
// releases the pass only once all ranks are armed, so that no pass runs on two
// maps. Both are deterministic and do no I/O: callers pass in the time and the
// state of the ranks. docs/design/platform.md has the full argument.
package groupmap
