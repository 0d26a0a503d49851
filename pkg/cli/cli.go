// Package cli is the command line of tarragondrum.
package cli

import (
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// Exit codes of every command.
const (
	// ExitOK: the command did what it was asked.
	ExitOK = 0
	// ExitFailed: the command was understood but failed.
	ExitFailed = 1
	// ExitUsage: the command line or a file is wrong; nothing was changed.
	ExitUsage = 2
	// ExitConflict: another operator was first; nothing was changed.
	ExitConflict = 3
	// ExitUnknown: the outcome could not be learned; ask again with status.
	ExitUnknown = 4
	// ExitBehind: the roll-out did not reach every node in time.
	ExitBehind = 5
)

type versionCmd struct{}

type args struct {
	Version *versionCmd `arg:"subcommand:version" help:"print the version of this program"`
}

// Main runs one command and returns the exit code.
func Main(argv []string, _ io.Reader, stdout, stderr io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "tarragondrum", Out: stderr}, &a)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	if err := p.Parse(argv); err != nil {
		p.WriteHelp(stdout)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(stdout, "tarragondrum")
	return ExitOK
}
