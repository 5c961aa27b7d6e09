package opscmd

import (
	"fmt"
	"io"
	"slices"
	"time"

	"bluebellwind.example/internal/cli"
	"bluebellwind.example/internal/operatorpb"
)

// Drain is the command "drain".
type Drain struct {
	Connection
	Instance string        `arg:"" help:"Name of the instance, as status shows it."`
	Wait     bool          `help:"Wait until the process has ended."`
	WaitFor  time.Duration `default:"2m" help:"How long --wait waits at most."`
}

// Help returns the description and the examples that --help prints.
func (d *Drain) Help() string {
	return `Asks the one process to leave: it marks itself as leaving, takes no new work,
finishes what it has and ends, as at SIGTERM. Nothing shared is written; a
process that the platform starts in its place serves as usual.

Exit code 0: it drains (with --wait: it has ended). 1: no instance has this
name (with --wait: it has not ended within --wait-for). 2: no instance
answered, or this one did not.

Examples:

    bluebellwind drain -c client.yaml draft-ga-1-1
    bluebellwind drain -c client.yaml --wait entry-nc-1`
}

// drainReport is the output of "drain".
type drainReport struct {
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Already  bool   `json:"already_draining"`
	Active   uint32 `json:"active"`
	Ended    bool   `json:"ended"`
}

// Run sends a drain request to the instance.
func (d *Drain) Run(env *cli.Env) error {
	c, err := d.newClient()
	if err != nil {
		return err
	}
	defer c.close()
	fleet, err := c.queryFleet()
	if err != nil {
		return err
	}
	inst, err := c.find(fleet.instances, d.Instance)
	if err != nil {
		return cli.Failure(err)
	}
	if inst == nil {
		return &cli.ExitError{Code: cli.CodeNegativeResult, Err: fmt.Errorf("no instance is named %q; see \"bluebellwind status\"", d.Instance)}
	}
	report, err := c.drain(inst)
	if err != nil {
		return cli.Failure(fmt.Errorf("%s at %s: %w", inst.GetName(), inst.GetAddress(), err))
	}
	if d.Wait {
		report.Ended = c.waitExit(inst, time.Now().Add(d.WaitFor))
	}
	if err := env.Print(report, report.writeText); err != nil {
		return err
	}
	if d.Wait && !report.Ended {
		return cli.NegativeResult()
	}
	return nil
}

// find returns the named instance, or nil. If only the platform's list contains
// it, find calls the instance to get its name and incarnation.
func (c *client) find(all []*operatorpb.Instance, name string) (*operatorpb.Instance, error) {
	i := slices.IndexFunc(all, func(inst *operatorpb.Instance) bool { return inst.GetName() == name })
	if i < 0 {
		return nil, nil
	}
	inst := all[i]
	if inst.GetHeard() {
		return inst, nil
	}
	operator, ctx, cancel := c.operatorAt(inst.GetAddress())
	defer cancel()
	self, err := operator.Self(ctx, &operatorpb.SelfRequest{})
	if err != nil {
		return nil, fmt.Errorf("%s is only in the platform's list and does not answer at %s: %w", name, inst.GetAddress(), err)
	}
	if self.GetName() != name {
		return nil, nil // Another instance uses this address now.
	}
	return self, nil
}

func (c *client) drain(inst *operatorpb.Instance) (*drainReport, error) {
	operator, ctx, cancel := c.operatorAt(inst.GetAddress())
	defer cancel()
	reply, err := operator.Drain(ctx, &operatorpb.DrainRequest{Name: inst.GetName(), Incarnation: inst.GetIncarnation()})
	if err != nil {
		return nil, err
	}
	return &drainReport{
		Instance: inst.GetName(), Address: inst.GetAddress(),
		Already: reply.GetAlready(), Active: reply.GetActive(),
	}, nil
}

// waitExit waits until the process has exited, and reports whether it did so
// before the deadline.
func (c *client) waitExit(inst *operatorpb.Instance, deadline time.Time) bool {
	for time.Now().Before(deadline) {
		if c.hasExited(inst) {
			return true
		}
		time.Sleep(pollInterval)
	}
	return c.hasExited(inst)
}

// hasExited reports whether the process has exited: its address refuses the
// connection, or another process answers there.
func (c *client) hasExited(inst *operatorpb.Instance) bool {
	operator, ctx, cancel := c.operatorAt(inst.GetAddress())
	defer cancel()
	self, err := operator.Self(ctx, &operatorpb.SelfRequest{})
	if err == nil {
		return self.GetName() != inst.GetName() || self.GetIncarnation() != inst.GetIncarnation()
	}
	return isConnRefused(err)
}

func (r *drainReport) writeText(w io.Writer) {
	switch {
	case r.Ended:
		fmt.Fprintf(w, "%s has drained and ended\n", r.Instance)
	case r.Already:
		fmt.Fprintf(w, "%s was draining already: %d requests in flight\n", r.Instance, r.Active)
	default:
		fmt.Fprintf(w, "%s drains: %d requests in flight\n", r.Instance, r.Active)
	}
}
