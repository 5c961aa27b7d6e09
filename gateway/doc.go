// Package gateway receives callers' HTTP requests and forwards each of them
// directly to a backend server.
//
// Routing and retry decisions are made in small functions of the state known at
// that moment. The header formats of callers and backend servers stay behind the
// Format interface.
package gateway
