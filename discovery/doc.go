// Package discovery keeps a local copy of what the platform publishes, the
// operators' configuration and the list of backend servers, and tracks how
// fresh that copy is.
//
// A process may accept a key, which identifies the organisation of a caller, only
// while it can prove that its configuration is the newest. The response of the
// source, or the reply of a peer that has such a proof, is a proof. Its age counts
// from the moment at which the request was sent, and the age of the peer's proof is
// added to it. The clock that measures the age also counts the time for which the
// machine was suspended.
package discovery
