// Package discovery keeps a local copy of what the platform publishes, the
// operators' configuration and the list of backend servers, and tracks how
// fresh that copy is.
//
// A process may accept a key only while it can prove that its configuration is
// the newest. The proof dates from the moment at which the request whose
// response gave it was sent. Its age is measured with a clock that also counts
// the time for which the machine was suspended.
package discovery
