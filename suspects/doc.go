// Package suspects limits how many backend servers in the fleet can be crashed
// by one request, even if its caller changes it slightly or sends it again with
// a new idempotency key.
//
// A Fingerprinter turns a request into a Fingerprint, which consists of hashes
// and holds no content. The agent, the process that runs beside a server, reports
// the fingerprints of the requests that were in flight during a crash, and the
// report is sent to all entries, the instances that accept requests from callers.
// Each entry stores the reports in a Registry and checks every request against it.
//
// A suspect is a request that was in flight during a crash. A suspect, or a
// request similar to one, runs only on probation: all entries send it to the same
// home server, and a server runs at most one request on probation at a time. A
// request is quarantined, and from then on refused, once enough probation runs of
// it or of similar requests have ended in a crash. A completed run clears the
// request.
// docs/design/suspects.md states the resulting limit.
//
// The package does no I/O and reads no clock: the caller passes the time and
// transfers the reports between processes.
package suspects
