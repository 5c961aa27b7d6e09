package entry

import (
	"context"
	"errors"
	"io"
	"time"

	"bluebellwind.example/internal/fleet"
	"bluebellwind.example/internal/rpc"
	"bluebellwind.example/verdict"
	"bluebellwind.example/wire"
)

// revokeTimeout bounds the wait for the reply to a revocation. It is short
// because the revocation delays the refusal or the retry of a failed request.
const revokeTimeout = 250 * time.Millisecond

// attemptRunner sends attempts to agents. It is safe for concurrent use.
type attemptRunner struct {
	pool      *rpc.Pool
	directory *fleet.Directory
	// crashes receives the crash reports that agents attach to refusals.
	crashes *crashTracker
}

// run makes one attempt at server. It returns nil once the complete response
// has been written to out.
func (r *attemptRunner) run(ctx context.Context, server *fleet.Server, start *wire.Start, out *responseWriter) error {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := wire.NewDRPCAgentClient(r.pool.Get(streamCtx, server.Address)).Run(streamCtx, start)
	if err != nil {
		return r.classifyFailure(ctx, server, start, err)
	}
	defer func() { _ = stream.Close() }()
	for {
		reply, err := stream.Recv()
		if err != nil {
			cancel()
			return r.classifyFailure(ctx, server, start, err)
		}
		out.recordProgress(time.Now())
		done, err := r.handleReply(server, start, reply, out)
		if done || err != nil {
			return err
		}
	}
}

// handleReply handles one message of the agent's stream and reports whether the
// response is complete.
func (r *attemptRunner) handleReply(server *fleet.Server, start *wire.Start, reply *wire.RunReply, out *responseWriter) (bool, error) {
	switch message := reply.GetMessage().(type) {
	case *wire.RunReply_Head:
		if message.Head.GetAttemptId() != start.GetAttemptId() {
			return false, verdict.Refuse(verdict.Interrupted, verdict.MayHaveRun, "the agent answered another attempt")
		}
		out.writeHeader(message.Head)
		return false, nil
	case *wire.RunReply_Data:
		return false, callerWriteError(out.writeData(message.Data))
	case *wire.RunReply_Event:
		return false, callerWriteError(out.writeEvent(message.Event))
	case *wire.RunReply_End:
		r.directory.SetLoad(server.Name, message.End.GetLoad(), time.Now())
		return message.End.GetAttemptId() == start.GetAttemptId(), nil
	case *wire.RunReply_Refusal:
		r.directory.SetLoad(server.Name, message.Refusal.GetLoad(), time.Now())
		r.crashes.mergeReport(message.Refusal.GetCrashReport())
		return false, &agentRefusal{message.Refusal.Error()}
	default:
		return false, verdict.Refuse(verdict.Internal, verdict.MayHaveRun, "the agent sent an unknown reply")
	}
}

// agentRefusal marks a refusal that the agent sent, as opposed to one that the
// entry made itself.
type agentRefusal struct{ refusal *verdict.Error }

// Error implements error.
func (r *agentRefusal) Error() string { return r.refusal.Error() }

// Unwrap returns the refusal.
func (r *agentRefusal) Unwrap() error { return r.refusal }

// callerWriteError converts an error of writing to the caller to a refusal.
func callerWriteError(err error) error {
	if err == nil {
		return nil
	}
	return verdict.Wrap(verdict.Interrupted, verdict.Ran, "the caller left", err)
}

// classifyFailure converts err, which ended an attempt before its final reply, to
// a refusal. If the agent could be reached, an attempt without a ticket is revoked
// first, to learn whether it may have run.
func (r *attemptRunner) classifyFailure(ctx context.Context, server *fleet.Server, start *wire.Start, err error) error {
	var dialErr *rpc.DialError
	if errors.As(err, &dialErr) {
		return verdict.Wrap(verdict.Unavailable, verdict.NotRun, "the server cannot be reached", err).WithRetryAfter(time.Second)
	}
	v := verdict.MayHaveRun
	if start.GetTicket() == "" {
		v = r.revoke(ctx, server, start)
	}
	if ctx.Err() != nil {
		return verdict.Wrap(verdict.DeadlineExceeded, v, "the deadline passed", err).WithRetryAfter(time.Second)
	}
	reason := "the connection to the server's agent broke"
	if errors.Is(err, io.EOF) {
		reason = "the server's agent ended the answer early"
	}
	return verdict.Wrap(verdict.Unavailable, v, reason, err).WithRetryAfter(time.Second)
}

// revoke asks the agent to prevent the attempt from starting, and returns
// MayHaveRun if the agent does not confirm that in time.
func (r *attemptRunner) revoke(ctx context.Context, server *fleet.Server, start *wire.Start) verdict.Verdict {
	if server.Load == nil {
		return verdict.MayHaveRun // The agent must have reported its incarnation and awake time before the attempt.
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	reply, err := wire.NewDRPCAgentClient(r.pool.Get(ctx, server.Address)).Revoke(ctx, &wire.RevokeRequest{
		AttemptId:   start.GetAttemptId(),
		Incarnation: server.Incarnation,
		AwakeMs:     server.Load.GetAwakeMs(),
	})
	if err != nil {
		return verdict.MayHaveRun
	}
	return wire.ToVerdict(reply.GetVerdict())
}
