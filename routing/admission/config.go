package admission

import "time"

// Config configures a Queue. Zero fields take the defaults.
type Config struct {
	// Slots is the number of requests that run concurrently, at least 1;
	// default 1.
	Slots int
	// MaxQueued bounds the number of waiting requests over all organisations;
	// default 256.
	MaxQueued int
	// MaxWait bounds the time that a request waits, in addition to its
	// deadline; 0 means that only the deadline does.
	MaxWait time.Duration
	// MinRetryAfter and MaxRetryAfter bound the retry delay returned to refused
	// callers; defaults 200 ms and 5 min.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// PriorityLead is the slot time (the time for which one slot is held) by
	// which a request may start ahead of its organisation's fair share, for each
	// priority level above Batch. It is multiplied by the organisation's weight.
	// Default 2 s.
	PriorityLead time.Duration
}

const (
	defaultMaxQueued     = 256
	defaultMinRetryAfter = 200 * time.Millisecond
	defaultMaxRetryAfter = 5 * time.Minute
	defaultPriorityLead  = 2 * time.Second
)

func (c Config) withDefaults() Config {
	c.Slots = max(1, c.Slots)
	if c.MaxQueued <= 0 {
		c.MaxQueued = defaultMaxQueued
	}
	if c.MinRetryAfter <= 0 {
		c.MinRetryAfter = defaultMinRetryAfter
	}
	if c.MaxRetryAfter <= 0 {
		c.MaxRetryAfter = defaultMaxRetryAfter
	}
	if c.PriorityLead <= 0 {
		c.PriorityLead = defaultPriorityLead
	}
	return c
}
