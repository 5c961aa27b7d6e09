// Package rulescmd holds the commands that work on rules files alone. They
// need no running instance.
package rulescmd

import (
	"fmt"
	"io"
	"os"

	"bluebellwind.example/internal/cli"
	"bluebellwind.example/rules"
)

// Commands is the group "rules" of the operators' client.
type Commands struct {
	Check   Check   `cmd:"" help:"List all errors and warnings of a rules file."`
	Explain Explain `cmd:"" help:"Say which line decides a request, and why the others do not."`
	Diff    Diff    `cmd:"" help:"Say what a new file changes for callers."`
}

// standardInput is the file name that stands for standard input.
const standardInput = "-"

// read returns the text of a file, cut just above the largest allowed size.
func read(env *cli.Env, file string) ([]byte, error) {
	in := env.In
	if file != standardInput {
		f, err := os.Open(file)
		if err != nil {
			return nil, cli.Trouble(fmt.Errorf("open rules file: %w", err))
		}
		defer f.Close()
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, rules.MaxFileBytes+1))
	if err != nil {
		return nil, cli.Trouble(fmt.Errorf("read %s: %w", file, err))
	}
	return text, nil
}

// load returns the rules of a file that must be without errors.
func load(env *cli.Env, file string) (*rules.Set, error) {
	text, err := read(env, file)
	if err != nil {
		return nil, err
	}
	set, problems := rules.Parse(file, text)
	if set == nil {
		for _, p := range problems {
			if p.Severity == rules.Error {
				return nil, cli.Trouble(fmt.Errorf("%s (and perhaps more: see \"rules check\")", p))
			}
		}
	}
	return set, nil
}
