// Package ingress determines how a caller's request is routed: by host and path
// prefix to a route, by weight to one of the route's services, and by key to the
// organisation of the caller.
//
// A Config is one version of the configuration that operators publish. A Table
// is its lookup form; it is immutable and safe for concurrent use.
package ingress
