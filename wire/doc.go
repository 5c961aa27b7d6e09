// Package wire defines the messages and services that entries and agents
// exchange. `make generate` writes its generated files.
package wire
