// Package mapswitch switches all ranks of a group to the same expert map at the
// same step, without a persistent store and without a fixed leader. An expert map
// assigns the experts of the model to the ranks. A step is one iteration of the
// model engine, which all ranks of the group run together.
//
// Every rank keeps a register with the label of the map in use, the last attempt
// that it accepted, and a hold. A hold stops the rank before a given step until
// the hold is confirmed. A leader polls all ranks, arms a hold on each of them on
// condition that its register has not changed since the poll, and confirms the
// holds only after all ranks have answered. Because orders are conditional on the
// register, a late order changes nothing, whichever leader sent it and whether or
// not the model engine checks fencing tokens. docs/design/mapswitch.md has the
// proof.
//
// Any agent, that is, any process that controls ranks, may lead at any time.
// Concurrent leaders may delay a switch, but the ranks still never use different
// maps in one step.
package mapswitch
