package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"snowflow/internal/daemon"
)

// TestSweepMisused checks that invalid options of sweep are usage errors, for which the program exits with code 2 without having started
// anything.
func TestSweepMisused(t *testing.T) {
	for name, testCase := range map[string]struct{ arguments, want, warning string }{
		"dimension":              {"--dimensions weather", `no dimension "weather"`, ""},
		"memory":                 {"--dimensions carriers --sizes 2000000", "half of this machine's memory", ""},
		"no runs":                {"--runs 0", "a run", ""},
		"sizes":                  {"--sizes 5", "exactly one dimension", ""},
		"subnet":                 {"--subnet 0", "subnet", ""},
		"former name of subnet":  {"--base 0", "subnet", "Flag --base has been deprecated, use --subnet"},
		"timeout":                {"--timeout 0s", "timeout", ""},
		"former name of timeout": {"--patience 0s", "timeout", "Flag --patience has been deprecated, use --timeout"},
		"few":                    {"--dimensions carriers --sizes 1", "at least two carriers", ""},
		"no windows":             {"--window 0s", "window", ""},
	} {
		t.Run(name, func(t *testing.T) {
			checkMisuse(t, sweepCommand(), testCase.arguments, testCase.want, testCase.warning)
		})
	}
}

// TestRunMisused checks that invalid options of run are usage errors too, under the present and the former names of flags.
func TestRunMisused(t *testing.T) {
	const outOfRange = "length and factor must be positive, sync-delay must not be negative, subnet must be from 1 to 254"
	for name, testCase := range map[string]struct{ arguments, want, warning string }{
		"layout":                    {"--layout moon", `no layout "moon"`, ""},
		"scenario":                  {"--scenario flood", `no scenario "flood"`, ""},
		"length":                    {"--length -3s", outOfRange, ""},
		"factor":                    {"--factor 0", outOfRange, ""},
		"subnet":                    {"--subnet 255", outOfRange, ""},
		"former name of subnet":     {"--base 255", outOfRange, "Flag --base has been deprecated, use --subnet"},
		"sync delay":                {"--sync-delay -1ms", outOfRange, ""},
		"former name of sync delay": {"--linger -1ms", outOfRange, "Flag --linger has been deprecated, use --sync-delay"},
		"former name of balance":    {"--choice blind --length 0s", outOfRange, "Flag --choice has been deprecated, use --balance"},
	} {
		t.Run(name, func(t *testing.T) { checkMisuse(t, runCommand(), testCase.arguments, testCase.want, testCase.warning) })
	}
}

// checkMisuse runs a command and checks that it fails with the wanted usage error and prints the wanted warning, or nothing if warning
// is empty.
func checkMisuse(t *testing.T, command *cobra.Command, arguments, want, warning string) {
	t.Helper()
	var printed bytes.Buffer
	command.SetOut(&printed)
	command.SetErr(&printed)
	command.SilenceUsage, command.SilenceErrors = true, true
	command.SetArgs(strings.Fields(arguments))
	err := command.Execute()
	if usage := new(daemon.UsageError); !errors.As(err, &usage) || !strings.Contains(err.Error(), want) {
		t.Errorf("the command returned %v", err)
	}
	if warning == "" && printed.Len() > 0 || !strings.Contains(printed.String(), warning) {
		t.Errorf("the command printed %q instead of %q", printed.String(), warning)
	}
}
