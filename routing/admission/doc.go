// Package admission decides which requests get one of a backend server's batch
// slots, which wait for one and which are refused.
//
// An agent, the process in front of a model engine, puts one Gate in front of
// its engine. Organisations share the slots in proportion to their weights by
// start-time fair queueing, however many requests each of them sends. A request
// waits only while it can still meet its deadline. Otherwise it is refused
// immediately, with NotRun and the delay after which a retry should be accepted.
package admission
