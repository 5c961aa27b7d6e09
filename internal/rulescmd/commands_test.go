package rulescmd

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"bluebellwind.example/internal/cli"
	"bluebellwind.example/rules"
)

// runCommandLine runs a command line as the operators' client does, with the text
// in as standard input. It returns the output and the exit code.
func runCommandLine(in, commandLine string) (string, int) {
	var root struct {
		cli.Globals
		Rules Commands `cmd:""`
	}
	var out, stderr bytes.Buffer
	env := &cli.Env{In: strings.NewReader(in), Out: &out}
	code := cli.Run(&root, &root.Globals, strings.Fields(commandLine), env, &stderr)
	return out.String() + stderr.String(), code
}

const (
	canopyRules   = "../../examples/canopy-pledge/rules.bbw"
	hraunvikRules = "../../examples/hraunvik/rules.bbw"
)

func TestCommandsPrintGoldenOutput(t *testing.T) {
	for _, c := range []struct {
		golden, commandLine string
		code                int
	}{
		{"check-canopy", "rules check --strict " + canopyRules, cli.CodeYes},
		{"check-hraunvik", "rules check --strict " + hraunvikRules, cli.CodeYes},
		{"check-five-mistakes", "rules check testdata/five-mistakes.bbw", cli.CodeNegativeResult},
		{"check-five-mistakes-json", "rules check -o json testdata/five-mistakes.bbw", cli.CodeNegativeResult},
		{"check-many-mistakes", "rules check testdata/many-mistakes.bbw", cli.CodeNegativeResult},
		{"check-warnings", "rules check testdata/warnings.bbw", cli.CodeYes},
		{"check-capacity", "rules check testdata/capacity.bbw", cli.CodeYes},
		{"check-warnings-json", "rules check --strict -o json testdata/warnings.bbw", cli.CodeNegativeResult},
		{"check-no-file", "rules check testdata/absent.bbw", cli.CodeFailure},
		{"check-help", "rules check --help", cli.CodeYes},
		{"explain-pledge", "rules explain " + canopyRules + " POST /pledges organisation=oakville-schools", cli.CodeYes},
		{"explain-batch", "rules explain " + canopyRules + " model=certificate-8b organisation=oakville-schools class=batch", cli.CodeYes},
		{"explain-json", "rules explain -o json " + hraunvikRules + " model=intake-summary-8b organisation=archive", cli.CodeYes},
		{"explain-refused", "rules explain " + hraunvikRules + " DELETE /clients/7 organisation=archive", cli.CodeNegativeResult},
		{"explain-refused-json", "rules explain -o json " + canopyRules + " model=briefing-8b", cli.CodeNegativeResult},
		{"explain-unknown-organisation", "rules explain " + canopyRules + " POST /pledges organisation=oakvile-schools", cli.CodeFailure},
		{"explain-unknown-field", "rules explain " + canopyRules + " modell=certificate-8b", cli.CodeFailure},
		{"explain-nothing", "rules explain " + canopyRules + " organisation=oakville-schools", cli.CodeFailure},
		{"explain-broken-file", "rules explain testdata/five-mistakes.bbw model=certificate-8b", cli.CodeFailure},
		{"diff-next", "rules diff " + canopyRules + " testdata/canopy-next.bbw", cli.CodeNegativeResult},
		{"diff-next-json", "rules diff -o json " + canopyRules + " testdata/canopy-next.bbw", cli.CodeNegativeResult},
		{"diff-reordered", "rules diff " + canopyRules + " testdata/canopy-reordered.bbw", cli.CodeYes},
		{"diff-usage", "rules diff " + canopyRules, cli.CodeFailure},
	} {
		t.Run(c.golden, func(t *testing.T) {
			out, code := runCommandLine("", c.commandLine)
			assert.Equal(t, code, c.code, out)
			golden.Assert(t, out, c.golden+".golden")
		})
	}
}

// Each invalid text yields an error that names file, line and field.
func TestBadInputNamesFileLineAndField(t *testing.T) {
	const validLine = "service a # asked for by x\n"
	var outputs strings.Builder
	for _, c := range []struct{ name, text string }{
		{"byte-order mark", "\xef\xbb\xbf" + validLine},
		{"CRLF", validLine + "service b # asked for by x\r\nservice c # asked for by x\r\n"},
		{"CRLF hides no other error", "service a # asked for by x\r\nservice a # asked for by x\r\n"},
		{"UTF-16", "\xff\xfes\x00e\x00"},
		{"not UTF-8", validLine + "service b # asked for by J\xf3n\n"},
		{"control character", validLine + "service b\x00 # asked for by x\n"},
		{"escape sequence", validLine + "service b # asked for by \x1b[31mx\n"},
		{"invisible character", validLine + "service b # asked for by \u202ex\n"},
		{"no-break space", validLine + "service\u00a0b # asked for by x\n"},
		{"long line", validLine + "service b # asked for by x: " + strings.Repeat("y", rules.MaxLineBytes) + "\n"},
		{"field twice", "organisation a share 1 share 2 token sha256:" + strings.Repeat("0", 64) + " # asked for by x\n"},
		{"long list", "group g models " + strings.Repeat("m,", 300) + "m # asked for by x\n"},
		{"just over 1 MB", strings.Repeat("#", rules.MaxFileBytes+1)},
	} {
		out, code := runCommandLine(c.text, "rules check -")
		assert.Equal(t, code, cli.CodeNegativeResult, out)
		fmt.Fprintf(&outputs, "%s\n%s", c.name, out)
	}
	golden.Assert(t, outputs.String(), "bad-input.golden")

	for _, text := range []string{"", validLine + strings.Repeat("\n", rules.MaxFileBytes-len(validLine)), strings.TrimSuffix(validLine, "\n"), "\tservice\ta\t# asked for by Þóra\n"} {
		out, code := runCommandLine(text, "rules check -")
		assert.Equal(t, code, cli.CodeYes, out)
	}
}
