package opscmd

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"bluebellwind.example/internal/cli"
	"bluebellwind.example/internal/operatorpb"
)

// pollInterval is the time between two queries of a command with --wait.
const pollInterval = 250 * time.Millisecond

// Rollout is the command "rollout".
type Rollout struct {
	Connection
	Revision int64         `help:"The revision that should be in force; the highest that any instance has, if left out."`
	Wait     bool          `help:"Wait until it is in force at every instance that is seen."`
	WaitFor  time.Duration `default:"30s" help:"How long --wait waits at most."`
}

// Help returns the description and the examples that --help prints.
func (r *Rollout) Help() string {
	return `Instances that lag are listed with the reason: the rules were refused, two
contents have one number, the configuration service cannot be read, or the
instance is merely behind. An instance that only the platform's list names, and
that does not answer, is "not heard of": it may be cut off, or be gone while the
list lags. It is shown and does not count.

Exit code 0: the revision is in force at every instance that is seen. 1: it is
not (with --wait: not within --wait-for). 2: no instance answered.

Examples:

    bluebellwind rollout -c client.yaml
    bluebellwind rollout -c client.yaml --revision 42 --wait
    bluebellwind rollout --entry 10.0.0.4:7001 -o json \
      --authority ca.pem --certificate operator.pem --key operator.key`
}

// rolloutState is the state of an instance relative to the expected revision, as
// printed.
type rolloutState string

const (
	inForce       rolloutState = "in force"
	refused       rolloutState = "refused"
	conflict      rolloutState = "conflict"
	sourceFailing rolloutState = "source failing"
	behind        rolloutState = "behind"
	notHeard      rolloutState = "not heard of"
	noReport      rolloutState = "no report yet"
)

// rolloutLine is the row of one instance in the output.
type rolloutLine struct {
	Instance string       `json:"instance"`
	Role     string       `json:"role"`
	Zone     string       `json:"zone"`
	Revision int64        `json:"revision"`
	State    rolloutState `json:"state"`
	Reason   string       `json:"reason,omitempty"`
	Leaving  bool         `json:"leaving,omitempty"`
}

// rolloutReport is the output of "rollout".
type rolloutReport struct {
	Revision   int64         `json:"revision"`
	InForce    int           `json:"in_force"`
	Seen       int           `json:"seen"`
	NotHeard   int           `json:"not_heard_of"`
	Instances  []rolloutLine `json:"instances"`
	Unanswered []Unanswered  `json:"unanswered,omitempty"`
}

// Run prints the state of the rollout. With --wait it first waits until the rollout
// is complete or --wait-for has passed.
func (r *Rollout) Run(env *cli.Env) error {
	c, err := r.newClient()
	if err != nil {
		return err
	}
	defer c.close()
	deadline := time.Now().Add(r.WaitFor)
	for {
		report, err := r.fetchReport(c)
		done := err == nil && report.complete()
		if r.Wait && !done && time.Now().Before(deadline) {
			time.Sleep(pollInterval)
			continue
		}
		if err != nil {
			return err
		}
		if err := env.Print(report, report.writeText); err != nil {
			return err
		}
		if !done {
			return cli.NegativeResult()
		}
		return nil
	}
}

// fetchReport queries the instances and returns the state of the rollout.
func (r *Rollout) fetchReport(c *client) (*rolloutReport, error) {
	fleet, err := c.queryFleet()
	if err != nil {
		return nil, err
	}
	return newRolloutReport(fleet, c.refresh(fleet, r.Revision)), nil
}

// refresh updates the instances that seem to lag by calling them directly. It
// returns the expected revision: atLeast, or a higher one that an instance
// reports.
func (c *client) refresh(fleet *fleetState, atLeast int64) int64 {
	expected := max(atLeast, expectedRevision(fleet.instances))
	c.queryLagging(fleet, func(inst *operatorpb.Instance) bool { return rolloutStateOf(inst, expected, 0) != inForce })
	return max(atLeast, expectedRevision(fleet.instances))
}

