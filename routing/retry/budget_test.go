package retry

import (
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"bluebellwind.example/verdict"
)

// TestBudgetIsNeverExceeded compares the allowed retries with the number that a
// plain count of the successes and the bursts permits.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Ratio: 0.25, OrganisationBurst: 2, EntryBurst: 4, MaxOrganisations: 3, MaxAttempts: 3}
		if os.Getenv("BBW_WITHOUT") == "retry-budget" {
			cfg.OrganisationBurst, cfg.EntryBurst = 1e9, 1e9
		}
		b := NewBudget(cfg)
		organisationBalance := map[string]float64{}
		var entryBalance float64
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			org := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "org"))
			if rapid.Bool().Draw(t, "success") {
				b.RecordSuccess(org)
				organisationBalance[org] += 0.25
				entryBalance += 0.25
				continue
			}
			try := FailedAttempt{
				Organisation: org,
				Attempts:     rapid.IntRange(1, 4).Draw(t, "number"),
				Verdict:      verdict.Verdict(rapid.IntRange(0, 2).Draw(t, "verdict")),
				Repeatable:   rapid.Bool().Draw(t, "repeatable"),
			}
			if !b.Allow(try) {
				continue
			}
			organisationBalance[org]--
			entryBalance--
			safe := try.Verdict == verdict.NotRun || try.Verdict == verdict.MayHaveRun && try.Repeatable
			assert.Assert(t, safe && try.Attempts < 3)
			assert.Assert(t, organisationBalance[org] >= -2 && entryBalance >= -4, "retries beyond the burst: organisation balance %v, entry balance %v", organisationBalance[org], entryBalance)
			assert.Assert(t, len(b.organisationTokens) <= 3)
		}
	})
}
