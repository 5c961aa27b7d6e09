package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"time"
)

// invalidField describes a setting that is missing or has an invalid value.
type invalidField struct{ field, msg string }

var logLevels = []string{"debug", "info", "warn", "error"}

func (s *Settings) setRoleDefaults(role Role) {
	s.Connections.setDefaults()
	if s.Connections.Callers == 0 {
		s.Connections.Callers = defaultCallerConnections
	}
	if role == RoleEntry && s.Entry != nil {
		s.Entry.setDefaults()
	}
	if role == RoleAgent && s.Agent != nil {
		s.Agent.setDefaults()
	}
}

func (e *Entry) setDefaults() {
	if e.MaxBodyBytes == 0 {
		e.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if e.HeldBytes == 0 {
		e.HeldBytes = DefaultHeldBytes
	}
	if e.HeaderBytes == 0 {
		e.HeaderBytes = DefaultHeaderBytes
	}
	if e.RequestTimeout == 0 {
		e.RequestTimeout = DefaultRequestTimeout
	}
	if e.DrainDelay == 0 {
		e.DrainDelay = DefaultDrainDelay
	}
}

func (a *Agent) setDefaults() {
	if a.Slots == 0 {
		a.Slots = DefaultSlots
	}
	if a.Queue == 0 {
		a.Queue = DefaultQueue
	}
	if a.MaxWait == 0 {
		a.MaxWait = DefaultMaxWait
	}
	if a.JournalWindow == 0 {
		a.JournalWindow = DefaultJournalWindow
	}
	if a.JournalMaxBytes == 0 {
		a.JournalMaxBytes = DefaultJournalMaxBytes
	}
	if a.Ranks != nil {
		a.Ranks.setDefaults()
	}
}

func (s *Settings) check(role Role) *invalidField {
	checks := []func() *invalidField{s.checkIdentity, s.checkCommon, s.checkKeys}
	switch role {
	case RoleEntry:
		checks = append(checks, s.checkEntry)
	case RoleAgent:
		checks = append(checks, s.checkAgent, s.checkRanks)
	}
	for _, check := range checks {
		if invalid := check(); invalid != nil {
			return invalid
		}
	}
	return nil
}

func (s *Settings) checkIdentity() *invalidField {
	return firstMissing(
		fieldValue{"name", s.Name},
		fieldValue{"zone", s.Zone},
		fieldValue{"platform.url", s.Platform.URL},
		fieldValue{"platform.rules_key", s.Platform.RulesKey},
	)
}

func (s *Settings) checkCommon() *invalidField {
	if invalid := checkAddress("listen.peers", s.Listen.Peers); invalid != nil {
		return invalid
	}
	if invalid := checkAddress("listen.admin", s.Listen.Admin); invalid != nil {
		return invalid
	}
	if invalid := checkURL("platform.url", s.Platform.URL); invalid != nil {
		return invalid
	}
	for i, seed := range s.Seeds {
		if invalid := checkAddress(fmt.Sprintf("seeds[%d]", i), seed); invalid != nil {
			return invalid
		}
	}
	if invalid := s.Connections.check(); invalid != nil {
		return invalid
	}
	if !slices.Contains(logLevels, s.Log.Level) {
		return &invalidField{"log.level", fmt.Sprintf("%q is not one of %v", s.Log.Level, logLevels)}
	}
	if invalid := checkRange("join_timeout", s.JoinTimeout, minJoinTimeout, maxJoinTimeout); invalid != nil {
		return invalid
	}
	return checkRange("drain_timeout", s.DrainTimeout, time.Second, maxDrainTimeout)
}

func (s *Settings) checkKeys() *invalidField {
	return firstMissing(
		fieldValue{"keys.authority", s.Keys.Authority},
		fieldValue{"keys.certificate", s.Keys.Certificate},
		fieldValue{"keys.key", s.Keys.Key},
		fieldValue{"keys.ticket", s.Keys.Ticket},
	)
}

func (s *Settings) checkEntry() *invalidField {
	if s.Entry == nil {
		return &invalidField{"entry", "is missing: the process was started as an entry"}
	}
	if invalid := checkAddress("listen.callers", s.Listen.Callers); invalid != nil {
		return invalid
	}
	if invalid := firstMissing(
		fieldValue{"keys.callers_certificate", s.Keys.CallersCertificate},
		fieldValue{"keys.callers_key", s.Keys.CallersKey},
	); invalid != nil {
		return invalid
	}
	if n := s.Entry.MaxBodyBytes; n < 1 || n > maxMaxBodyBytes {
		return &invalidField{"entry.max_body_bytes", fmt.Sprintf("%d is outside 1 to %d", n, maxMaxBodyBytes)}
	}
	if e := s.Entry; e.HeldBytes < BodyCopies*e.MaxBodyBytes {
		return &invalidField{"entry.held_bytes", fmt.Sprintf("%d has no room for a body of entry.max_body_bytes, which takes %d", e.HeldBytes, BodyCopies*e.MaxBodyBytes)}
	}
	if n := s.Entry.HeaderBytes; n < minHeaderBytes {
		return &invalidField{"entry.header_bytes", fmt.Sprintf("%d is less than %d", n, minHeaderBytes)}
	}
	if invalid := checkRange("entry.drain_grace", s.Entry.DrainDelay, time.Millisecond, maxDrainDelay); invalid != nil {
		return invalid
	}
	return checkRange("entry.request_timeout", s.Entry.RequestTimeout, time.Millisecond, time.Hour)
}

func (s *Settings) checkAgent() *invalidField {
	a := s.Agent
	if a == nil {
		return &invalidField{"agent", "is missing: the process was started as an agent"}
	}
	if invalid := checkURL("agent.backend", a.Backend); invalid != nil {
		return invalid
	}
	if (a.Group == "") == (a.Service == "") {
		return &invalidField{"agent.group", "exactly one of agent.group and agent.service must be set"}
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		return &invalidField{"agent.slots", fmt.Sprintf("%d is outside 1 to %d", a.Slots, maxSlots)}
	}
	if a.Queue < 1 || a.Queue > maxQueue {
		return &invalidField{"agent.queue", fmt.Sprintf("%d is outside 1 to %d", a.Queue, maxQueue)}
	}
	if invalid := checkRange("agent.max_wait", a.MaxWait, time.Millisecond, maxMaxWait); invalid != nil {
		return invalid
	}
	if a.JournalMaxBytes < 1<<20 {
		return &invalidField{"agent.journal_max_bytes", "is below the minimum of 1048576"}
	}
	return checkRange("agent.journal_window", a.JournalWindow, minJournalWindow, maxJournalWindow)
}

// fieldValue pairs the path of a field with its text.
type fieldValue struct{ field, value string }

// firstMissing returns the first field whose value is empty, or nil.
func firstMissing(fields ...fieldValue) *invalidField {
	for _, f := range fields {
		if f.value == "" {
			return &invalidField{f.field, "is missing"}
		}
	}
	return nil
}

func checkAddress(field, value string) *invalidField {
	if value == "" {
		return &invalidField{field, "is missing"}
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &invalidField{field, fmt.Sprintf("%q is not IP:port", value)}
	}
	return nil
}

func checkURL(field, value string) *invalidField {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return &invalidField{field, fmt.Sprintf("%q is not an http or https URL", value)}
	}
	return nil
}

func checkRange(field string, value Duration, low, high time.Duration) *invalidField {
	if value.Std() < low || value.Std() > high {
		return &invalidField{field, fmt.Sprintf("%s is outside %s to %s", value.Std(), low, high)}
	}
	return nil
}
