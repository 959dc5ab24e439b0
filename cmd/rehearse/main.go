// Rehearse starts a fleet of the mesh's real programs on loopback addresses, simulates callers, backends and operators, injects faults
// and reports which invariants held.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"snowflow/internal/daemon"
	"snowflow/internal/rehearse/scenario"
	"snowflow/internal/release"
)

func main() {
	root := &cobra.Command{Use: "rehearse", Short: "test a fleet on loopback addresses under simulated traffic and faults", SilenceUsage: true, SilenceErrors: true, Version: release.Version}
	root.AddCommand(runCommand(), listCommand(), sweepCommand(), sweepRunCommand(), capacityCommand(), compareCommand())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return daemon.NewUsageError(err) })
	daemon.Main(root)
}

func listCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "list the scenarios", Args: cobra.NoArgs, Run: func(*cobra.Command, []string) {
		for _, name := range scenario.Names() {
			fmt.Printf("%-24s %s\n", name, scenario.All[name].Summary)
		}
	}}
}

// logf prints a message with the time to standard error.
func logf(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, time.Now().Format("15:04:05 ")+format+"\n", arguments...)
}

// ownBinaryDir returns the folder of this program, the default folder of the others.
func ownBinaryDir() (string, error) {
	executable, err := os.Executable()
	if err != nil {
		return "", err
	}
	return filepath.Dir(executable), nil
}

// isSubnet reports whether a number is valid as the second octet of a fleet's loopback addresses.
func isSubnet(number int) bool { return number >= 1 && number <= 254 }
