package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"snowflow/internal/daemon"
	"snowflow/internal/rehearse/sweep"
)

// sweepOptions holds the values of the sweep command's flags.
type sweepOptions struct {
	plan       sweep.Plan // the part that the plans of all dimensions share
	dimensions []string
	binaryDir  string
	subnet     int
	timeout    time.Duration
}

// sweepCommand runs sweeps along the given dimensions. Each run is a separate process, so that no run inherits the memory of another.
func sweepCommand() *cobra.Command {
	options := sweepOptions{}
	command := &cobra.Command{Use: "sweep", Short: "measure the resources that the control plane needs as a mesh grows, with proxies without traffic", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		return runSweep(options)
	}}
	flags := command.Flags()
	flags.StringSliceVar(&options.dimensions, "dimensions", sweep.DimensionNames(), "dimensions to sweep")
	flags.IntSliceVar(&options.plan.Sizes, "sizes", nil, "sizes to measure, for exactly one dimension; its default sizes if empty")
	flags.IntVar(&options.plan.Runs, "runs", 3, "number of runs of each size")
	flags.DurationVar(&options.plan.Window, "window", 10*time.Second, "duration of the steady state that each run measures")
	flags.StringVar(&options.plan.Results, "results", "docs/capacity", "folder of the records; the file of a size is written after all its runs")
	flags.StringVar(&options.binaryDir, "binaries", "", "folder of the programs; that of rehearse itself if empty")
	addRenamed(flags, "timeout", "patience", func(name string) {
		flags.DurationVar(&options.timeout, name, 30*time.Second, "limit of each wait outside the window, such as until all proxies have restarted")
	})
	addRenamed(flags, "subnet", "base", func(name string) {
		flags.IntVar(&options.subnet, name, 97, "second octet of the control plane's loopback addresses, from 1 to 254")
	})
	return command
}

func runSweep(options sweepOptions) error {
	bounds, err := sweep.MachineBounds()
	if err != nil {
		return err
	}
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	if options.binaryDir == "" {
		if options.binaryDir, err = ownBinaryDir(); err != nil {
			return err
		}
	}
	plans, err := options.plans(bounds)
	if err != nil {
		return daemon.NewUsageError(err)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	for _, plan := range plans {
		runOptions := sweep.Options{Window: plan.Window, Timeout: options.timeout, Failures: plan.Dimension.Failures, Binaries: options.binaryDir, Base: options.subnet}
		run := func(size sweep.Size, number int) (sweep.Run, error) {
			return runInSubprocess(ctx, executable, sweepRunRequest{size, runOptions, number})
		}
		if err := sweep.Sweep(plan, run, logf); err != nil {
			return err
		}
	}
	return nil
}

// plans validates the options and returns a plan for each dimension. All errors that it returns are usage errors.
func (o sweepOptions) plans(bounds sweep.Bounds) ([]sweep.Plan, error) {
	if !isSubnet(o.subnet) {
		return nil, errors.New("subnet must be from 1 to 254")
	}
	if o.timeout <= 0 {
		return nil, errors.New("timeout must be positive")
	}
	if len(o.plan.Sizes) > 0 && len(o.dimensions) != 1 {
		return nil, errors.New("sizes must be given with exactly one dimension")
	}
	plans := []sweep.Plan{}
	for _, name := range o.dimensions {
		dimension, err := sweep.FindDimension(name)
		if err != nil {
			return nil, err
		}
		plan := o.plan
		plan.Dimension = dimension
		if len(plan.Sizes) == 0 {
			plan.Sizes = dimension.Sizes
		}
		if err := plan.Check(bounds); err != nil {
			return nil, err
		}
		plans = append(plans, plan)
	}
	return plans, nil
}

// sweepRunRequest is the argument that sweep passes to the process of one run, as JSON.
type sweepRunRequest struct {
	Size    sweep.Size
	Options sweep.Options
	Number  int
}

// runInSubprocess measures one run in a separate process, which is killed if this one exits.
func runInSubprocess(ctx context.Context, executable string, request sweepRunRequest) (run sweep.Run, err error) {
	if request.Options.Folder, err = os.MkdirTemp("", "rehearse"); err != nil {
		return run, err
	}
	defer func() { _ = os.RemoveAll(request.Options.Folder) }()
	content, err := json.Marshal(request)
	if err != nil {
		return run, err
	}
	command := exec.CommandContext(ctx, executable, "hollow", string(content))
	command.Stderr = os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.Output()
	if err != nil {
		return run, err
	}
	return run, json.Unmarshal(output, &run)
}

// sweepRunCommand measures one run. Only the sweep command uses it.
func sweepRunCommand() *cobra.Command {
	return &cobra.Command{Use: "hollow RUN", Short: "measure one run of a sweep", Hidden: true, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, arguments []string) error {
		request := sweepRunRequest{}
		if err := json.Unmarshal([]byte(arguments[0]), &request); err != nil {
			return daemon.NewUsageError(err)
		}
		run, err := sweep.RunSize(request.Size, request.Options, request.Number)
		if err != nil {
			return err
		}
		return json.NewEncoder(os.Stdout).Encode(run)
	}}
}
