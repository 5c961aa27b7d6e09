package entry

import (
	"context"
	"errors"
	"sync/atomic"

	"bluebellwind.example/limits"
	"bluebellwind.example/membership"
	"bluebellwind.example/rules"
)

// rulesSnapshot is one revision of the rules. A request uses the same snapshot
// from start to end.
type rulesSnapshot struct {
	revision int64
	set      *rules.Set
}

// rulesState holds the rules in force. It is safe for concurrent use.
type rulesState struct{ current atomic.Pointer[rulesSnapshot] }

// load returns the rules in force, or nil if there are none yet.
func (s *rulesState) load() *rulesSnapshot { return s.current.Load() }

// parseRules parses text. If the rules are not usable it returns the first
// problem of severity Error.
func parseRules(text []byte) (*rules.Set, error) {
	set, problems := rules.Parse("rules", text)
	if set != nil {
		return set, nil
	}
	for _, p := range problems {
		if p.Severity == rules.Error {
			return nil, errors.New(p.String())
		}
	}
	return nil, errors.New("rules: not usable")
}

// validateRules is the check that a revision must pass to be accepted by the
// membership.
func validateRules(text []byte) error {
	_, err := parseRules(text)
	return err
}

// watchRules puts each revision that the membership accepts in force, until ctx
// ends.
func (e *Entry) watchRules(ctx context.Context) {
	lastStatus := membership.RevisionStatus{}
	for ctx.Err() == nil {
		changed := e.peering.Store.Changed()
		e.applyRules(e.peering.Store.Current())
		lastStatus = e.logRulesStatus(lastStatus, e.peering.Store.Status())
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// applyRules puts r in force if it is usable and not in force already.
func (e *Entry) applyRules(r membership.Revision) {
	old := e.rulesState.load()
	if r.Number == 0 || (old != nil && old.revision == r.Number && e.appliedDigest == r.Digest) {
		return
	}
	set, err := parseRules(r.Text)
	if err != nil {
		e.log.Error().Str("event", "rules_unusable").Int64("revision", r.Number).Str("cause", err.Error()).Msg("")
		return
	}
	e.appliedDigest = r.Digest
	e.rulesState.current.Store(&rulesSnapshot{revision: r.Number, set: set})
	e.quota.setLimits(limitsOf(set))
	e.log.Info().Str("event", "rules_in_force").Int64("revision", r.Number).Msg("")
}

// logRulesStatus logs the problems in current that were not in previous, and
// returns current.
func (e *Entry) logRulesStatus(previous, current membership.RevisionStatus) membership.RevisionStatus {
	if current.Refused.Number > previous.Refused.Number {
		e.log.Error().Str("event", "rules_refused").
			Int64("revision", current.Refused.Number).
			Str("cause", current.Refused.Reason).Msg("")
	}
	if current.Conflict && !previous.Conflict {
		e.log.Error().Str("event", "rules_conflict").Int64("revision", current.Number).Msg("")
	}
	if current.StaleNumber != 0 && previous.StaleNumber == 0 {
		e.log.Warn().Str("event", "rules_stale").Int64("revision", current.StaleNumber).Int64("in_force", current.Number).Msg("")
	}
	return current
}

// limitsOf returns the limits of all organisations in set.
func limitsOf(set *rules.Set) []limits.Limit {
	out := make([]limits.Limit, 0, len(set.Organisations))
	for _, o := range set.Organisations {
		out = append(out, limits.Limit{
			Organisation: o.Name,
			Requests:     o.RequestsPerSecond,
			Tokens:       o.TokensPerSecond,
		})
	}
	return out
}
