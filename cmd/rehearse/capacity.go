package main

import (
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"snowflow/internal/daemon"
	"snowflow/internal/rehearse/capacity"
	"snowflow/internal/rehearse/sweep"
)

// capacityCommand regenerates the tables and plots of the capacity page from the records.
func capacityCommand() *cobra.Command {
	results, page := "", ""
	command := &cobra.Command{Use: "capacity", Short: "write the capacity page's tables and plots from recorded sweeps", Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
		points, err := sweep.ReadPoints(results)
		if err != nil {
			return daemon.NewUsageError(err)
		}
		content, err := os.ReadFile(page)
		if err != nil {
			return daemon.NewUsageError(err)
		}
		text, err := capacity.Render(string(content), points)
		if err != nil {
			return daemon.NewUsageError(err)
		}
		if err := capacity.WritePlots(points, filepath.Clean(results)); err != nil {
			return err
		}
		return os.WriteFile(page, []byte(text), 0o644)
	}}
	command.Flags().StringVar(&results, "results", "docs/capacity", "folder of the records, where the plots are written too")
	command.Flags().StringVar(&page, "page", "docs/CAPACITY.md", "the page, with marked sections for the tables")
	return command
}
