// Package routing chooses the backend server for each request. It runs in the
// entries, the processes that accept callers' requests and forward them.
//
// Picker is deterministic: the same seed and the same sequence of calls give
// the same choices. Table keeps a View up to date and is safe for concurrent
// use; an entry holds one Table for each model or for each service without a
// model.
//
// All entries decide on the same load reports, which are out of date by the
// time they are used. If each entry took the server that looks least loaded,
// all of them would send to that server until the next report (herding). Each
// entry therefore distributes its requests over the servers in proportions that
// equalise the servers' backlogs, counting the requests that all entries are
// expected to have sent since the reports.
package routing
