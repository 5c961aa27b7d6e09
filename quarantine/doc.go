// Package quarantine holds requests back that have something in common with requests
// under which backend servers crashed.
//
// A Trait is what requests may have in common: a part of their prompts, or the whole
// request. A process strikes the traits of a request that had no answer yet when its
// server crashed. Once a trait has enough strikes, see suspect.held, the requests with it
// are held: they are refused until the end of a hold that grows with each strike, and
// then one at a time is admitted as a probe. A completed answer clears the traits of
// its request.
//
// Processes exchange what they know as Suspicions, which may be merged in any order and
// more than once. A process that starts is told by the others. If none of them knows of
// the time before, because all were killed together, a whole request is held from its
// first strike on: what it did before may have been forgotten.
// The package does no I/O and reads no clock.
package quarantine
