// Package mesh carries what processes of the system tell each other within a
// few hundred milliseconds: who is there, how each model server stands, orders
// to ranks, popularity of experts and proofs of a fresh configuration.
//
// Everything goes in datagrams and is superseded by the next one, so a lost
// datagram costs one period and a peer that is cut off holds nothing up.
// Processes find each other from a few seeds and by telling each other whom
// they know. Nothing is stored.
package mesh
