// Package e2e tests complete sessions with the daemons as separate processes on
// loopback. All of its code is in test files.
package e2e
