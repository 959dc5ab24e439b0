package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"snowflow/internal/daemon"
	"snowflow/internal/rehearse/sweep"
)

func logf(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, time.Now().Format("15:04:05 ")+format+"\n", arguments...)
}

// measuring plays sizes, each run in a process of its own, so that no run inherits another's memory.
func sweepCommand() *cobra.Command {
	plan := sweep.Plan{}
	names, binaries, base, timeout := []string{}, "", 0, time.Duration(0)
	command := &cobra.Command{Use: "sweep", Short: "measure what the control programs need as a mesh grows, with hollow carriers", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		bounds, err := sweep.Half()
		if err != nil {
			return err
		}
		own, err := os.Executable()
		if err != nil {
			return err
		}
		if binaries == "" {
			binaries = filepath.Dir(own)
		}
		if base < 1 || base > 254 {
			return daemon.NewUsageError(errors.New("base must be from 1 to 254"))
		}
		if timeout <= 0 {
			return daemon.NewUsageError(errors.New("patience must be above zero"))
		}
		if len(plan.Sizes) > 0 && len(names) != 1 {
			return daemon.NewUsageError(errors.New("sizes need one dimension that they are of"))
		}
		plans := []sweep.Plan{}
		for _, name := range names {
			one := plan
			if one.Dimension, err = sweep.Find(name); err != nil {
				return daemon.NewUsageError(err)
			}
			if len(one.Sizes) == 0 {
				one.Sizes = one.Dimension.Sizes
			}
			if err := one.Check(bounds); err != nil {
				return daemon.NewUsageError(err)
			}
			plans = append(plans, one)
		}
		running, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
		defer cancel()
		for _, one := range plans {
			if err := sweep.Sweep(one, func(size sweep.Size, number int) (sweep.Run, error) {
				return runInSubprocess(running, own, sweepRunRequest{size, sweep.Options{Window: one.Window, Timeout: timeout, Failures: one.Dimension.Failures, Binaries: binaries, Base: base}, number})
			}, logf); err != nil {
				return err
			}
		}
		return nil
	}}
	flags := command.Flags()
	flags.StringSliceVar(&names, "dimensions", sweep.Names(), "what is swept")
	flags.IntSliceVar(&plan.Sizes, "sizes", nil, "of the one dimension given; its own if left out")
	flags.IntVar(&plan.Runs, "runs", 3, "of each size")
	flags.DurationVar(&plan.Window, "window", 10*time.Second, "of steady state that is measured in each run")
	flags.StringVar(&plan.Results, "results", "docs/capacity", "folder of the records; a size's file is written when all its runs are done")
	flags.StringVar(&binaries, "binaries", "", "folder of the daemons; depot's own if left out")
	flags.DurationVar(&timeout, "patience", 30*time.Second, "for what is waited for outside the window, such as all carriers' return")
	flags.IntVar(&base, "base", 97, "second part of the core's loopback numbers")
	return command
}

type sweepRunRequest struct {
	Size    sweep.Size
	Options sweep.Options
	Number  int
}

// apart plays one run in a process of its own, which ends with this one.
func runInSubprocess(running context.Context, own string, request sweepRunRequest) (run sweep.Run, err error) {
	if request.Options.Folder, err = os.MkdirTemp("", "rehearse"); err != nil {
		return run, err
	}
	defer os.RemoveAll(request.Options.Folder)
	content, err := json.Marshal(request)
	if err != nil {
		return run, err
	}
	command := exec.CommandContext(running, own, "hollow", string(content))
	command.Stderr = os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	output, err := command.Output()
	if err != nil {
		return run, err
	}
	return run, json.Unmarshal(output, &run)
}

// hollow is one run, for sweep alone.
func sweepRunCommand() *cobra.Command {
	return &cobra.Command{Use: "hollow RUN", Short: "play one run of a sweep", Hidden: true, Args: cobra.ExactArgs(1), RunE: func(_ *cobra.Command, arguments []string) error {
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
