// Depot rehearses: it starts a fleet of real processes on loopback, plays its outside, brings failures about and reports.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"snowflow/internal/daemon"
	"snowflow/internal/rehearse/layout"
	"snowflow/internal/rehearse/scenario"
	"snowflow/internal/release"
)

func main() {
	root := &cobra.Command{Use: "rehearse", Short: "rehearsals: a fleet on loopback, its outside, failures and checkers", SilenceUsage: true, SilenceErrors: true, Version: release.Version}
	root.AddCommand(runCommand(), listCommand(), sweepCommand(), sweepRunCommand(), capacityCommand(), compareCommand())
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return daemon.NewUsageError(err) })
	daemon.Main(root)
}

func runCommand() *cobra.Command {
	options := scenario.Options{}
	asJSON := false
	command := &cobra.Command{Use: "run", Short: "run one scenario on a fresh fleet", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		if _, err := layout.Find(options.Layout); err != nil {
			return daemon.NewUsageError(err)
		}
		if _, err := scenario.Find(options.Scenario); err != nil {
			return daemon.NewUsageError(err)
		}
		if options.Duration <= 0 || options.LoadFactor <= 0 || options.SyncDelay < 0 || options.Subnet < 1 || options.Subnet > 254 {
			return daemon.NewUsageError(errors.New("length and factor must be above zero, linger not below, base from 1 to 254"))
		}
		if options.BinaryDir == "" {
			own, err := os.Executable()
			if err != nil {
				return err
			}
			options.BinaryDir = filepath.Dir(own)
		}
		if options.Dir == "" {
			folder, err := os.MkdirTemp("", "rehearse")
			if err != nil {
				return err
			}
			options.Dir = folder
		}
		report, err := scenario.Run(options, func(format string, arguments ...any) {
			fmt.Fprintf(os.Stderr, time.Now().Format("15:04:05 ")+format+"\n", arguments...)
		})
		if err != nil && !errors.Is(err, scenario.ErrFindings) {
			return daemon.NewUsageError(err) // the fleet could not be brought up or the scenario not be played: no verdict
		}
		if asJSON {
			fmt.Println(report.JSON())
		} else {
			fmt.Print(report.Text())
		}
		return err
	}}
	flags := command.Flags()
	flags.StringVar(&options.Layout, "layout", "small", "small, hops, association or raahbar")
	flags.StringVar(&options.Scenario, "scenario", "steady", "see rehearse list")
	flags.DurationVar(&options.Duration, "length", 20*time.Second, "how long the traffic goes on, about")
	flags.Float64Var(&options.LoadFactor, "factor", 1, "multiplies the callers' rates")
	flags.Float64Var(&options.OverloadFactor, "rush", 20, "what the rush scenario multiplies the rates by")
	flags.IntVar(&options.BackendLimit, "limit", 0, "overrides the small layout's places per backend")
	flags.StringVar(&options.Dir, "folder", "", "where the fleet's settings, data and logs go; a temporary folder if left out")
	flags.StringVar(&options.BinaryDir, "binaries", "", "folder of the daemons; depot's own if left out")
	flags.StringVar(&options.PreviousBinaryDir, "older", "", "folder of an earlier build's daemons, for the versions scenario")
	flags.IntVar(&options.Subnet, "base", 77, "second part of the fleet's loopback numbers")
	flags.BoolVar(&options.UseRelays, "relays", true, "put relays between the processes, for cuts and for counting bytes")
	flags.DurationVar(&options.SyncDelay, "linger", 0, "what each core disk takes longer for a sync")
	flags.StringVar(&options.LoadBalancing, "choice", "near", "how carriers choose backends: near or blind")
	flags.StringVar(&options.LogLevel, "log", "info", "least level of events the daemons log")
	flags.BoolVar(&asJSON, "json", false, "print the report as JSON")
	return command
}

func listCommand() *cobra.Command {
	return &cobra.Command{Use: "list", Short: "list the scenarios", Args: cobra.NoArgs, Run: func(*cobra.Command, []string) {
		for _, name := range scenario.Names() {
			fmt.Printf("%-24s %s\n", name, scenario.All[name].Summary)
		}
	}}
}
