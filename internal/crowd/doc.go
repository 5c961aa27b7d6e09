// Package crowd plays callers that do not behave, for tests of processes that must bear them.
// A crowd sends to one address on many connections at once, and opens those anew that the
// process closes.
package crowd
