package snowctl

import (
	"fmt"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// deprecateFlag hides the former name of a flag from the help. Setting it prints a warning with the current name to standard error.
func deprecateFlag(flags *pflag.FlagSet, former, current string) {
	if err := flags.MarkDeprecated(former, "use --"+current); err != nil {
		panic(err) // the flag isn't defined: a bug in this package
	}
}

// warnFormerName prints a warning to standard error if a command was called by a former name.
func warnFormerName(command *cobra.Command) {
	if called := command.CalledAs(); called != command.Name() && called != "" {
		_, _ = fmt.Fprintf(command.ErrOrStderr(), "Command %q is deprecated, use %q\n", called, command.Name())
	}
}
