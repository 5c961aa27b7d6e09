// Package nettimeout makes the kernel close TCP connections whose peer has become
// unreachable without closing them, as in a network partition.
package nettimeout

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, for which package syscall
// has no constant.
const tcpUserTimeout = 0x12

// Dialer returns a dialer with the given connect timeout. Its connections are
// closed if sent data stays unacknowledged for longer than unackedTimeout.
func Dialer(connectTimeout, unackedTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: connectTimeout,
		Control: func(_, _ string, rawConn syscall.RawConn) error { return setUserTimeout(rawConn, unackedTimeout) },
	}
}

// Set makes the kernel close conn if sent data stays unacknowledged for longer
// than unackedTimeout. It has no effect if conn has no TCP connection.
func Set(conn net.Conn, unackedTimeout time.Duration) error {
	tcp, ok := TCP(conn)
	if !ok {
		return nil
	}
	rawConn, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	return setUserTimeout(rawConn, unackedTimeout)
}

// TCP returns the TCP connection below conn, which may be a TLS or a guarded connection. ok is
// false if there is none.
func TCP(conn net.Conn) (tcp *net.TCPConn, ok bool) {
	for {
		outer, wraps := conn.(interface{ NetConn() net.Conn })
		if !wraps {
			tcp, ok = conn.(*net.TCPConn)
			return tcp, ok
		}
		conn = outer.NetConn()
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT on a socket.
func setUserTimeout(rawConn syscall.RawConn, unackedTimeout time.Duration) error {
	var err error
	controlErr := rawConn.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
