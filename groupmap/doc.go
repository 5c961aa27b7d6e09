// Package groupmap replaces the expert map of a group of ranks as the
// popularity of its experts changes. It is for engines that split the tokens of
// an expert evenly among its replicas and that switch to a new map at a given
// pass.
//
// A rank is one model server of the group. All ranks run the passes of the
// model together; passes are numbered, and fields named Step hold such a
// number. An epoch is one lifetime of the group, from when it opens until a
// failure closes it; the next one has a greater number. A rank that holds a
// pass stops the whole group before that pass. An armed rank switches to the
// map that it has prepared when the given pass begins.
//
// Plan computes the next map. Switch makes all ranks change to it at the same
// pass: it holds the group before that pass, arms every rank for it, and
// releases the pass only once all ranks are armed, so that no pass runs on two
// maps. Both are deterministic and do no I/O: callers pass in the time and the
// state of the ranks. docs/design/platform.md has the full argument.
package groupmap
