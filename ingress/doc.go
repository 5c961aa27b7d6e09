// Package ingress says where a request of a caller goes: routes by host and
// path prefix, weighted splits between services, and the keys of organisations.
//
// A Config is one version of what operators publish. A Table is its lookup
// form; it is immutable and safe for concurrent use.
package ingress
