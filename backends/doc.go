// Package backends tracks the backend servers: which servers are published, which
// groups of ranks are open, how loaded each server is, and how healthy it is by
// the results of requests. It chooses the server for each request.
//
// A rank is a model server that computes together with the other ranks of its
// group. A slot is the capacity of a server for one running request. A server
// without a model engine belongs to a plain service and to no group.
//
// The ranks of a group run each pass, a fixed number of decoding steps, in lock-step,
// so a group fails as a whole: it is excluded if one of its ranks is down or reports
// it as closed, or if a request finds it broken. Other failures of requests exclude
// only the server that they were sent to.
//
// The objective of a request is the time from its arrival within which its answer
// should begin, and the pause limit is the longest allowed pause between two events
// of its stream. A group is late if its passes exceed the pause limit even with as
// few slots in use as admission control allows.
package backends
