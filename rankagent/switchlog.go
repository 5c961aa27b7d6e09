package rankagent

import (
	"time"

	"bluebellwind.example/groupmap"
)

// switchTimes records when a switch that this agent started reached its stages, so that one
// log line tells which stage took long. The zero value records no switch.
type switchTimes struct {
	version   uint64
	startedAt time.Time
	// preparedAt, heldAt and armedAt are when all ranks were first seen prepared, when one
	// was first seen held, and when all were first seen armed; zero until then.
	preparedAt, heldAt, armedAt time.Time
	// lastPrepared is the lowest rank that was unprepared when all were last seen not to be
	// prepared, or -1.
	lastPrepared int
	// repeatedPrepares is the number of orders to prepare that were sent again.
	repeatedPrepares int
}

// beginSwitchTimes starts the record of a switch to the given version.
func (l *leader) beginSwitchTimes(version uint64, now time.Time) {
	l.switchTimes = switchTimes{version: version, startedAt: now, lastPrepared: -1}
}

// noteSwitchOrders counts the orders of the recorded switch that are sent again.
func (l *leader) noteSwitchOrders(orders []groupmap.Order) {
	for _, o := range orders {
		if o.Kind == groupmap.Prepare && o.Resent && o.Version == l.switchTimes.version {
			l.switchTimes.repeatedPrepares++
			l.agent.metrics.preparesRepeated.Inc()
		}
	}
}

// noteSwitchStage updates the record of the switch in progress, and logs the record once
// the switch is over.
func (l *leader) noteSwitchStage(now time.Time) {
	t := &l.switchTimes
	if t.version == 0 {
		return
	}
	p := l.mapSwitch.Progress(t.version)
	if t.preparedAt.IsZero() && p.Unprepared >= 0 {
		t.lastPrepared = p.Unprepared
	}
	setOnce := func(at *time.Time, reached bool) {
		if reached && at.IsZero() {
			*at = now
		}
	}
	setOnce(&t.preparedAt, p.Prepared == l.group.Size)
	setOnce(&t.heldAt, p.Held)
	setOnce(&t.armedAt, p.Armed == l.group.Size)
	if !p.Switched && (l.mapSwitch.Unfinished() || p.Armed > 0) {
		return
	}
	l.agent.log.Info().Str("event", "map_switched").Str("group", l.group.Name).Uint64("version", t.version).
		Bool("switched", p.Switched).Int64("prepared_ms", t.since(t.preparedAt)).Int64("held_ms", t.since(t.heldAt)).
		Int64("armed_ms", t.since(t.armedAt)).Int64("total_ms", t.since(now)).Int("last_prepared", t.lastPrepared).
		Int("repeated_prepares", t.repeatedPrepares).Msg("")
	if p.Switched {
		l.agent.metrics.switchSeconds.Update(now.Sub(t.startedAt).Seconds())
	}
	l.switchTimes = switchTimes{}
}

// since returns the milliseconds from the start of the switch to at, or -1 if at is zero.
func (t *switchTimes) since(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return at.Sub(t.startedAt).Milliseconds()
}
