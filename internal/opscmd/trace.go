package opscmd

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"bluebellwind.example/internal/cli"
	"bluebellwind.example/internal/operatorpb"
)

// Trace is the command "trace".
type Trace struct {
	Connection
	ID string `arg:"" help:"The request's id, from X-Request-Id of its answer or from a log."`

	Log    []string      `name:"log" placeholder:"FILE" help:"Read logs of gateways and agents instead of asking entries; - is standard input. May be given more than once."`
	Around time.Duration `default:"2s" help:"With --log: also show what the same instances learnt of servers, configuration and peers so long before and after."`
}

// Help returns the description and the examples that --help prints.
func (t *Trace) Help() string {
	return `Asks every entry that it is given or learns of. Shows the rule that decided,
each attempt with its server and verdict, and the end. An entry remembers its
last few thousand requests and nothing of their content.

Exit code 0: the request was found. 1: no entry that answered remembers it.
2: no instance answered.

Examples:

    bluebellwind trace -c client.yaml 0198c5b4-58a3-7cc0-9d6a-5f1f9a1b2c3d
    bluebellwind trace --log gateway-1.log --log gateway-2.log 4fe0721edb5b55e8
    cat *.log | bluebellwind trace --log - --around 0s 4fe0721edb5b55e8
    bluebellwind trace -c client.yaml -o json 0198c5b4-58a3-7cc0-9d6a-5f1f9a1b2c3d`
}

// traceEvent is one event in the output, both JSON and text.
type traceEvent struct {
	Entry   string  `json:"entry"`
	AtMs    int64   `json:"at_unix_ms"`
	Event   string  `json:"event"`
	TookMs  float64 `json:"took_ms,omitempty"`
	Result  string  `json:"result,omitempty"`
	Verdict string  `json:"verdict,omitempty"`
	Reason  string  `json:"reason,omitempty"`

	Organisation string `json:"organisation,omitempty"`
	Class        string `json:"class,omitempty"`
	Revision     int64  `json:"revision,omitempty"`
	Line         int32  `json:"line,omitempty"`
	Rule         string `json:"rule,omitempty"`
	Target       string `json:"target,omitempty"`
	TimeoutMs    int64  `json:"timeout_ms,omitempty"`

	Attempt string `json:"attempt,omitempty"`
	Server  string `json:"server,omitempty"`
}

// traceReport is the output of "trace".
type traceReport struct {
	Request    string       `json:"request"`
	Asked      int          `json:"entries_asked"`
	Events     []traceEvent `json:"events"`
	Unanswered []Unanswered `json:"unanswered,omitempty"`
}

// Run prints the events of the request.
func (t *Trace) Run(env *cli.Env) error {
	if len(t.Log) > 0 {
		return t.runFromLogs(env)
	}
	c, err := t.newClient()
	if err != nil {
		return err
	}
	defer c.close()
	fleet, err := c.queryFleet()
	if err != nil {
		return err
	}
	report := c.trace(t.ID, fleet)
	if err := env.Print(report, report.writeText); err != nil {
		return err
	}
	if len(report.Events) == 0 {
		return cli.NegativeResult()
	}
	return nil
}

// trace queries all entries for the events of a request and sorts them by time.
func (c *client) trace(id string, fleet *fleetState) *traceReport {
	addresses := entryAddresses(c.addresses, fleet)
	replies := make([]*operatorpb.TraceReply, len(addresses))
	report := &traceReport{Request: id, Asked: len(addresses), Events: []traceEvent{}}
	report.Unanswered = forEachAddress(addresses, func(i int, address string) (err error) {
		operator, ctx, cancel := c.operatorAt(address)
		defer cancel()
		replies[i], err = operator.Trace(ctx, &operatorpb.TraceRequest{RequestId: id})
		return err
	})
	for _, r := range replies {
		for _, e := range r.GetEvents() {
			report.Events = append(report.Events, newTraceEvent(r.GetAnsweredBy(), e))
		}
	}
	slices.SortStableFunc(report.Events, func(a, b traceEvent) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return report
}

// entryAddresses returns the given addresses and those of the entries in the
// fleet that were heard from, without duplicates.
func entryAddresses(addresses []string, fleet *fleetState) []string {
	out := slices.Clone(addresses)
	for _, inst := range fleet.instances {
		if inst.GetRole() == "entry" && inst.GetHeard() {
			out = append(out, inst.GetAddress())
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// newTraceEvent converts an event of the named entry.
func newTraceEvent(entry string, e *operatorpb.Event) traceEvent {
	out := traceEvent{Entry: entry, AtMs: e.GetAtUnixMs()}
	switch what := e.GetWhat().(type) {
	case *operatorpb.Event_Routed:
		r := what.Routed
		out.Event = "routed"
		out.Organisation, out.Class, out.Revision = r.GetOrganisation(), r.GetClass(), r.GetRevision()
		out.Line, out.Rule, out.Target, out.TimeoutMs = r.GetLine(), r.GetRule(), r.GetTarget(), r.GetTimeoutMs()
	case *operatorpb.Event_Attempt:
		out.Event = "attempt"
		out.Attempt, out.Server = what.Attempt.GetAttemptId(), what.Attempt.GetServer()
		out.setOutcome(what.Attempt.GetTookUs(), what.Attempt.GetOutcome())
	case *operatorpb.Event_Answered:
		out.Event = "answered"
		out.setOutcome(what.Answered.GetTookUs(), what.Answered.GetOutcome())
	}
	return out
}

// setOutcome sets the duration and the result; a nil outcome means success.
func (e *traceEvent) setOutcome(tookUs int64, o *operatorpb.Outcome) {
	e.TookMs = float64(tookUs) / 1000
	e.Result = "whole"
	if o != nil {
		e.Result, e.Verdict, e.Reason = o.GetCode(), o.GetVerdict(), o.GetReason()
	}
}

func (r *traceReport) writeText(w io.Writer) {
	printUnanswered(w, r.Unanswered)
	if len(r.Events) == 0 {
		fmt.Fprintf(w, "request %s: not remembered by any of the %d entries asked\n", r.Request, r.Asked)
		return
	}
	fmt.Fprintf(w, "request %s\n", r.Request)
	for _, e := range r.Events {
		fmt.Fprintf(w, "%s  %s  %s\n", time.UnixMilli(e.AtMs).UTC().Format("15:04:05.000"), e.Entry, e.description())
	}
}

// description returns the human-readable text of the event.
func (e *traceEvent) description() string {
	if e.Event == "routed" {
		return fmt.Sprintf("routed: organisation %s, class %s, to %s, %dms left\n    decided by line %d of revision %d: %s",
			e.Organisation, e.Class, e.Target, e.TimeoutMs, e.Line, e.Revision, e.Rule)
	}
	text := e.Event
	if e.Server != "" {
		text += " at " + e.Server
	}
	text += fmt.Sprintf(": %s after %.1fms", e.Result, e.TookMs)
	if e.Verdict != "" {
		text += ", " + e.Verdict
	}
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	return text
}
