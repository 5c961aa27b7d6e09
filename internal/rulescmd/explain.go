package rulescmd

import (
	"fmt"
	"io"
	"strings"

	"bluebellwind.example/internal/cli"
	"bluebellwind.example/rules"
)

// Explain is the command "rules explain".
type Explain struct {
	File    string   `arg:"" help:"Rules file, or - for standard input."`
	Request []string `arg:"" help:"The request: METHOD /path or model=NAME, then organisation=NAME and class=CLASS if wanted."`
}

// Help returns the description and examples that --help shows.
func (c *Explain) Help() string {
	return `The first line that matches decides. The other lines are listed with the
reason why they do not. A request without class= is interactive.
Exit code 0: a line decides. 1: no line does, the request is refused. 2: the
file or the request cannot be read.

Examples:

    bluebellwind rules explain rules.bbw POST /pledges organisation=oakville-schools
    bluebellwind rules explain rules.bbw model=certificate-8b organisation=oakville-schools class=batch`
}

// Run explains the request and prints the explanation.
func (c *Explain) Run(env *cli.Env) error {
	request, err := rules.ParseRequest(strings.Join(c.Request, " "))
	if err != nil {
		return cli.Failure(err)
	}
	set, err := loadRules(env, c.File)
	if err != nil {
		return err
	}
	if err := set.CheckRequest(request); err != nil {
		return cli.Failure(err)
	}
	explanation := set.Explain(request)
	if err := env.Print(explanation, func(w io.Writer) { writeExplanation(w, explanation) }); err != nil {
		return err
	}
	if !explanation.Decided {
		return cli.NegativeResult()
	}
	return nil
}

// writeExplanation writes the explanation for operators.
func writeExplanation(w io.Writer, e rules.Explanation) {
	fmt.Fprintf(w, "%s\n", e.Request)
	if e.Request.Organisation == "" {
		fmt.Fprintln(w, "  (no organisation= given: lines that name organisations do not match)")
	}
	if e.Decided {
		fmt.Fprintf(w, "goes to %s\n", e.Decision)
		fmt.Fprintf(w, "  line %d: %s\n    %s\n", e.DecidingLine.Line, e.DecidingLine.Text, requesterText(*e.DecidingLine))
	} else {
		fmt.Fprintln(w, "is refused: no line matches it")
	}
	if len(e.OtherLines) > 0 {
		fmt.Fprintln(w, "the other lines:")
	}
	for _, l := range e.OtherLines {
		fmt.Fprintf(w, "  line %d: %s\n    no: %s\n", l.Line, l.Text, l.Why)
	}
}

// requesterText says who asked for a rule, and the reason if the rule has one.
func requesterText(s rules.Source) string {
	text := "asked for by " + s.RequestedBy
	if s.Reason != "" {
		text += ": " + s.Reason
	}
	return text
}
