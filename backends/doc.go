// Package backends tracks the backend servers: which servers are published, which
// groups of ranks are open, how loaded each server is, and how healthy it is by
// the results of requests. It chooses the server for each request.
//
// The ranks of a group run each pass, a fixed number of decoding steps, in lock-step,
// so a group fails as a whole: it is excluded if one of its ranks is down or reports
// it as closed, or if a request finds it broken. Other failures of requests exclude
// only the server that they were sent to.
package backends
