package snowctl

import (
	"fmt"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// deprecateFlag hides a flag that is kept under its former name. Whoever sets it is told the present name on standard error.
func deprecateFlag(flags *pflag.FlagSet, former, present string) {
	if err := flags.MarkDeprecated(former, "use --"+present); err != nil {
		panic(err) // no such flag: a mistake in this package
	}
}

// warnFormerName tells on standard error that a command was called by a former name.
func warnFormerName(command *cobra.Command) {
	if called := command.CalledAs(); called != command.Name() && called != "" {
		_, _ = fmt.Fprintf(command.ErrOrStderr(), "Command %q is deprecated, use %q\n", called, command.Name())
	}
}
