package main

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"snowflow/internal/daemon"
)

// TestSweepMisused: what can't be swept is the starter's fault, which ends with exit code 2, and nothing is started.
func TestSweepMisused(t *testing.T) {
	for name, course := range map[string]struct{ arguments, want, warning string }{
		"dimension":              {"--dimensions weather", `no dimension "weather"`, ""},
		"memory":                 {"--dimensions carriers --sizes 2000000", "half of this machine's memory", ""},
		"no runs":                {"--runs 0", "a run", ""},
		"sizes":                  {"--sizes 5", "one dimension", ""},
		"subnet":                 {"--subnet 0", "subnet", ""},
		"former name of subnet":  {"--base 0", "subnet", "Flag --base has been deprecated, use --subnet"},
		"timeout":                {"--timeout 0s", "timeout", ""},
		"former name of timeout": {"--patience 0s", "timeout", "Flag --patience has been deprecated, use --timeout"},
		"few":                    {"--dimensions carriers --sizes 1", "two carriers", ""},
		"no windows":             {"--window 0s", "window", ""},
	} {
		t.Run(name, func(t *testing.T) { checkMisuse(t, sweepCommand(), course.arguments, course.want, course.warning) })
	}
}

// TestRunMisused: what can't be rehearsed is the starter's fault too, under present names of flags and former ones.
func TestRunMisused(t *testing.T) {
	const outOfRange = "length and factor must be above zero, sync-delay not below, subnet from 1 to 254"
	for name, course := range map[string]struct{ arguments, want, warning string }{
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
		t.Run(name, func(t *testing.T) { checkMisuse(t, runCommand(), course.arguments, course.want, course.warning) })
	}
}

// checkMisuse runs a command that must fail with a usage error, and checks what it warns of on the way.
func checkMisuse(t *testing.T, command *cobra.Command, arguments, want, warning string) {
	t.Helper()
	var printed bytes.Buffer
	command.SetOut(&printed)
	command.SetErr(&printed)
	command.SilenceUsage, command.SilenceErrors = true, true
	command.SetArgs(strings.Fields(arguments))
	err := command.Execute()
	if usage := new(daemon.UsageError); !errors.As(err, &usage) || !strings.Contains(err.Error(), want) {
		t.Errorf("ended with %v", err)
	}
	if warning == "" && printed.Len() > 0 || !strings.Contains(printed.String(), warning) {
		t.Errorf("printed %q instead of %q", printed.String(), warning)
	}
}
