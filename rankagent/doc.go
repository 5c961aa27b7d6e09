// Package rankagent is the process beside one model server that is a rank of a
// group. It tells the gateways how the server stands, carries out orders on it,
// and takes part in keeping the group's expert map in step with popularity.
//
// It is not in the path of requests and keeps nothing that its group depends on.
package rankagent
