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
	Name  string
	Short string
	Rules []int // the rules that must have seen something
	Run   func(stage *Stage) error
	// Prepare is done before callers start, if there's something to do.
	Prepare func(stage *Stage) error
	// Checks are made besides the rules.
	Checks []invariants.Check
}

// All are the scenarios by name.
var All = map[string]Scenario{}

func add(scenario Scenario) { All[scenario.Name] = scenario }

func init() {
	add(Scenario{Name: "steady", Short: "no failure at all", Rules: []int{1, 3, 5, 6, 7, 8}, Run: func(stage *Stage) error {
		stage.Wait(stage.Options.Length)
		return nil
	}})
}

// Names lists the scenarios.
func Names() []string { return slices.Sorted(maps.Keys(All)) }

// ErrFindings: the rehearsal ran, and the checkers found something or saw nothing.
var ErrFindings = errors.New("the rehearsal failed")

// Run runs one scenario on a fresh fleet.
func Run(options Options, say func(format string, arguments ...any)) (Report, error) {
	chosen, known := All[options.Scenario]
	if !known {
		return Report{}, fmt.Errorf("no scenario %q; there are %v", options.Scenario, Names())
	}
	say("starting %s", options.Layout)
	stage, err := Open(options, say)
	if stage != nil {
		defer stage.Close()
	}
	if err != nil {
		return Report{}, err
	}
	if chosen.Prepare != nil {
		if err := chosen.Prepare(stage); err != nil {
			return Report{}, err
		}
	}
	say("fleet is ready, running %s", chosen.Name)
	stage.Watch()
	stage.Measure()
	began := time.Now()
	stage.Callers.Start(options.Factor)
	if err := chosen.Run(stage); err != nil {
		return Report{}, err
	}
	stage.Callers.Stop()
	if err := stage.Operator.ReadBack(); err != nil {
		return Report{}, fmt.Errorf("reading back the desired states: %w", err)
	}
	report := stage.Conclude(began, chosen.Checks...)
	for _, rule := range chosen.Rules {
		if report.Seen[rule] == 0 {
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
