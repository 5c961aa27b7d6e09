package agent

import (
	"context"
	"io"
	"time"

	"bluebellwind.example/once"
	"bluebellwind.example/verdict"
	"bluebellwind.example/wire"
)

const (
	// onceTimeout bounds the single run of a request that must not run twice. The
	// run continues after its caller has disconnected, so that a repeated request
	// gets the response from the journal.
	onceTimeout = 2 * time.Minute
	// maxOnceBodyBytes bounds the response body that the journal keeps for such a
	// request.
	maxOnceBodyBytes = 4 << 20
)

// runOnce handles a request that must not run twice: it starts the request on its
// first arrival, and otherwise waits for the run under way or returns the
// response from the journal.
func (a *Agent) runOnce(ctx context.Context, s *wire.Start, out replySender) error {
	ticket, err := a.signer.Verify(s.GetTicket(), s.GetOrganisation())
	if err != nil {
		return verdict.Wrap(verdict.InvalidRequest, verdict.NotRun, "the ticket was not issued to this organisation", err)
	}
	digest := once.DigestOf(s.GetMethod(), s.GetTarget(), s.GetBody())
	claim, err := a.journal.Begin(ticket, digest, a.clock.Now())
	if err != nil {
		return err
	}
	if claim.Start {
		a.startOnce(ctx, s, claim)
	}
	select {
	case <-claim.Done():
	case <-ctx.Done():
		return verdict.Refuse(verdict.DeadlineExceeded, verdict.MayHaveRun,
			"the deadline passed while the request runs; repeat it with the same ticket").WithRetryAfter(time.Second)
	}
	answer, refusal := claim.Outcome()
	if refusal != nil {
		return refusal
	}
	return sendStoredResponse(answer, s.GetAttemptId(), !claim.Start, out)
}

// startOnce waits for a slot and then runs the request in a goroutine that does
// not depend on the caller. A claim that gets no slot is abandoned, and its
// request does not run.
func (a *Agent) startOnce(ctx context.Context, s *wire.Start, claim *once.Claim) {
	if err := a.rejectIfDraining(); err != nil {
		claim.Abandon(verdict.AsError(err))
		return
	}
	releaseSlot, err := a.acquireSlot(ctx, s)
	if err != nil {
		claim.Abandon(verdict.AsError(err))
		return
	}
	a.beginCall()
	go func() {
		defer a.endCall()
		defer releaseSlot()
		a.executeOnce(s, claim)
	}()
}

func (a *Agent) executeOnce(s *wire.Start, claim *once.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), onceTimeout)
	defer cancel()
	startedAt := time.Now()
	response, err := a.backend.call(ctx, s)
	if err != nil {
		recordFailure(claim, verdict.AsError(err))
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxOnceBodyBytes+1))
	if err != nil || len(body) > maxOnceBodyBytes {
		claim.Fail(verdict.Wrap(verdict.Interrupted, verdict.Ran, "the request ran; its answer was not whole", err))
		return
	}
	a.serviceTimes.observeStep(time.Since(startedAt))
	claim.Finish(once.Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	})
}

func recordFailure(claim *once.Claim, refusal *verdict.Error) {
	if refusal.Verdict == verdict.NotRun {
		claim.Abandon(refusal)
		return
	}
	claim.Fail(refusal)
}

func sendStoredResponse(answer *once.Answer, attemptID string, replayed bool, out replySender) error {
	head := &wire.Head{
		AttemptId:   attemptID,
		Status:      int32(answer.Status),
		ContentType: answer.ContentType,
		Replayed:    replayed,
	}
	if err := out.Send(&wire.RunReply{Message: &wire.RunReply_Head{Head: head}}); err != nil {
		return entryGoneError(err)
	}
	for remaining := answer.Body; len(remaining) > 0; {
		size := min(len(remaining), bodyChunkBytes)
		if err := out.Send(&wire.RunReply{Message: &wire.RunReply_Data{Data: remaining[:size]}}); err != nil {
			return entryGoneError(err)
		}
		remaining = remaining[size:]
	}
	return nil
}
