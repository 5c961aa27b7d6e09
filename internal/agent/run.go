package agent

import (
	"context"
	"errors"
	"time"

	"bluebellwind.example/verdict"
	"bluebellwind.example/wire"
)

// maxAttemptTimeout is the longest timeout that an entry can set for an attempt.
const maxAttemptTimeout = time.Hour

// Run implements the drpc service: it runs an attempt and sends its response,
// followed by an End, or a Refusal if the attempt failed.
func (a *Agent) Run(s *wire.Start, stream wire.DRPCAgent_RunStream) error {
	a.beginCall()
	defer a.endCall()
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(stream.Context(), attemptTimeout(s))
	defer cancel()
	err := a.runAttempt(ctx, s, stream)
	a.logAttempt(s, startedAt, err)
	if err == nil {
		end := &wire.End{AttemptId: s.GetAttemptId(), Load: a.currentLoad()}
		return stream.Send(&wire.RunReply{Message: &wire.RunReply_End{End: end}})
	}
	refusal := wire.RefusalOf(verdict.AsError(err))
	refusal.Load = a.currentLoad()
	refusal.CrashReport = crashReportIn(err)
	return stream.Send(&wire.RunReply{Message: &wire.RunReply_Refusal{Refusal: refusal}})
}

// attemptTimeout returns the timeout of s, or maxAttemptTimeout if s sets none or
// a longer one.
func attemptTimeout(s *wire.Start) time.Duration {
	timeout := time.Duration(s.GetTimeoutMs()) * time.Millisecond
	if timeout <= 0 || timeout > maxAttemptTimeout {
		return maxAttemptTimeout
	}
	return timeout
}

func (a *Agent) runAttempt(ctx context.Context, s *wire.Start, out replySender) error {
	if s.GetTicket() != "" {
		return a.runOnce(ctx, s, out)
	}
	if err := a.rejectIfDraining(); err != nil {
		return err
	}
	if err := a.attempts.addQueued(s.GetAttemptId()); err != nil {
		return err
	}
	defer a.attempts.finish(s.GetAttemptId())
	releaseProbation, err := a.crashMonitor.reserveProbation(s)
	if err != nil {
		return err
	}
	defer releaseProbation()
	releaseSlot, err := a.acquireSlot(ctx, s)
	if err != nil {
		return err
	}
	defer releaseSlot()
	if err := a.attempts.markStarted(s.GetAttemptId()); err != nil {
		return err
	}
	return a.runMonitored(ctx, s, out)
}

// Revoke implements the drpc service: it prevents an attempt from starting, and
// replies NotRun only if the attempt never starts.
func (a *Agent) Revoke(_ context.Context, r *wire.RevokeRequest) (*wire.RevokeReply, error) {
	awakeAtSend := time.Duration(r.GetAwakeMs()) * time.Millisecond
	outcome := a.attempts.revoke(r.GetAttemptId(), r.GetIncarnation(), awakeAtSend)
	a.log.Info().Str("event", "revoke").Str("attempt", r.GetAttemptId()).Str("verdict", outcome.String()).Msg("")
	return &wire.RevokeReply{Verdict: wire.FromVerdict(outcome)}, nil
}

// Info implements the drpc service: it returns the agent's name, availability zone
// and load report.
func (a *Agent) Info(context.Context, *wire.InfoRequest) (*wire.InfoReply, error) {
	return &wire.InfoReply{
		Name:   a.settings.Name,
		Zone:   a.settings.Zone,
		Report: a.currentReport(),
	}, nil
}

func (a *Agent) logAttempt(s *wire.Start, startedAt time.Time, err error) {
	a.recordAttempt(err)
	entry := a.log.Info().Str("event", "attempt").
		Str("request", s.GetRequestId()).
		Str("attempt", s.GetAttemptId()).
		Str("organisation", s.GetOrganisation()).
		Dur("took", time.Since(startedAt))
	if err == nil {
		entry.Str("result", "whole").Msg("")
		return
	}
	refusal := verdict.AsError(err)
	entry = entry.Str("result", string(refusal.Code)).Str("verdict", refusal.Verdict.String())
	if cause := errors.Unwrap(refusal); cause != nil {
		entry = entry.Str("cause", cause.Error())
	}
	entry.Msg("")
}
