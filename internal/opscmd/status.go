package opscmd

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"bluebellwind.example/internal/cli"
	"bluebellwind.example/internal/operatorpb"
)

// Status is the command "status".
type Status struct {
	Connection
}

// Help returns the description and the examples that --help prints.
func (s *Status) Help() string {
	return `Shows what the instances that were asked know together: zones, entries and
agents, the load of each backend server, groups, services and limits. A server
is suspected while an entry could not reach it lately.

Exit code 0: at least one instance answered. 2: none did.

Examples:

    bluebellwind status -c client.yaml
    bluebellwind status --entry 10.0.0.4:7001 --entry 10.0.1.4:7001 -o json \
      --authority ca.pem --certificate operator.pem --key operator.key`
}

// instanceLine is the row of one instance in the output.
type instanceLine struct {
	Name     string `json:"name"`
	Role     string `json:"role"`
	Zone     string `json:"zone"`
	Region   string `json:"region,omitempty"`
	Address  string `json:"address"`
	State    string `json:"state"`
	Revision int64  `json:"revision"`
}

// zoneLine is the number of instances in one zone.
type zoneLine struct {
	Zone     string `json:"zone"`
	Entries  int    `json:"entries"`
	Agents   int    `json:"agents"`
	Leaving  int    `json:"leaving"`
	NotHeard int    `json:"not_heard_of"`
}

// serverLine is the row of one backend server in the output.
type serverLine struct {
	Name      string  `json:"name"`
	Zone      string  `json:"zone"`
	Target    string  `json:"target"`
	State     string  `json:"state"`
	Running   uint32  `json:"running"`
	Slots     uint32  `json:"slots"`
	Queued    uint32  `json:"queued"`
	StepMs    float64 `json:"step_ms"`
	LoadAgeMs int64   `json:"load_age_ms"`
}

// targetLine holds the totals of one group or service.
type targetLine struct {
	Target  string `json:"target"`
	Servers int    `json:"servers"`
	Running uint32 `json:"running"`
	Slots   uint32 `json:"slots"`
	Queued  uint32 `json:"queued"`
}

// limitLine holds the rate limits of one organisation; 0 means no limit.
type limitLine struct {
	Organisation      string  `json:"organisation"`
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond   float64 `json:"tokens_per_second,omitempty"`
}

// statusReport is the output of "status".
type statusReport struct {
	AnsweredBy []string       `json:"answered_by"`
	Zones      []zoneLine     `json:"zones"`
	Instances  []instanceLine `json:"instances"`
	Targets    []targetLine   `json:"targets"`
	Servers    []serverLine   `json:"servers"`
	Limits     []limitLine    `json:"limits"`
	Unanswered []Unanswered   `json:"unanswered,omitempty"`
}

// Run prints the status.
func (s *Status) Run(env *cli.Env) error {
	c, err := s.newClient()
	if err != nil {
		return err
	}
	defer c.close()
	fleet, err := c.queryFleet()
	if err != nil {
		return err
	}
	c.refresh(fleet, 0)
	report := newStatusReport(fleet)
	return env.Print(report, report.writeText)
}

func newStatusReport(fleet *fleetState) *statusReport {
	r := &statusReport{
		AnsweredBy: fleet.answeredBy, Unanswered: fleet.unanswered, Zones: summarizeZones(fleet.instances), Targets: summarizeTargets(fleet.servers),
		Instances: []instanceLine{}, Servers: []serverLine{}, Limits: []limitLine{},
	}
	for _, inst := range fleet.instances {
		r.Instances = append(r.Instances, instanceLine{
			Name: inst.GetName(), Role: inst.GetRole(), Zone: inst.GetZone(), Region: inst.GetRegion(), Address: inst.GetAddress(),
			State: displayState(inst.GetHeard(), inst.GetLeaving(), false), Revision: inst.GetRules().GetRevision(),
		})
	}
	for _, s := range fleet.servers {
		r.Servers = append(r.Servers, serverLine{
			Name: s.GetName(), Zone: s.GetZone(), Target: targetName(s),
			State:   displayState(s.GetHeard(), s.GetLeaving(), s.GetSuspected()),
			Running: s.GetRunning(), Slots: s.GetSlots(), Queued: s.GetQueued(),
			StepMs: float64(s.GetStepUs()) / 1000, LoadAgeMs: s.GetLoadAgeMs(),
		})
	}
	for _, l := range fleet.limits {
		r.Limits = append(r.Limits, limitLine{l.GetOrganisation(), l.GetRequestsPerSecond(), l.GetTokensPerSecond()})
	}
	return r
}

