// Package limits enforces the rate limits of organisations across all entries
// without shared storage.
//
// An entry is an instance that accepts requests from callers. For each
// organisation, rendezvous hashing over the live entries selects one of them as
// the coordinator. The entries report their demand to it and receive short
// leases on parts of the limit, max-min fair by demand. An entry without a
// lease enforces an equal share of the limit.
package limits
