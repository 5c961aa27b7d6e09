// Package harness is a discrete-event queueing simulation in virtual time that
// compares routing and admission policies on the same seeded arrivals. It
// models slots, prefix caches, delayed reports and callers with timeouts, and
// nothing else of a cluster.
package harness
