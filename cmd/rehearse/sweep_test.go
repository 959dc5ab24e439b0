package main

import (
	"errors"
	"strings"
	"testing"

	"snowflow/internal/daemon"
)

// TestSweepMisused: what can't be swept is the starter's fault, which ends with exit code 2, and nothing is started.
func TestSweepMisused(t *testing.T) {
	for name, course := range map[string]struct{ arguments, want string }{
		"dimension":  {"--dimensions weather", `no dimension "weather"`},
		"memory":     {"--dimensions carriers --sizes 2000000", "half of this machine's memory"},
		"no runs":    {"--runs 0", "a run"},
		"sizes":      {"--sizes 5", "one dimension"},
		"base":       {"--base 0", "base"},
		"patience":   {"--patience 0s", "patience"},
		"few":        {"--dimensions carriers --sizes 1", "two carriers"},
		"no windows": {"--window 0s", "window"},
	} {
		command := sweepCommand()
		command.SilenceUsage, command.SilenceErrors = true, true
		command.SetArgs(strings.Fields(course.arguments))
		err := command.Execute()
		if use := new(daemon.UsageError); !errors.As(err, &use) || !strings.Contains(err.Error(), course.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
