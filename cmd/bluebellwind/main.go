// Command bluebellwind is the command-line client for operators.
package main

import (
	"os"

	"bluebellwind.example/internal/cli"
	"bluebellwind.example/internal/opscmd"
	"bluebellwind.example/internal/rulescmd"
)

// root is the kong grammar of the command line.
type root struct {
	cli.Globals
	Rules rulescmd.Commands `cmd:"" help:"Check, explain and compare rules files."`
	opscmd.Commands
}

func main() {
	var r root
	env := &cli.Env{In: os.Stdin, Out: os.Stdout}
	os.Exit(cli.Run(&r, &r.Globals, os.Args[1:], env, os.Stderr))
}
