// Package gateway receives callers' HTTP requests and forwards each of them
// directly to a backend server.
//
// Routing and retry decisions are made in small functions of the state known at
// that moment. Only implementations of HeaderCodec know the header formats of
// callers and backend servers.
package gateway
