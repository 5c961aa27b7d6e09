package cli

import (
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// exitPanic is the value of the panic that leaves kong's parser when kong exits,
// for example after printing help. It holds the exit code.
type exitPanic int

// Run parses args into root, a kong grammar that embeds Globals, runs the
// selected command and returns the exit code. The Run methods of commands take
// env as their argument.
func Run(root any, globals *Globals, args []string, env *Env, stderr io.Writer) (code int) {
	defer func() {
		if r := recover(); r != nil {
			e, ok := r.(exitPanic)
			if !ok {
				panic(r)
			}
			code = int(e)
		}
	}()
	parser, err := kong.New(root,
		kong.Name("bluebellwind"),
		kong.Description("The operators' client of bluebellwind. Exit codes: 0 yes, 1 no, 2 the question could not be answered."),
		kong.Writers(env.Out, stderr),
		kong.Exit(func(code int) { panic(exitPanic(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		return exitCode(stderr, Failure(err))
	}
	selected, err := parser.Parse(args)
	if err != nil {
		return exitCode(stderr, Failure(fmt.Errorf("%w; see --help", err)))
	}
	env.JSON = globals.Output == "json"
	return exitCode(stderr, selected.Run(env))
}

// exitCode prints err, unless it is nil or its text is empty, and returns the
// exit code for it.
func exitCode(stderr io.Writer, err error) int {
	if err == nil {
		return CodeYes
	}
	if text := err.Error(); text != "" {
		fmt.Fprintln(stderr, "bluebellwind:", text)
	}
	var e *ExitError
	if errors.As(err, &e) {
		return e.Code
	}
	return CodeFailure
}
