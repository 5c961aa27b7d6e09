// Package rankagent implements the process that runs next to one model server
// that is a rank of a group. It sends the status of the server to the gateways,
// carries out orders on the server, and takes part in adapting the group's
// expert map to the popularity of the experts.
//
// The process is not on the path of requests and holds no state that its group
// depends on.
package rankagent
