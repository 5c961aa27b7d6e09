// Package discovery follows what the platform publishes, the operators'
// configuration and the backend servers, and knows how fresh it is.
//
// A process may act on a key only while it can prove that its configuration is
// the newest. The proof is as old as the request whose answer gave it, on a
// clock that counts suspension.
package discovery
