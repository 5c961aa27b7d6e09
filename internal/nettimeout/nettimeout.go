// Package nettimeout makes the kernel give up connections whose peer is gone
// without a word, as in a network partition.
package nettimeout

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall does not name.
const tcpUserTimeout = 0x12

// Dialer returns a dialer that gives up after dial, and whose connections break
// when sent bytes stay unacknowledged for unacked.
func Dialer(dial, unacked time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: dial,
		Control: func(_, _ string, raw syscall.RawConn) error { return control(raw, unacked) },
	}
}

// Set bounds how long bytes sent on a connection may stay unacknowledged.
// Connections other than TCP stay as they are.
func Set(conn net.Conn, unacked time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return control(raw, unacked)
}

func control(raw syscall.RawConn, unacked time.Duration) error {
	var err error
	outer := raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacked.Milliseconds()))
	})
	if outer != nil {
		return outer
	}
	return err
}
