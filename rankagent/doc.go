// Package rankagent implements the process that runs next to one model server
// that is a rank of a group. It sends the status of the server to the gateways,
// carries out orders on the server, and takes part in adapting the group's
// expert map to the popularity of the experts.
//
// The initiator, the agent of rank 0, plans maps and starts switches. The active
// leader, the agent of the lowest rank that is not silent, sends the orders of a
// switch to the ranks. Agents may disagree about who that is for a while, which
// groupmap.Switch allows. Package groupmap explains passes, epochs and holds.
//
// The process is not on the path of requests and holds no state that its group
// depends on.
package rankagent
