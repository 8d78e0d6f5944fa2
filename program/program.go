// Package program holds the code that the main functions of pollenfront's programs
// share: command lines, signals, exit codes and HTTP servers.
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

// Exit codes of all programs. ExitUsage means that the command line is invalid.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// A Command is a parsed command line.
type Command interface {
	// HasSubcommand reports whether the command line names a subcommand.
	HasSubcommand() bool

	// Execute runs the subcommand. Main cancels ctx on SIGTERM and SIGINT.
	Execute(ctx context.Context) error
}

// An ExitError is an error that sets the exit code of the program.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the message of the wrapped error.
func (e ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e ExitError) Unwrap() error { return e.Err }

// Main parses args into command, runs it and returns the exit code. It prints errors
// to standard error.
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
	case err == nil && !command.HasSubcommand():
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

// exitCode prints err to standard error, if there is one, and returns its exit code:
// that of an ExitError, and ExitFailure for any other error.
func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	var exitError ExitError
	if errors.As(err, &exitError) {
		return exitError.Code
	}
	return ExitFailure
}
