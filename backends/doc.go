// Package backends keeps what is known of the backend servers: who is
// published, which groups of ranks are open, how loaded each server is and what
// requests showed of its health. It chooses the server for a request.
//
// A group of ranks runs in lock-step, so it fails as one: evidence against a
// rank takes its whole group out of choice.
package backends
