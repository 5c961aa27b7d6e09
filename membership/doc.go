// Package membership distributes state between instances: liveness, load
// reports, leaving marks, suspects, status, and the revision of the
// configuration.
//
// Every record has one origin, the only instance that may change it, and a time
// to live. Agents send load reports directly to the entries of their
// availability zone. All other records spread by gossip: periodically each
// instance exchanges digests with one peer of its zone, and a few relays of each
// zone exchange digests with relays of other zones. There is no shared storage,
// and no role (relay, reader of the configuration service) is assigned
// permanently: each instance derives its roles from the instances it sees alive.
package membership
