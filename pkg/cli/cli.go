// Package cli implements the command line of tarragondrum. Each command is a struct
// that go-arg fills in. Its run method reads and writes only through an Env, so that
// tests can run commands without starting a process.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
)

// Exit codes of every command.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command line was valid but the command failed.
	ExitFailed = 1
	// ExitUsage means that the command line or a file is invalid. Nothing was changed.
	ExitUsage = 2
	// ExitConflict means that another operator's sign-off came first. Nothing was
	// changed.
	ExitConflict = 3
	// ExitUnknown means that the outcome is not known yet. "bundle status" can be run
	// to find it out.
	ExitUnknown = 4
	// ExitBehind means that the roll-out did not reach every node within the timeout.
	ExitBehind = 5
)

// exitCodes is shown at the end of the help.
const exitCodes = `Exit codes: 0 done, 1 failed, 2 wrong usage or file (nothing changed),
3 another operator was first (nothing changed), 4 outcome unknown (ask again
with "bundle status"), 5 the roll-out did not reach every node in time.`

// Env holds the input and outputs of a command.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
}

// printf writes to the standard output and ignores write errors.
func (e Env) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Stdout, format, args...)
}

// fail prints err to the standard error and returns code.
func (e Env) fail(code int, err error) int {
	_, _ = fmt.Fprintf(e.Stderr, "error: %v\n", err)
	return code
}

// command is one runnable subcommand.
type command interface {
	// run executes the command and returns its exit code. ctx is cancelled on SIGINT
	// and SIGTERM.
	run(ctx context.Context, env Env) int
	// example returns the text that is shown under "Example" in the help.
	example() string
}

// rootArgs is the whole command line.
type rootArgs struct {
	Demo     *demoCmd     `arg:"subcommand:demo" help:"walk through the whole path in one process"`
	Node     *nodeCmd     `arg:"subcommand:node" help:"run the node of a host"`
	Bundle   *bundleCmd   `arg:"subcommand:bundle" help:"prepare, sign off, roll and compare bundles"`
	Key      *keyCmd      `arg:"subcommand:key" help:"make operators' keys and nodes' certificates"`
	Platform *platformCmd `arg:"subcommand:platform" help:"run a stand-in of the platform's store, for trying out"`
	Settings *settingsCmd `arg:"subcommand:settings" help:"check settings files"`
	Handover *handoverCmd `arg:"subcommand:handover" help:"show what is in force and who accepted it, as any node knows it"`
	Explain  *explainCmd  `arg:"subcommand:explain" help:"show where a request would go now and why, without sending it"`
	Upstream *upstreamCmd `arg:"subcommand:upstream" help:"list the upstreams, or run a stand-in"`
	Rollout  *rolloutCmd  `arg:"subcommand:rollout" help:"show roll-outs of versions of services"`
	Bench    *benchCmd    `arg:"subcommand:bench" help:"measure the system on its stand-ins"`
	Version  *versionCmd  `arg:"subcommand:version" help:"print the version of this program"`
}

// Description is shown at the top of the help.
func (rootArgs) Description() string {
	return "tarragondrum prepares, signs off and rolls configuration bundles to every proxy of a service mesh.\n"
}

// Epilogue is shown at the end of the help.
func (rootArgs) Epilogue() string { return exitCodes }

// Main runs one command, which SIGINT and SIGTERM interrupt, and returns its exit code.
func Main(argv []string, stdin io.Reader, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, argv, Env{Stdin: stdin, Stdout: stdout, Stderr: stderr})
}

// Run parses argv, runs one command until it ends or ctx is done, and returns its exit
// code.
func Run(ctx context.Context, argv []string, env Env) int {
	var root rootArgs
	p, err := arg.NewParser(arg.Config{Program: "tarragondrum", Out: env.Stderr, Exit: func(int) {}}, &root)
	if err != nil {
		return env.fail(ExitFailed, err)
	}
	err = p.Parse(argv)
	switch {
	case errors.Is(err, arg.ErrHelp):
		writeHelp(p, env)
		return ExitOK
	case err != nil:
		_ = p.WriteUsageForSubcommand(env.Stderr, p.SubcommandNames()...)
		return env.fail(ExitUsage, err)
	}
	c, ok := p.Subcommand().(command)
	if !ok {
		writeHelp(p, env)
		return ExitUsage
	}
	return c.run(ctx, env)
}

// writeHelp prints the help of the selected subcommand and its example.
func writeHelp(p *arg.Parser, env Env) {
	_ = p.WriteHelpForSubcommand(env.Stdout, p.SubcommandNames()...)
	if c, ok := p.Subcommand().(command); ok {
		env.printf("\nExample:\n  %s\n", c.example())
	}
}
