package crowd

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// redialPause is the time before a member opens a connection in place of one that ended.
	redialPause = 100 * time.Millisecond
	// samplePause is the time between two looks at the descriptors of a process.
	samplePause = 20 * time.Millisecond
)

// Dial opens a connection of a member.
type Dial func(ctx context.Context) (net.Conn, error)

// TCP returns a Dial for an address, IP:port.
func TCP(address string) Dial {
	return func(ctx context.Context) (net.Conn, error) {
		return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	}
}

// Run plays a crowd until ctx ends. It returns once all of its connections are closed.
func Run(ctx context.Context, dial Dial, members int, b Behaviour) {
	var crowd sync.WaitGroup
	for range members {
		crowd.Go(func() {
			for ctx.Err() == nil {
				if c, err := dial(ctx); err == nil {
					b.play(ctx, c)
				}
				sleep(ctx, redialPause)
			}
		})
	}
	crowd.Wait()
}

// play behaves on one connection until it ends.
func (b Behaviour) play(ctx context.Context, c net.Conn) {
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	defer c.Close()
	if _, err := io.WriteString(c, b.First); err != nil {
		return
	}
	if b.Repeated == "" {
		if b.ReadsNothing {
			<-ctx.Done()
			return
		}
		_, _ = io.Copy(io.Discard, c) // Ends with the connection.
		return
	}
	if !b.ReadsNothing {
		go func() { _, _ = io.Copy(io.Discard, c) }()
	}
	for {
		if _, err := io.WriteString(c, b.Repeated); err != nil {
			return
		}
		if b.Pause > 0 {
			sleep(ctx, b.Pause)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Process observes a process from outside.
type Process struct{ PID int }

// Descriptors returns the number of open descriptors; 0 if the process has ended.
func (p Process) Descriptors() int {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(p.PID), "fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// PeakMB returns the most memory that the process has held, in megabytes; 0 if it has ended.
func (p Process) PeakMB() int {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.PID), "status"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.Atoi(fields[0])
	return kilobytes >> 10
}

// WatchDescriptors returns a function that ends the watch and returns the most descriptors that
// were open meanwhile.
func (p Process) WatchDescriptors() (end func() int) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan int)
	go func() {
		most := 0
		for ctx.Err() == nil {
			most = max(most, p.Descriptors())
			sleep(ctx, samplePause)
		}
		done <- most
	}()
	return func() int {
		cancel()
		return <-done
	}
}
