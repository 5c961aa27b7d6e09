// Package membership distributes state between instances: liveness, load
// reports, leaving marks, suspects (requests that may crash backend servers),
// status, and the revision of the configuration, which is the rules file.
//
// Every record has one origin, the only instance that may change it, and a time
// to live. An entry is an instance that accepts requests from callers, an agent
// one that runs next to a backend server. Agents send load reports directly to
// the entries of their availability zone. All other records, and a load report
// of each agent now and then for the other zones, spread by gossip:
// periodically each instance exchanges digests, which list the versions of the
// records it holds, with an entry of its zone, and a few entries of each zone,
// its relays, also exchange digests with relays of other zones. Urgent records,
// which are leaving marks and suspects, and the numbers of new revisions are
// also pushed to peers immediately. There is no shared storage, and no role
// (relay, reader of the configuration service) is assigned permanently: each
// instance derives its roles from the instances it sees alive.
package membership
