// Package rulescmd implements the commands of the operators' client that work on
// rules files. They need no running instance.
package rulescmd

import (
	"fmt"
	"io"
	"os"

	"bluebellwind.example/internal/cli"
	"bluebellwind.example/rules"
)

// Commands is the command group "rules" of the operators' client.
type Commands struct {
	Check   Check   `cmd:"" help:"List all errors and warnings of a rules file."`
	Explain Explain `cmd:"" help:"Say which line decides a request, and why the others do not."`
	Diff    Diff    `cmd:"" help:"Say what a new file changes for callers."`
}

// standardInput is the file name that denotes standard input.
const standardInput = "-"

// readFile returns the text of a file. It reads at most one byte more than
// rules.MaxFileBytes, so that Parse rejects a file that is too large.
func readFile(env *cli.Env, file string) ([]byte, error) {
	in := env.In
	if file != standardInput {
		f, err := os.Open(file)
		if err != nil {
			return nil, cli.Failure(fmt.Errorf("open rules file: %w", err))
		}
		defer f.Close()
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, rules.MaxFileBytes+1))
	if err != nil {
		return nil, cli.Failure(fmt.Errorf("read %s: %w", file, err))
	}
	return text, nil
}

// loadRules returns the rules of a file, or its first problem if it has errors.
func loadRules(env *cli.Env, file string) (*rules.Set, error) {
	text, err := readFile(env, file)
	if err != nil {
		return nil, err
	}
	set, problems := rules.Parse(file, text)
	if set == nil {
		for _, p := range problems {
			if p.Severity == rules.Error {
				return nil, cli.Failure(fmt.Errorf("%s (there may be more errors: run \"rules check\")", p))
			}
		}
	}
	return set, nil
}
