package mapswitch

import (
	"math/rand/v2"
	"time"
)

// CandidateConfig holds the settings of an agent that may lead its group.
type CandidateConfig struct {
	// OwnRank is the rank of the agent.
	OwnRank Rank
	Leader  LeaderConfig
	// StallTimeout is how long the own rank may make no progress while it has a hold
	// or is blank before the agent leads a repair. A random time of up to
	// StallTimeout is added.
	StallTimeout time.Duration
	// BackoffMin and BackoffMax limit the backoff before the next attempt, which
	// doubles after each failed attempt. The wait is between half the backoff and
	// the full backoff, at random.
	BackoffMin time.Duration
	BackoffMax time.Duration
}

// View is the information by which an agent decides whether to lead.
type View struct {
	// Live lists the ranks whose agents are believed to be alive. It may be out of
	// date.
	Live []Rank
	// WantedMap is the map that the group should use, or empty if that is unknown.
	WantedMap MapID
	// OwnStatus is the last known register of the agent's own rank.
	OwnStatus RankStatus
}

// Candidate decides when its agent leads and runs the attempts. It is a state
// machine without I/O or a clock. It is not safe for concurrent use.
type Candidate struct {
	cfg           CandidateConfig
	processNonce  uint64 // Attempt.ProcessNonce of all attempts
	attemptCount  uint64 // Attempt.Seq of the latest attempt
	rng           *rand.Rand
	leader        *Leader
	nextAttemptAt time.Time
	backoff       time.Duration
	stallDetector stallDetector
	disabled      disabledMechanisms
	// fixedAttempt makes all attempts of all agents share one identifier. Tests
	// set it to show that unique identifiers are needed.
	fixedAttempt bool
}

// NewCandidate returns a candidate. The processNonce becomes the ProcessNonce of
// its attempts. It must be drawn at random on each start of the process, so that
// attempts from before and after a restart differ.
func NewCandidate(cfg CandidateConfig, processNonce uint64, rng *rand.Rand) *Candidate {
	return &Candidate{cfg: cfg, processNonce: processNonce, rng: rng}
}

// CurrentLeader returns the leader of the current attempt, or nil.
func (c *Candidate) CurrentLeader() *Leader { return c.leader }

// Tick starts an attempt if one is due, or advances the current one, and returns
// the requests to send. It must be called several times within each StallTimeout.
func (c *Candidate) Tick(v View, now time.Time) []Request {
	stalled := c.stallDetector.observe(v.OwnStatus, now, c.cfg.StallTimeout, c.rng)
	if c.leader != nil {
		return c.handleOutcome(c.leader.Tick(now), now)
	}
	if now.Before(c.nextAttemptAt) {
		return nil
	}
	if !stalled && !c.shouldSwitch(v) {
		return nil
	}
	return c.startAttempt(v.WantedMap, now)
}

// Handle processes a reply to one of the candidate's requests and returns the
// requests to send next.
func (c *Candidate) Handle(r Reply, now time.Time) []Request {
	if c.leader == nil {
		return nil
	}
	return c.handleOutcome(c.leader.Handle(r, now), now)
}

// shouldSwitch says whether this agent should start a switch to a new map. It
// should if its rank has no hold, does not use the wanted map and is the lowest
// live rank in the agent's view.
func (c *Candidate) shouldSwitch(v View) bool {
	if v.WantedMap == "" || v.OwnStatus.Hold != nil || v.OwnStatus.InUse.Map == v.WantedMap {
		return false
	}
	for _, rank := range v.Live {
		if rank < c.cfg.OwnRank {
			return false
		}
	}
	return true
}

// startAttempt starts an attempt and returns its first requests.
func (c *Candidate) startAttempt(wantedMap MapID, now time.Time) []Request {
	c.attemptCount++
	a := Attempt{ProcessNonce: c.processNonce, Seq: c.attemptCount}
	if c.fixedAttempt {
		a = Attempt{ProcessNonce: 1, Seq: 1}
	}
	l, out := NewLeader(c.cfg.Leader, a, wantedMap, now)
	l.disabled = c.disabled
	c.leader = l
	return out
}

// handleOutcome removes the current attempt if it has ended and sets the earliest
// time of the next one. It returns out, the requests to send.
func (c *Candidate) handleOutcome(out []Request, now time.Time) []Request {
	switch c.leader.Outcome() {
	case Pending:
		return out
	case Failed:
		c.backoff = min(max(2*c.backoff, c.cfg.BackoffMin), c.cfg.BackoffMax)
	default:
		c.backoff = c.cfg.BackoffMin
	}
	c.leader = nil
	c.nextAttemptAt = now.Add(c.backoff/2 + time.Duration(c.rng.Int64N(int64(c.backoff)/2+1)))
	c.stallDetector.reset(now)
	return out
}

// stallDetector detects that a rank makes no progress while it has a hold or is
// blank. Its fields hold the engine process and the step at which the rank was last
// seen to make progress, and the time since when the measurement runs.
type stallDetector struct {
	process uint64
	step    uint64
	since   time.Time
	jitter  time.Duration
}

// observe takes the current status of the rank and says whether it has made no
// progress for timeout plus a random jitter of up to timeout.
func (d *stallDetector) observe(s RankStatus, now time.Time, timeout time.Duration, rng *rand.Rand) bool {
	advanced := d.since.IsZero() || s.Process != d.process || s.Step != d.step
	if advanced || !s.HasNoMap() && s.Hold == nil {
		d.process, d.step = s.Process, s.Step
		d.since = now
		d.jitter = time.Duration(rng.Int64N(int64(timeout) + 1))
		return false
	}
	return now.Sub(d.since) >= timeout+d.jitter
}

// reset restarts the measurement, so that a new attempt is not started at once.
func (d *stallDetector) reset(now time.Time) { d.since = now }
