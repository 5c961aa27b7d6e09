package once

import (
	"crypto/sha256"
	"sync"
	"time"

	"bluebellwind.example/verdict"
)

// Defaults of a Journal.
const (
	// DefaultRetention is how long a ticket is accepted after its issue.
	DefaultRetention = 15 * time.Minute
	// DefaultMaxBytes is the maximum memory of a Journal.
	DefaultMaxBytes = 16 << 20
	// MaxAnswerBytes is the largest answer body that is kept for repeated
	// attempts.
	MaxAnswerBytes = 256 << 10
	// recordOverheadBytes is the memory accounted for a record without its
	// answer, in bytes.
	recordOverheadBytes = 512
	// maxClockLead is how far in the future the issue time of a ticket may be.
	maxClockLead = time.Minute
)

// Digest is the SHA-256 digest of the content of a request.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a request's method, target and body.
func DigestOf(method, target string, body []byte) Digest {
	h := sha256.New()
	h.Write([]byte(method))
	h.Write([]byte{0})
	h.Write([]byte(target))
	h.Write([]byte{0})
	h.Write(body)
	var d Digest
	h.Sum(d[:0])
	return d
}

// Answer is the complete answer to a request. It must not be modified after it
// is passed to Claim.Finish.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Settings are the bounds of a Journal. Zero fields take the defaults.
type Settings struct {
	// Retention is how long a ticket is accepted after its issue.
	Retention time.Duration
	// MaxBytes is the maximum memory for records and answers.
	MaxBytes int64
}

// Journal decides, for one incarnation of one agent, whether a request that
// must not be repeated may start. It is safe for concurrent use. Callers pass
// the current time as now, which must never go back within a process.
type Journal struct {
	server      string
	incarnation uint64
	settings    Settings
	// disabledMechanism names a mechanism that tests turn off to show that it
	// is needed.
	disabledMechanism string

	// mu guards the fields below, and the outcome of a record until its done
	// channel is closed.
	mu      sync.Mutex
	records map[Nonce]*record
	// expiryQueue holds the records in order of their creation.
	expiryQueue []expiryItem
	// accountedBytes is the memory accounted for records and answers.
	accountedBytes int64
}

// expiryItem holds the time at which the record of a ticket may be removed.
type expiryItem struct {
	nonce     Nonce
	expiresAt time.Time
}

// record is the state of one ticket whose request was started.
type record struct {
	digest Digest
	// done is closed when the outcome is known.
	done chan struct{}
	// answer and refusal are the outcome; exactly one of them is set.
	answer  *Answer
	refusal *verdict.Error
}

// NewJournal returns an empty journal for one incarnation of the agent on
// server.
func NewJournal(server string, incarnation uint64, s Settings) *Journal {
	if s.Retention == 0 {
		s.Retention = DefaultRetention
	}
	if s.MaxBytes == 0 {
		s.MaxBytes = DefaultMaxBytes
	}
	return &Journal{server: server, incarnation: incarnation, settings: s, records: map[Nonce]*record{}}
}

// Claim is the result of Begin. Either Start is set, or an earlier attempt has
// the request and Done and Outcome give its outcome.
type Claim struct {
	// Start tells the holder to run the request and then to call exactly one of
	// Finish, Fail and Abandon. It is set for at most one claim of a ticket.
	Start bool

	journal *Journal
	nonce   Nonce
	rec     *record
}

// Begin decides whether an attempt with ticket t starts the request or takes
// the outcome of an earlier attempt. The error, if any, is a *verdict.Error for
// the caller.
func (j *Journal) Begin(t Ticket, d Digest, now time.Time) (*Claim, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.removeExpired(now)
	if err := j.checkTicket(t, now); err != nil {
		return nil, err
	}
	if rec := j.records[t.Nonce]; rec != nil && j.disabledMechanism != "memory" {
		if rec.digest != d {
			return nil, verdict.Refuse(verdict.TicketConflict, verdict.NotRun,
				"the ticket belongs to a request with another content; this content was not run")
		}
		return &Claim{journal: j, nonce: t.Nonce, rec: rec}, nil
	}
	if j.accountedBytes+recordOverheadBytes > j.settings.MaxBytes {
		// No record is kept for the ticket, so a later attempt may still start
		// the request and the verdict cannot be NotRun.
		return nil, verdict.Refuse(verdict.Overloaded, verdict.MayHaveRun,
			"the journal of unrepeatable requests is full").WithRetryAfter(j.timeUntilFirstExpiry(now))
	}
	rec := &record{digest: d, done: make(chan struct{})}
	j.records[t.Nonce] = rec
	j.expiryQueue = append(j.expiryQueue, expiryItem{nonce: t.Nonce, expiresAt: t.IssuedAt().Add(j.settings.Retention)})
	j.accountedBytes += recordOverheadBytes
	return &Claim{Start: true, journal: j, nonce: t.Nonce, rec: rec}, nil
}

