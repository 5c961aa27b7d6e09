// Package mesh carries the messages that the processes of the system exchange
// within a few hundred milliseconds: membership, the status of each model server,
// orders to ranks, the popularity of experts, and proofs that a configuration is
// fresh.
//
// Each UDP datagram carries one packet with one or more messages, and each message is
// superseded by the next one of its kind. A lost datagram therefore costs one period,
// and an unreachable peer delays nobody. Datagrams leave at the rate of the instance's
// link, orders first, since a full link loses them. Processes discover each other by gossip,
// starting from a few seed addresses. Nothing is stored.
package mesh
