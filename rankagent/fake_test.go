package rankagent

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"

	"bluebellwind.example/backends"
	"bluebellwind.example/groupmap"
	"bluebellwind.example/ingress"
)

// fakeEngine is the model server of one rank of group g. It is safe for concurrent use.
type fakeEngine struct {
	rank, size int

	mu     sync.Mutex
	state  groupmap.RankState
	orders []groupmap.Order
	// unanswered is the number of next orders that get no answer and no effect.
	unanswered int
}

func newFakeEngine(rank, size int, state groupmap.RankState) *fakeEngine {
	return &fakeEngine{rank: rank, size: size, state: state}
}

func (e *fakeEngine) Report(context.Context) (Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Report{Group: backends.Group{Name: "g", Epoch: e.state.Epoch, Rank: e.rank, Size: e.size}, State: e.state}, nil
}

func (e *fakeEngine) ExpertCounts(context.Context) (ExpertCounts, error) {
	return ExpertCounts{}, errors.New("no counts")
}

func (e *fakeEngine) HeldExperts(context.Context) (HeldExperts, error) {
	return HeldExperts{}, errors.New("no experts")
}

func (e *fakeEngine) Order(ctx context.Context, o groupmap.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	if e.unanswered > 0 {
		e.unanswered--
		e.mu.Unlock()
		<-ctx.Done()
		e.mu.Lock()
		return ctx.Err()
	}
	switch o.Kind {
	case groupmap.Prepare:
		e.state.PreparedVersion = o.Version
	case groupmap.Arm:
		e.state.ArmedVersion, e.state.ArmedStep = o.Version, o.Step
	case groupmap.Release:
		e.state.HeldStep = 0
	}
	return nil
}

func discardLog() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

// newFakeAgent returns the agent of a rank. engines are the servers of the group by
// address.
func newFakeAgent(server string, engines map[string]*fakeEngine) *Agent {
	return New(Options{
		Server: server, Log: discardLog(),
		Dial:   func(address string) Engine { return engines[address] },
		Config: func(context.Context) (*ingress.Config, error) { return nil, nil },
		Uptime: func() time.Duration { return time.Hour },
	})
}
