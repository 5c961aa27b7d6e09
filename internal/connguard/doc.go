// Package connguard bounds what the connections of strangers make a process hold: their number,
// which is also that of their descriptors, and the memory of the headers that they send.
//
// A connection that is over a bound is refused, or takes the place of one that waits without use:
// first of one that has no whole header yet, then of one without a request, then of one whose body
// or reader is slow. A caller that sends its requests promptly notices nothing.
package connguard
