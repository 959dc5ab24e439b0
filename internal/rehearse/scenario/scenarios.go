package scenario

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"snowflow/internal/invariants"
)

// Scenario is one rehearsal's course.
type Scenario struct {
	Name    string
	Summary string
	Rules   []int // the rules that must have seen something
	Run     func(rehearsal *Rehearsal) error
	// Prepare is done before callers start, if there's something to do.
	Prepare func(rehearsal *Rehearsal) error
	// Checks are made besides the rules.
	Checks []invariants.Check
}

// All are the scenarios by name.
var All = map[string]Scenario{}

func add(scenario Scenario) { All[scenario.Name] = scenario }

func init() {
	add(Scenario{Name: "steady", Summary: "no failure at all", Rules: []int{1, 3, 5, 6, 7, 8}, Run: func(rehearsal *Rehearsal) error {
		rehearsal.Wait(rehearsal.Options.Duration)
		return nil
	}})
}

// Names lists the scenarios.
func Names() []string { return slices.Sorted(maps.Keys(All)) }

// ErrFindings: the rehearsal ran, and the checkers found something or saw nothing.
var ErrFindings = errors.New("the rehearsal failed")

// Run runs one scenario on a fresh fleet.
func Run(options Options, logf func(format string, arguments ...any)) (Report, error) {
	chosen, known := All[options.Scenario]
	if !known {
		return Report{}, fmt.Errorf("no scenario %q; there are %v", options.Scenario, Names())
	}
	logf("starting %s", options.Layout)
	rehearsal, err := Open(options, logf)
	if rehearsal != nil {
		defer rehearsal.Close()
	}
	if err != nil {
		return Report{}, err
	}
	if chosen.Prepare != nil {
		if err := chosen.Prepare(rehearsal); err != nil {
			return Report{}, err
		}
	}
	logf("fleet is ready, running %s", chosen.Name)
	rehearsal.Watch()
	rehearsal.RecordCPUTimes()
	began := time.Now()
	rehearsal.Load.Start(options.LoadFactor)
	if err := chosen.Run(rehearsal); err != nil {
		return Report{}, err
	}
	rehearsal.Load.Stop()
	if err := rehearsal.Operator.ReadBack(); err != nil {
		return Report{}, fmt.Errorf("reading back the desired states: %w", err)
	}
	report := rehearsal.BuildReport(began, chosen.Checks...)
	for _, rule := range chosen.Rules {
		if report.Observations[rule] == 0 {
			report.Findings = append(report.Findings, fmt.Sprintf("rule %d: its checker saw nothing", rule))
		}
	}
	if report.Served() == 0 {
		report.Findings = append(report.Findings, "nothing was served")
	}
	if len(report.Findings) > 0 {
		return report, ErrFindings
	}
	return report, nil
}
