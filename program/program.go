// Package program holds what the main functions of pollenfront's programs
// share: the command line, signals, exit codes and HTTP servers.
//
// # Usage
//
//	os.Exit(program.Main(&command{}, os.Args[1:]))
package program

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alexflint/go-arg"
)

// Exit codes of all programs.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// A Command is a parsed command line.
type Command interface {
	// Chosen reports whether a subcommand was chosen.
	Chosen() bool

	// Execute runs the chosen subcommand. Its context ends on SIGTERM and
	// SIGINT.
	Execute(ctx context.Context) error
}

// An ExitError is an error with the exit code that stands for it.
type ExitError struct {
	Code int
	Err  error
}

// Error implements error.
func (e ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the error inside.
func (e ExitError) Unwrap() error { return e.Err }

// Main parses args into command, runs it and returns the exit code.
func Main(command Command, args []string) int {
	parser, err := arg.NewParser(arg.Config{Program: filepath.Base(os.Args[0])}, command)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitUsage
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(os.Stdout, parser.SubcommandNames()...)
		return ExitOK
	case err == nil && !command.Chosen():
		err = errors.New("a command is missing; --help lists the commands")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return exitCode(command.Execute(ctx))
}

// exitCode prints err and returns the exit code that stands for it.
func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	var exit ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailure
}
