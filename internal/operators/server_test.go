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

// An idle process ends as soon as it drains and closes its connections: the
// operator must have got the answer before.
func TestDrainIsAnsweredBeforeTheProcessEnds(t *testing.T) {
	const tries = 500
	results := make(chan error, tries)
	for range tries {
		go func() { results <- askToDrain() }()
	}
	for range tries {
		assert.NilError(t, <-results)
	}
}

// slowReader is an operator's connection whose first bytes are read late, as on a
// busy machine, so that the end of the connection is there with them.
type slowReader struct {
	net.Conn
	once sync.Once
}

// Read implements net.Conn.
func (s *slowReader) Read(b []byte) (int, error) {
	s.once.Do(func() { time.Sleep(20 * time.Millisecond) })
	return s.Conn.Read(b)
}

// askToDrain asks a process that ends as soon as it drains.
func askToDrain() error {
	ctx, end := context.WithCancel(context.Background())
	s := NewServer(Options{
		Name: "a", Incarnation: 7, Drain: end, Active: func() int { return 0 }, Draining: func() bool { return false },
	})
	handler, err := s.Handler()
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = drpcserver.New(handler).Serve(ctx, l) }() // It ends with ctx.
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return err
	}
	conn := drpcconn.New(&slowReader{Conn: raw})
	_, err = operatorpb.NewDRPCOperatorClient(conn).Drain(context.Background(), &operatorpb.DrainRequest{Name: "a", Incarnation: 7})
	<-ctx.Done()
	_ = conn.Close() // The answer is here, or an error is.
	return err
}
