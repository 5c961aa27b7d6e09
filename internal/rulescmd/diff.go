package rulescmd

import (
	"fmt"
	"io"

	"bluebellwind.example/internal/cli"
	"bluebellwind.example/rules"
)

// Diff is the command "rules diff".
type Diff struct {
	Old string `arg:"" help:"Rules file in force, or - for standard input."`
	New string `arg:"" help:"Rules file to come."`
}

// Help returns the description and examples that --help shows.
func (c *Diff) Help() string {
	return `Lines that are moved or reworded without an effect on callers are not listed.
Exit code 0: nothing changes for callers. 1: something does. 2: a file cannot
be used.

Examples:

    bluebellwind rules diff rules.bbw rules-new.bbw
    git show HEAD:rules.bbw | bluebellwind rules diff - rules.bbw`
}

// diffReport is the output of "rules diff".
type diffReport struct {
	Changes []rules.Change `json:"changes"`
}

// Run compares the files and prints the changes.
func (c *Diff) Run(env *cli.Env) error {
	old, err := loadRules(env, c.Old)
	if err != nil {
		return err
	}
	next, err := loadRules(env, c.New)
	if err != nil {
		return err
	}
	report := diffReport{Changes: rules.Diff(old, next)}
	if report.Changes == nil {
		report.Changes = []rules.Change{}
	}
	if err := env.Print(report, report.writeText); err != nil {
		return err
	}
	if len(report.Changes) > 0 {
		return cli.NegativeResult()
	}
	return nil
}

// writeText writes the changes for operators, one per line.
func (r diffReport) writeText(w io.Writer) {
	if len(r.Changes) == 0 {
		fmt.Fprintln(w, "nothing changes for callers")
	}
	for _, c := range r.Changes {
		fmt.Fprintln(w, c)
	}
}
