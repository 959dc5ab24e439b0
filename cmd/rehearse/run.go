package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"snowflow/internal/daemon"
	"snowflow/internal/rehearse/layout"
	"snowflow/internal/rehearse/scenario"
)

// errOutOfRange is returned if the value of a flag is out of range.
var errOutOfRange = errors.New("length and factor must be positive, sync-delay must not be negative, subnet must be from 1 to 254")

func runCommand() *cobra.Command {
	options := scenario.Options{}
	asJSON := false
	command := &cobra.Command{Use: "run", Short: "run one scenario on a new fleet", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		if err := completeOptions(&options); err != nil {
			return err
		}
		report, err := scenario.Run(options, logf)
		if err != nil && !errors.Is(err, scenario.ErrFindings) {
			return daemon.NewUsageError(err) // the fleet failed to start or the scenario to run, so there is no result
		}
		if asJSON {
			fmt.Println(report.JSON())
		} else {
			fmt.Print(report.Text())
		}
		return err
	}}
	addRunFlags(command.Flags(), &options)
	command.Flags().BoolVar(&asJSON, "json", false, "print the report as JSON")
	return command
}

// completeOptions validates the options and sets the default folders.
func completeOptions(options *scenario.Options) error {
	if _, err := layout.Find(options.Layout); err != nil {
		return daemon.NewUsageError(err)
	}
	if _, err := scenario.Find(options.Scenario); err != nil {
		return daemon.NewUsageError(err)
	}
	if options.Duration <= 0 || options.LoadFactor <= 0 || options.SyncDelay < 0 || !isSubnet(options.Subnet) {
		return daemon.NewUsageError(errOutOfRange)
	}
	var err error
	if options.BinaryDir == "" {
		if options.BinaryDir, err = ownBinaryDir(); err != nil {
			return err
		}
	}
	if options.Dir == "" {
		options.Dir, err = os.MkdirTemp("", "rehearse")
	}
	return err
}

func addRunFlags(flags *pflag.FlagSet, options *scenario.Options) {
	flags.StringVar(&options.Layout, "layout", "small", "deployment to start: small, hops, association or raahbar")
	flags.StringVar(&options.Scenario, "scenario", "steady", "scenario to run, see rehearse list")
	flags.DurationVar(&options.Duration, "length", 20*time.Second, "approximate duration of the traffic")
	flags.Float64Var(&options.LoadFactor, "factor", 1, "factor by which the callers' request rates are multiplied")
	flags.Float64Var(&options.OverloadFactor, "rush", 20, "factor by which the rush scenario multiplies the rates")
	flags.IntVar(&options.BackendLimit, "limit", 0, "override for the small layout's limit of concurrent requests per backend")
	flags.StringVar(&options.Dir, "folder", "", "folder for the fleet's settings, data and logs; a temporary folder if empty")
	flags.StringVar(&options.BinaryDir, "binaries", "", "folder of the programs; that of rehearse itself if empty")
	flags.StringVar(&options.PreviousBinaryDir, "older", "", "folder of an earlier build's programs, for the versions scenario")
	flags.BoolVar(&options.UseRelays, "relays", true, "connect the processes through relays, which are required for partitions, delays and byte counts")
	flags.StringVar(&options.LogLevel, "log", "info", "lowest level of events that the programs log")
	addRenamed(flags, "subnet", "base", func(name string) {
		flags.IntVar(&options.Subnet, name, 77, "second octet of the fleet's loopback addresses, from 1 to 254")
	})
	addRenamed(flags, "sync-delay", "linger", func(name string) {
		flags.DurationVar(&options.SyncDelay, name, 0, "delay added to each disk sync of a control plane process")
	})
	addRenamed(flags, "balance", "choice", func(name string) {
		flags.StringVar(&options.LoadBalancing, name, "near", "how proxies choose backends: near or uniform; blind is the former name of uniform")
	})
}

// addRenamed adds a flag under its name and under its former name, which is marked as deprecated.
func addRenamed(flags *pflag.FlagSet, name, former string, add func(name string)) {
	add(name)
	add(former)
	if err := flags.MarkDeprecated(former, "use --"+name); err != nil {
		panic(err) // add did not define the flag: a bug in this package
	}
}
