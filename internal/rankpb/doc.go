// Package rankpb defines the protobuf messages and the RPC service that the agents
// of a rank group use among themselves, and converts between the messages and the
// types of mapswitch.
package rankpb