func displayState(heard, leaving, suspected bool) string {
	switch {
	case leaving:
		return "leaving"
	case !heard:
		return string(notHeard)
	case suspected:
		return "suspected"
	default:
		return "serving"
	}
}

// targetName returns the name of the group or service of a server.
func targetName(s *operatorpb.Server) string {
	if s.GetGroup() != "" {
		return "group " + s.GetGroup()
	}
	return "service " + s.GetService()
}

// summarizeZones counts the instances in each zone.
func summarizeZones(all []*operatorpb.Instance) []zoneLine {
	out := []zoneLine{}
	for _, inst := range all {
		i, found := slices.BinarySearchFunc(out, inst.GetZone(), func(z zoneLine, name string) int { return cmp.Compare(z.Zone, name) })
		if !found {
			out = slices.Insert(out, i, zoneLine{Zone: inst.GetZone()})
		}
		z := &out[i]
		switch {
		case !inst.GetHeard():
			z.NotHeard++
		case inst.GetLeaving():
			z.Leaving++
		case inst.GetRole() == "entry":
			z.Entries++
		default:
			z.Agents++
		}
	}
	return out
}

// summarizeTargets returns the totals per group and service over the servers that
// accept new requests.
func summarizeTargets(all []*operatorpb.Server) []targetLine {
	out := []targetLine{}
	for _, s := range all {
		i, found := slices.BinarySearchFunc(out, targetName(s), func(t targetLine, name string) int { return cmp.Compare(t.Target, name) })
		if !found {
			out = slices.Insert(out, i, targetLine{Target: targetName(s)})
		}
		if s.GetLeaving() || !s.GetHeard() {
			continue
		}
		t := &out[i]
		t.Servers++
		t.Running += s.GetRunning()
		t.Slots += s.GetSlots()
		t.Queued += s.GetQueued()
	}
	return out
}

func (r *statusReport) writeText(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tENTRIES\tAGENTS\tLEAVING\tNOT HEARD OF")
	for _, z := range r.Zones {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\n", z.Zone, z.Entries, z.Agents, z.Leaving, z.NotHeard)
	}
	fmt.Fprintln(table, "\nINSTANCE\tROLE\tZONE\tADDRESS\tREVISION\tSTATE")
	for _, i := range r.Instances {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", i.Name, i.Role, i.Zone, i.Address, formatRevision(i.Revision), i.State)
	}
	fmt.Fprintln(table, "\nTARGET\tSERVERS\tRUNNING\tSLOTS\tQUEUED")
	for _, t := range r.Targets {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\n", t.Target, t.Servers, t.Running, t.Slots, t.Queued)
	}
	fmt.Fprintln(table, "\nSERVER\tZONE\tTARGET\tRUNNING\tSLOTS\tQUEUED\tSTEP\tSTATE")
	for _, s := range r.Servers {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%.1fms\t%s\n", s.Name, s.Zone, s.Target, s.Running, s.Slots, s.Queued, s.StepMs, s.State)
	}
	if len(r.Limits) > 0 {
		fmt.Fprintln(table, "\nORGANISATION\tREQUESTS/S\tTOKENS/S")
	}
	for _, l := range r.Limits {
		fmt.Fprintf(table, "%s\t%s\t%s\n", l.Organisation, formatLimit(l.RequestsPerSecond), formatLimit(l.TokensPerSecond))
	}
	_ = table.Flush() // Errors of the output, such as a closed pipe, are ignored.
	printUnanswered(w, r.Unanswered)
}

func formatLimit(rate float64) string {
	if rate == 0 {
		return "-"
	}
	return fmt.Sprint(rate)
}
