// Package soak runs the daemons as separate processes on loopback together with
// the simulated platform, and injects faults from outside: signals, proxies on
// the links to the store and to the backend servers, a faulty store, faulty
// servers, and changes of the configuration. A seed determines the schedule of
// faults. Checks compare what callers and servers observed with the guarantees
// of the gateways.
//
// No proxy carries the datagrams between the processes, because each process
// announces its own address. Loss of datagrams occurs only through stopped and
// killed processes.
package soak
