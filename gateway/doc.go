// Package gateway takes callers' requests over HTTP and sends each straight to
// a backend server.
//
// Decisions are made in small functions of what is known at the time; the
// formats of callers and backend servers stay behind the Format interface.
package gateway
