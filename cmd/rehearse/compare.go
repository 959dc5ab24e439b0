package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"snowflow/internal/daemon"
	"snowflow/internal/rehearse/scenario"
)

// errSignificantlyWorse ends compare with exit code 1, after the comparisons were printed.
var errSignificantlyWorse = errors.New("lookups are served worse with changes than the noise explains")

// compareCommand compares runs with route changes with runs without.
func compareCommand() *cobra.Command {
	var baseline, changed []string
	command := &cobra.Command{Use: "compare", Short: "compare lookups in runs with changes with those in runs without, by their reports", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		if len(baseline) == 0 || len(baseline) != len(changed) {
			return daemon.NewUsageError(errors.New("name as many reports without changes as with, one at least"))
		}
		without, err := readReports(baseline)
		if err != nil {
			return daemon.NewUsageError(err)
		}
		with, err := readReports(changed)
		if err != nil {
			return daemon.NewUsageError(err)
		}
		worse := false
		for _, compared := range scenario.Compare(without, with, scenario.IsLookup) {
			worse = worse || compared.Significant()
			fmt.Println(compared.Summary())
		}
		if worse {
			return errSignificantlyWorse
		}
		return nil
	}}
	command.Flags().StringSliceVar(&baseline, "quiet", nil, "reports of runs without changes, by rehearse run --json")
	command.Flags().StringSliceVar(&changed, "busy", nil, "reports of runs with changes")
	return command
}

func readReports(files []string) (read []scenario.Report, err error) {
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var report scenario.Report
		if err := json.Unmarshal(content, &report); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		read = append(read, report)
	}
	return read, nil
}
