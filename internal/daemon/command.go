package daemon

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"snowflow/internal/host/machine"
	"snowflow/internal/release"
	"snowflow/internal/settings"
	"snowflow/internal/transport/frame"
)

// The exit codes of a program.
const (
	exitFailure = 1 // it could not start, or failed later
	exitUsage   = 2 // its arguments or settings are invalid
	exitStopped = machine.ExitStopped
)

// UsageError is an error in a program's arguments or settings.
type UsageError struct{ error }

// NewUsageError returns an error that makes Main exit with code 2.
func NewUsageError(err error) error { return &UsageError{err} }

// Unwrap returns the wrapped error.
func (e *UsageError) Unwrap() error { return e.error }

// Command returns the command that runs a daemon: it loads the settings that fields declare and calls Run.
func Command(program, short string, fields []settings.Field, group string, build func(daemon *Daemon) error) *cobra.Command {
	command := &cobra.Command{
		Use: program, Short: short, Args: cobra.NoArgs, Version: fmt.Sprintf("%s (wire version %d)", release.Version, frame.Version),
		SilenceUsage: true, SilenceErrors: true,
	}
	settings.AddFlags(command.Flags(), fields)
	command.RunE = func(command *cobra.Command, _ []string) error {
		values, err := settings.Load(command.Flags(), fields)
		if err != nil {
			return NewUsageError(err)
		}
		return Run(program, group, values, build)
	}
	command.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return NewUsageError(err) })
	return command
}

// Main executes a command and ends the process, with exit code 0 after success, 2 after a UsageError and 1 after any other error.
// It prints errors to standard error.
func Main(command *cobra.Command) {
	err := command.Execute()
	if err == nil {
		os.Exit(0)
	}
	fmt.Fprintln(os.Stderr, err)
	var usage *UsageError
	if errors.As(err, &usage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}
