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

// errSignificantlyWorse makes compare exit with code 1 after it has printed the comparisons.
var errSignificantlyWorse = errors.New("lookups are significantly worse with changes than without")

// compareCommand compares the lookups in runs with route changes to those in runs without.
func compareCommand() *cobra.Command {
	var baseline, changed []string
	command := &cobra.Command{Use: "compare", Short: "compare lookups in reports of runs with and without changes", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		if len(baseline) == 0 || len(baseline) != len(changed) {
			return daemon.NewUsageError(errors.New("give the same number of reports with and without changes, at least one of each"))
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
		for _, comparison := range scenario.Compare(without, with, scenario.IsLookup) {
			worse = worse || comparison.Significant()
			fmt.Println(comparison.Summary())
		}
		if worse {
			return errSignificantlyWorse
		}
		return nil
	}}
	command.Flags().StringSliceVar(&baseline, "quiet", nil, "reports of runs without changes, as printed by rehearse run --json")
	command.Flags().StringSliceVar(&changed, "busy", nil, "reports of runs with changes, as printed by rehearse run --json")
	return command
}

// readReports reads reports from JSON files.
func readReports(files []string) (reports []scenario.Report, err error) {
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		var report scenario.Report
		if err := json.Unmarshal(content, &report); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		reports = append(reports, report)
	}
	return reports, nil
}