// checkTicket refuses tickets of another incarnation, tickets older than their
// retention and tickets issued too far in the future, because the journal may have
// no record of their earlier attempts.
func (j *Journal) checkTicket(t Ticket, now time.Time) error {
	if t.Server != j.server || (t.Incarnation != j.incarnation && j.disabledMechanism != "incarnation") {
		return verdict.Refuse(verdict.TicketExpired, verdict.MayHaveRun,
			"the server was replaced since the ticket was issued; an earlier try may have run")
	}
	if !now.Before(t.IssuedAt().Add(j.settings.Retention)) && j.disabledMechanism != "window" {
		return verdict.Refuse(verdict.TicketExpired, verdict.MayHaveRun,
			"the ticket is older than the server remembers; an earlier try may have run")
	}
	if t.IssuedAt().After(now.Add(maxClockLead)) {
		return verdict.Refuse(verdict.TicketExpired, verdict.MayHaveRun,
			"the ticket was issued in the future; the clocks of two instances differ too much")
	}
	return nil
}

// Len returns the number of records.
func (j *Journal) Len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.records)
}

// Bytes returns the memory accounted for records and answers.
func (j *Journal) Bytes() int64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.accountedBytes
}

// Finish records the complete answer to a started request. If the answer is
// larger than MaxAnswerBytes or than the memory left for answers, later attempts
// learn only that the request ran.
func (c *Claim) Finish(a Answer) {
	c.setOutcome(func(rec *record) {
		if len(a.Body) > MaxAnswerBytes || !c.journal.canKeepAnswer(int64(len(a.Body))) {
			rec.refusal = verdict.Refuse(verdict.TicketExpired, verdict.Ran,
				"the request ran once and was answered; its answer was too large to keep")
			return
		}
		rec.answer = &a
		if c.journal.records[c.nonce] == rec {
			c.journal.accountedBytes += int64(len(a.Body))
		}
	})
}

// Fail records that a started request may have run but has no complete answer.
// The verdict NotRun becomes MayHaveRun.
func (c *Claim) Fail(e *verdict.Error) {
	c.setOutcome(func(rec *record) {
		refusal := *e
		if refusal.Verdict == verdict.NotRun {
			refusal.Verdict = verdict.MayHaveRun
		}
		rec.refusal = &refusal
	})
}

// Abandon records that the request was not run and never will be. The record
// stays, so that no later attempt starts the request after a caller was told
// "not run".
func (c *Claim) Abandon(e *verdict.Error) {
	if c.journal.disabledMechanism == "revocation" {
		c.journal.revertClaim(c.nonce)
		return
	}
	c.setOutcome(func(rec *record) {
		refusal := *e
		refusal.Verdict = verdict.NotRun
		rec.refusal = &refusal
	})
}

// Done returns a channel that is closed once the outcome is known.
func (c *Claim) Done() <-chan struct{} { return c.rec.done }

// Outcome returns the complete answer or the refusal of the request. It must be
// called only after the channel that Done returns is closed.
func (c *Claim) Outcome() (*Answer, *verdict.Error) { return c.rec.answer, c.rec.refusal }

// setOutcome sets the outcome of the request unless it is already known.
func (c *Claim) setOutcome(set func(*record)) {
	c.journal.mu.Lock()
	defer c.journal.mu.Unlock()
	select {
	case <-c.rec.done:
		return // Only the first outcome counts.
	default:
	}
	set(c.rec)
	close(c.rec.done)
}

// revertClaim removes a record that has no answer. Only Abandon calls it, when
// a test turns revocation off.
func (j *Journal) revertClaim(n Nonce) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.records[n]; ok {
		delete(j.records, n)
		j.accountedBytes -= recordOverheadBytes
	}
}

// canKeepAnswer reports whether an answer of n more bytes may be kept. Half of
// the memory is reserved for records, so that answers never prevent new
// requests. The caller holds j.mu.
func (j *Journal) canKeepAnswer(n int64) bool { return j.accountedBytes+n <= j.settings.MaxBytes/2 }

// timeUntilFirstExpiry returns the time until the first record may be removed,
// at least one second. The caller holds j.mu.
func (j *Journal) timeUntilFirstExpiry(now time.Time) time.Duration {
	if len(j.expiryQueue) == 0 {
		return time.Second
	}
	return max(time.Second, j.expiryQueue[0].expiresAt.Sub(now))
}

// removeExpired removes the records of tickets that checkTicket refuses by
// their age from now on. The queue is in order of creation. A record that
// expires before its predecessors, because the clocks of the issuing entries
// differ or its ticket was first used late, occupies memory until they expire.
// The caller holds j.mu.
func (j *Journal) removeExpired(now time.Time) {
	expired := 0
	for expired < len(j.expiryQueue) && !now.Before(j.expiryQueue[expired].expiresAt) {
		j.removeRecord(j.expiryQueue[expired].nonce)
		expired++
	}
	j.expiryQueue = j.expiryQueue[expired:]
}

// removeRecord removes a record with its answer and releases the memory
// accounted for them. It does nothing if there is no record. The caller holds
// j.mu.
func (j *Journal) removeRecord(n Nonce) {
	rec := j.records[n]
	if rec == nil {
		return
	}
	delete(j.records, n)
	j.accountedBytes -= recordOverheadBytes
	if rec.answer != nil {
		j.accountedBytes -= int64(len(rec.answer.Body))
	}
}
