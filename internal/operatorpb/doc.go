// Package operatorpb defines the protobuf messages and the RPC service that
// instances offer to operators.
package operatorpb
