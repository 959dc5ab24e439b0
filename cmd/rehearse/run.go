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

// errOutOfRange is the error of flags outside their ranges.
var errOutOfRange = errors.New("length and factor must be above zero, sync-delay not below, subnet from 1 to 254")

func runCommand() *cobra.Command {
	options := scenario.Options{}
	asJSON := false
	command := &cobra.Command{Use: "run", Short: "run one scenario on a fresh fleet", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		if err := completeOptions(&options); err != nil {
			return err
		}
		report, err := scenario.Run(options, logf)
		if err != nil && !errors.Is(err, scenario.ErrFindings) {
			return daemon.NewUsageError(err) // the fleet could not be started or the scenario not be carried out: no verdict
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

// completeOptions checks the options, and fills in the folders that were left out.
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
	flags.StringVar(&options.Layout, "layout", "small", "small, hops, association or raahbar")
	flags.StringVar(&options.Scenario, "scenario", "steady", "see rehearse list")
	flags.DurationVar(&options.Duration, "length", 20*time.Second, "about how long the traffic goes on")
	flags.Float64Var(&options.LoadFactor, "factor", 1, "multiplies the callers' rates")
	flags.Float64Var(&options.OverloadFactor, "rush", 20, "what the rush scenario multiplies the rates by")
	flags.IntVar(&options.BackendLimit, "limit", 0, "overrides the small layout's limit of requests in flight per backend")
	flags.StringVar(&options.Dir, "folder", "", "where the fleet's settings, data and logs go; a temporary folder if left out")
	flags.StringVar(&options.BinaryDir, "binaries", "", "folder of the programs; that of rehearse itself if left out")
	flags.StringVar(&options.PreviousBinaryDir, "older", "", "folder of an earlier build's programs, for the versions scenario")
	flags.BoolVar(&options.UseRelays, "relays", true, "connect the processes through relays, which partitions, delays and byte counts need")
	flags.StringVar(&options.LogLevel, "log", "info", "least level of events that the programs log")
	addRenamed(flags, "subnet", "base", func(name string) {
		flags.IntVar(&options.Subnet, name, 77, "second part of the fleet's loopback addresses")
	})
	addRenamed(flags, "sync-delay", "linger", func(name string) {
		flags.DurationVar(&options.SyncDelay, name, 0, "how much longer each control plane disk takes for a sync")
	})
	addRenamed(flags, "balance", "choice", func(name string) {
		flags.StringVar(&options.LoadBalancing, name, "near", "how proxies choose backends: near or uniform; blind is the former name of uniform")
	})
}

// addRenamed adds a flag under its name, and under its former one, which is marked deprecated.
func addRenamed(flags *pflag.FlagSet, name, former string, add func(name string)) {
	add(name)
	add(former)
	if err := flags.MarkDeprecated(former, "use --"+name); err != nil {
		panic(err) // no such flag: a mistake in this package
	}
}
