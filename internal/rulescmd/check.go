package rulescmd

import (
	"fmt"
	"io"

	"bluebellwind.example/internal/cli"
	"bluebellwind.example/rules"
)

// Check is the command "rules check".
type Check struct {
	File   string `arg:"" help:"Rules file, or - for standard input."`
	Strict bool   `help:"Take warnings for errors."`
}

// Help returns the description and examples that --help shows.
func (c *Check) Help() string {
	return `All errors are listed at once, each with its line; warnings come with them.
Exit code 0: the file can be used. 1: it cannot (with --strict also: it has
warnings). 2: it could not be read.

Examples:

    bluebellwind rules check rules.bbw
    bluebellwind rules check --strict -o json rules.bbw
    git show HEAD:rules.bbw | bluebellwind rules check -`
}

// checkReport is the output of "rules check". The field set is nil if the file has
// errors; the text output counts its rules.
type checkReport struct {
	File     string          `json:"file"`
	Usable   bool            `json:"usable"`
	Errors   int             `json:"errors"`
	Warnings int             `json:"warnings"`
	Problems []rules.Problem `json:"problems"`
	set      *rules.Set
}

// Run checks the file and prints the report.
func (c *Check) Run(env *cli.Env) error {
	text, err := readFile(env, c.File)
	if err != nil {
		return err
	}
	set, problems := rules.Parse(c.File, text)
	report := checkReport{File: c.File, Usable: set != nil, Problems: problems, set: set}
	if problems == nil {
		report.Problems = []rules.Problem{}
	}
	for _, p := range problems {
		if p.Severity == rules.Error {
			report.Errors++
		} else {
			report.Warnings++
		}
	}
	if err := env.Print(report, report.writeText); err != nil {
		return err
	}
	if set == nil || c.Strict && report.Warnings > 0 {
		return cli.NegativeResult()
	}
	return nil
}

// writeText writes the report for operators.
func (r checkReport) writeText(w io.Writer) {
	for _, p := range r.Problems {
		fmt.Fprintf(w, "%s:%d: %s: %s: %s\n", p.File, p.Line, p.Severity, p.Field, p.Message)
	}
	if !r.Usable {
		fmt.Fprintf(w, "%s: cannot be used: %s, %s\n", r.File, countNoun(r.Errors, "error"), countNoun(r.Warnings, "warning"))
		return
	}
	s := r.set
	fmt.Fprintf(w, "%s: can be used: %s, %s, %s, %s; %s\n", r.File,
		countNoun(len(s.Organisations), "organisation"), countNoun(len(s.Groups), "group"),
		countNoun(len(s.Services), "service"), countNoun(len(s.Routes), "route"), countNoun(r.Warnings, "warning"))
}

// countNoun returns n and the noun, in the plural unless n is 1.
func countNoun(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