// expectedRevision returns the highest revision that an instance has in force or
// has refused.
func expectedRevision(all []*operatorpb.Instance) int64 {
	expected := int64(0)
	for _, inst := range all {
		expected = max(expected, inst.GetRules().GetRevision(), inst.GetRules().GetRefusedRevision())
	}
	return expected
}

// expectedDigest returns the digest of the rules that most instances have under
// the revision, or the highest digest in case of a tie. Instances with another
// digest are then shown with a conflict.
func expectedDigest(all []*operatorpb.Instance, revision int64) uint64 {
	count := map[uint64]int{}
	best := uint64(0)
	for _, inst := range all {
		if inst.GetRules().GetRevision() != revision {
			continue
		}
		d := inst.GetRules().GetDigest()
		count[d]++
		if count[d] > count[best] || (count[d] == count[best] && d > best) {
			best = d
		}
	}
	return best
}

func newRolloutReport(fleet *fleetState, expected int64) *rolloutReport {
	report := &rolloutReport{Revision: expected, Instances: []rolloutLine{}, Unanswered: fleet.unanswered}
	digest := expectedDigest(fleet.instances, expected)
	for _, inst := range fleet.instances {
		line := rolloutLine{
			Instance: inst.GetName(), Role: inst.GetRole(), Zone: inst.GetZone(), Leaving: inst.GetLeaving(),
			Revision: inst.GetRules().GetRevision(),
			State:    rolloutStateOf(inst, expected, digest),
		}
		line.Reason = rolloutReason(inst, line.State)
		report.Instances = append(report.Instances, line)
		switch line.State {
		case notHeard:
			report.NotHeard++
		case inForce:
			report.InForce++
			report.Seen++
		default:
			report.Seen++
		}
	}
	return report
}

// rolloutStateOf compares one instance with the expected revision and digest. With
// digest 0 it compares only the revision.
func rolloutStateOf(inst *operatorpb.Instance, expected int64, digest uint64) rolloutState {
	r := inst.GetRules()
	switch {
	case !inst.GetHeard():
		return notHeard
	case r == nil:
		return noReport
	case r.GetConflict(), r.GetRevision() == expected && digest != 0 && r.GetDigest() != digest:
		return conflict
	case expected > 0 && r.GetRevision() >= expected:
		return inForce
	case r.GetRefusedRevision() >= expected && expected > 0:
		return refused
	case r.GetSourceFailing():
		return sourceFailing
	default:
		return behind
	}
}

// rolloutReason returns the text that explains the state s, or "".
func rolloutReason(inst *operatorpb.Instance, s rolloutState) string {
	r := inst.GetRules()
	switch s {
	case refused:
		return r.GetRefusedReason()
	case conflict:
		return "two contents were published under one number"
	case sourceFailing:
		return "the configuration service cannot be read"
	case inForce:
		if r.GetStaleRevision() != 0 {
			return fmt.Sprintf("the configuration service serves the older revision %d", r.GetStaleRevision())
		}
		if r.GetSourceFailing() {
			return "the configuration service cannot be read"
		}
	}
	return ""
}

// complete reports whether the revision is in force at all instances that were
// heard from, of which there is at least one.
func (r *rolloutReport) complete() bool { return r.Seen > 0 && r.InForce == r.Seen }

func (r *rolloutReport) writeText(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "INSTANCE\tROLE\tZONE\tREVISION\tSTATE")
	for _, l := range r.Instances {
		text := string(l.State)
		if l.Leaving {
			text += ", leaving"
		}
		if l.Reason != "" {
			text += ": " + l.Reason
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", l.Instance, l.Role, l.Zone, formatRevision(l.Revision), text)
	}
	_ = table.Flush() // Errors of the output, such as a closed pipe, are ignored.
	printUnanswered(w, r.Unanswered)
	fmt.Fprintf(w, "revision %d is in force at %d of %d instances seen", r.Revision, r.InForce, r.Seen)
	if r.NotHeard > 0 {
		fmt.Fprintf(w, "; %d in the platform's list not heard of", r.NotHeard)
	}
	fmt.Fprintln(w)
}

func formatRevision(n int64) string {
	if n == 0 {
		return "-"
	}
	return fmt.Sprint(n)
}
