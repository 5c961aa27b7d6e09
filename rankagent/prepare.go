package rankagent

import (
	"context"
	"errors"
	"time"

	"bluebellwind.example/groupmap"
)

const (
	// prepareAnswerTimeout is how long the local server has to answer an order to
	// prepare a map before the agent repeats it. The leader repeats such an order only
	// after minPrepareResendInterval or more, because maps take long on the mesh.
	prepareAnswerTimeout = 50 * time.Millisecond
	// maxPrepareAttempts bounds the attempts. If a third of all orders stays without an
	// answer, one of 32 ranks is still unprepared after 6 attempts in 1 of 20 switches.
	maxPrepareAttempts = 6
)

// orderLocal sends an order to the local server. It repeats an order to prepare a map
// that gets no answer: the server carries out the repetition of an order that it lost, and
// rejects the repetition of one that it has begun. The error is that of the last attempt.
func (a *Agent) orderLocal(ctx context.Context, o groupmap.Order) error {
	if o.Kind != groupmap.Prepare {
		return a.orderOnce(ctx, a.engine, o, orderTimeout)
	}
	var err error
	for range maxPrepareAttempts {
		err = a.orderOnce(ctx, a.engine, o, prepareAnswerTimeout)
		if ctx.Err() != nil || !isUnanswered(err) || a.hasPrepared(o) {
			return err
		}
		a.metrics.ordersRepeated.Inc()
	}
	return err
}

// orderOnce sends an order to a server and waits for the answer until timeout.
func (a *Agent) orderOnce(ctx context.Context, engine Engine, o groupmap.Order, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return engine.Order(ctx, o)
}

// isUnanswered reports whether the error of an order says that its server did not answer
// in time, so that it is not known whether the order is carried out.
func isUnanswered(err error) bool { return errors.Is(err, context.DeadlineExceeded) }

// hasPrepared reports whether the local server has said that the map of an order is
// prepared or that it has gone beyond it.
func (a *Agent) hasPrepared(o groupmap.Order) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := a.report.State
	return state.Epoch > o.Epoch || state.PreparedVersion >= o.Version || state.MapVersion >= o.Version
}
