package verdict_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"bluebellwind.example/verdict"
)

func TestUnknownErrorsMayHaveRun(t *testing.T) {
	assert.Equal(t, verdict.Of(errors.New("connection lost")), verdict.MayHaveRun)
	assert.Equal(t, verdict.AsError(errors.New("connection lost")).Verdict, verdict.MayHaveRun)
}

func TestVerdictSurvivesWrapping(t *testing.T) {
	refusal := verdict.Refuse(verdict.Overloaded, verdict.NotRun, "queue is full")
	wrapped := fmt.Errorf("agent: %w", refusal)
	assert.Equal(t, verdict.Of(wrapped), verdict.NotRun)
	assert.Equal(t, refusal.WithRetryAfter(time.Second).RetryAfter, time.Second)
	assert.Equal(t, refusal.RetryAfter, time.Duration(0))
}

func TestTextRoundTrip(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
		text, err := v.MarshalText()
		assert.NilError(t, err)
		var got verdict.Verdict
		assert.NilError(t, got.UnmarshalText(text))
		assert.Equal(t, got, v)
	}
	var v verdict.Verdict
	assert.ErrorContains(t, v.UnmarshalText([]byte("maybe")), "unknown verdict")
}
