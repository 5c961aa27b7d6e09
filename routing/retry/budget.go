// Package retry limits how often requests are sent again.
//
// Budget limits the retries of an entry, a process that accepts callers'
// requests and forwards them. An agent, the process in front of a model engine,
// does not retry; it passes a refusal on to its caller. Each retry consumes
// tokens that earlier successes of its organisation and of the whole entry have
// earned. The load added by retries is therefore at most Ratio of the successful
// load, independent of the number of entries and without coordination between
// them.
//
// Window limits the retries of the gateways, the processes that forward HTTP
// requests directly to backend servers. It limits them for each service by the
// number of requests within a time window.
package retry

import (
	"sync"

	"bluebellwind.example/verdict"
)

// Config configures a Budget. Zero fields take the defaults.
type Config struct {
	// Ratio is the number of retries that one success earns, in (0, 1]; default
	// 0.1.
	Ratio float64
	// OrganisationBurst is the initial and the maximum number of retries that
	// one organisation can accumulate; default 3.
	OrganisationBurst float64
	// EntryBurst is the same for the whole entry; default 20.
	EntryBurst float64
	// MaxOrganisations bounds the number of organisations whose tokens are
	// stored, and so the memory; default 4096. Full buckets are not stored.
	// While the limit is reached, organisations that are not stored get no
	// retries.
	MaxOrganisations int
	// MaxAttempts bounds how often one request is sent, including the first time,
	// at least 1; default 3.
	MaxAttempts int
}

const (
	defaultRatio             = 0.1
	defaultOrganisationBurst = 3
	defaultEntryBurst        = 20
	defaultMaxOrganisations  = 4096
	defaultMaxAttempts       = 3
)

func (c Config) withDefaults() Config {
	if c.Ratio <= 0 {
		c.Ratio = defaultRatio
	}
	if c.OrganisationBurst <= 0 {
		c.OrganisationBurst = defaultOrganisationBurst
	}
	if c.EntryBurst <= 0 {
		c.EntryBurst = defaultEntryBurst
	}
	if c.MaxOrganisations <= 0 {
		c.MaxOrganisations = defaultMaxOrganisations
	}
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = defaultMaxAttempts
	}
	return c
}

// Budget decides whether a request may be sent again. It holds one token bucket
// for the entry and one for each organisation. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu                 sync.Mutex
	entryTokens        float64
	organisationTokens map[string]float64
}

// NewBudget returns a Budget with full buckets.
func NewBudget(cfg Config) *Budget {
	cfg = cfg.withDefaults()
	return &Budget{
		cfg:                cfg,
		entryTokens:        cfg.EntryBurst,
		organisationTokens: make(map[string]float64),
	}
}

// FailedAttempt describes a failed attempt to send a request.
type FailedAttempt struct {
	Organisation string
	// Attempts is the number of attempts made so far, 1 for the first one.
	Attempts int
	// Verdict is the outcome of the failed attempt.
	Verdict verdict.Verdict
	// Repeatable states that the request may run more than once.
	Repeatable bool
}

// RecordSuccess adds the tokens earned by one completely answered request of the
// organisation.
func (b *Budget) RecordSuccess(organisation string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entryTokens = min(b.cfg.EntryBurst, b.entryTokens+b.cfg.Ratio)
	tokens := b.tokens(organisation)
	b.setTokens(organisation, min(b.cfg.OrganisationBurst, tokens+b.cfg.Ratio))
}

// Allow reports whether the request may be sent again, and if so consumes the
// tokens. A request that did run is never allowed again, nor is one that may
// have run unless it is repeatable.
func (b *Budget) Allow(t FailedAttempt) bool {
	safe := t.Verdict == verdict.NotRun || (t.Verdict == verdict.MayHaveRun && t.Repeatable)
	if !safe || t.Attempts >= b.cfg.MaxAttempts {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens := b.tokens(t.Organisation)
	if tokens < 1 || b.entryTokens < 1 {
		return false
	}
	b.entryTokens--
	b.setTokens(t.Organisation, tokens-1)
	return true
}

// tokens returns the organisation's tokens. Organisations that are not stored
// have a full bucket, or none when the limit on organisations is reached.
func (b *Budget) tokens(organisation string) float64 {
	if tokens, ok := b.organisationTokens[organisation]; ok {
		return tokens
	}
	if len(b.organisationTokens) >= b.cfg.MaxOrganisations {
		return 0
	}
	return b.cfg.OrganisationBurst
}

// setTokens stores the organisation's tokens. A full bucket equals an unknown
// one, so it is deleted.
func (b *Budget) setTokens(organisation string, tokens float64) {
	_, known := b.organisationTokens[organisation]
	switch {
	case tokens >= b.cfg.OrganisationBurst:
		delete(b.organisationTokens, organisation)
	case known || len(b.organisationTokens) < b.cfg.MaxOrganisations:
		b.organisationTokens[organisation] = tokens
	}
}
