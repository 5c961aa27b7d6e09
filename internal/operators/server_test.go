package operators

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcserver"

	"bluebellwind.example/internal/operatorpb"
)

// Guards against a drain call that fails although the drain starts: an idle
// process exits and closes its connections as soon as it drains, which may be
// before the reply has reached the operator.
func TestDrainIsAnsweredBeforeTheProcessEnds(t *testing.T) {
	const calls = 500
	results := make(chan error, calls)
	for range calls {
		go func() { results <- drainIdleProcess() }()
	}
	for range calls {
		assert.NilError(t, <-results)
	}
}

// slowReader is an operator's connection whose first read is delayed, as on a busy
// machine, so that the connection may already be closed when the reply is read.
type slowReader struct {
	net.Conn
	once sync.Once
}

// Read implements net.Conn.
func (s *slowReader) Read(b []byte) (int, error) {
	s.once.Do(func() { time.Sleep(20 * time.Millisecond) })
	return s.Conn.Read(b)
}

// drainIdleProcess sends a drain call to a process that exits as soon as it
// drains, and returns the error of the call.
func drainIdleProcess() error {
	ctx, stop := context.WithCancel(context.Background())
	s := NewServer(Options{
		Name: "a", Incarnation: 7, Drain: stop, Active: func() int { return 0 }, Draining: func() bool { return false },
	})
	handler, err := s.Handler()
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = drpcserver.New(handler).Serve(ctx, l) }() // Returns when ctx is done.
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return err
	}
	conn := drpcconn.New(&slowReader{Conn: raw})
	_, err = operatorpb.NewDRPCOperatorClient(conn).Drain(context.Background(), &operatorpb.DrainRequest{Name: "a", Incarnation: 7})
	<-ctx.Done()
	_ = conn.Close() // The call has already returned its reply or an error.
	return err
}
