// Package ratelimit keeps the requests that all gateways together send to a backend server
// within the limit that the server states, without shared storage.
//
// Some gateways, the senders of the server, take equal shares of its limit: each sends at
// most one request in an interval. All gateways derive the senders in the same way from the
// gateways and the servers that they know. They exchange what servers state as Statements,
// which may be merged in any order and more than once.
//
// The package does no I/O and reads no clock.
package ratelimit
