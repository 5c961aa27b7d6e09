// Package soak runs the daemons as separate processes on loopback, against
// stand-ins of the platform, and injects faults from outside: signals, proxies
// on the links to the store and to the backend servers, a store and servers that
// misbehave, and changes of the configuration. A seed fixes the schedule of
// faults. What callers and servers saw is checked against the promises of the
// gateways.
//
// Datagrams between the processes have no proxy, as processes announce their own
// addresses: there, only stopped and killed processes are silent.
package soak
