package callerconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// handshakeTime is how long handshakes that have begun may take to end once a listener
	// begins no others; it is longer than a round trip to a caller.
	handshakeTime = 20 * time.Millisecond
	// maxQueueTime bounds the wait until the accepted connections have been taken.
	maxQueueTime = time.Second
	// queuePollInterval is the interval at which the queue of accepted connections is read.
	queuePollInterval = 2 * time.Millisecond
)

// disabled names a mechanism that tests switch off; empty otherwise.
var disabled string

// Listen returns a TCP listener that CloseListener can close without losing connections. It is
// no Multipath TCP listener, as net.Listen returns: the kernel rejects filters of those.
func Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	l, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("callerconn: %w", err)
	}
	return l, nil
}

// CloseListener closes a listener of Listen without losing connections. The kernel resets a
// connection that is established for its caller but not yet returned by Accept, and with it
// the request that the caller may have sent. So the listener first ignores new handshakes,
// which callers repeat after a second and then find refused, and is closed once Accept has
// returned all connections. Accept must be called by another goroutine meanwhile. Listeners
// other than TCP are closed at once.
func CloseListener(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok || disabled == "accept-queue" {
		return l.Close()
	}
	if err := ignoreHandshakes(tcp); err == nil {
		time.Sleep(handshakeTime)
	}
	end := time.Now().Add(maxQueueTime)
	for time.Now().Before(end) {
		if queued, err := queueLength(tcp); err != nil || queued == 0 {
			break
		}
		time.Sleep(queuePollInterval)
	}
	return l.Close()
}

// ignoreHandshakes makes a listener drop packets that begin a handshake. Handshakes that
// have begun are completed.
func ignoreHandshakes(l *net.TCPListener) error {
	const (
		tcpFlagsOffset = 13
		synFlag        = 0x02
		acceptAll      = 0xffffffff
	)
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: synFlag, Jt: 0, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptAll},
	}
	return control(l, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
}

// queueLength returns the number of connections that Accept has not returned yet.
func queueLength(l *net.TCPListener) (int, error) {
	var queued int
	err := control(l, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			queued = int(info.Unacked) // The kernel reports it there for listeners.
		}
		return err
	})
	return queued, err
}

// control calls f with the file descriptor of a listener.
func control(l *net.TCPListener, f func(fd int) error) error {
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var result error
	err = raw.Control(func(fd uintptr) { result = f(int(fd)) })
	return errors.Join(err, result)
}
