// Package knownred judges a run of the tests by the list of those that are known to fail. It lets pass just these.
package knownred

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Entry is one line of the list.
type Entry struct {
	Test  string // the package without its module, a dot, and the test's name
	Cause string
	Issue string
}

// Parse reads the list: a test, a cause and an issue on each line, with commas between. A cause may hold commas.
func Parse(content string) (entries []Entry, err error) {
	seen := map[string]bool{}
	for number, line := range strings.Split(content, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		first, last := strings.IndexByte(line, ','), strings.LastIndexByte(line, ',')
		if first == last {
			return nil, fmt.Errorf("line %d: must be a test, a cause and an issue, with commas between", number+1)
		}
		entry := Entry{strings.TrimSpace(line[:first]), strings.TrimSpace(line[first+1 : last]), strings.TrimSpace(line[last+1:])}
		if entry.Test == "" || entry.Cause == "" || entry.Issue == "" || !strings.Contains(entry.Test, ".Test") {
			return nil, fmt.Errorf("line %d: must be folder.TestName, a cause and an issue, with commas between", number+1)
		}
		if seen[entry.Test] {
			return nil, fmt.Errorf("line %d: %s is there twice", number+1, entry.Test)
		}
		seen[entry.Test] = true
		entries = append(entries, entry)
	}
	return entries, nil
}

// event is one line of the go command's -json output.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// outcome is what became of one test or package. Invariant: own holds what it said itself, without the go command's own lines.
type outcome struct {
	action    string
	output    []string
	ownOutput bool
	ended     bool // the testing package came to its own end with a failure, so that every test has run
}

// Run is everything that was seen of one run.
type Run struct {
	module   string
	packages map[string]map[string]*outcome // by package, then by test; the package itself is under ""
	stray    []string
}

// Read reads the go command's -json output.
func Read(module string, stream io.Reader) (*Run, error) {
	run := &Run{module: module, packages: map[string]map[string]*outcome{}}
	lines := bufio.NewScanner(stream)
	lines.Buffer(make([]byte, 64<<10), 64<<20)
	for lines.Scan() {
		seen := event{}
		if err := json.Unmarshal(lines.Bytes(), &seen); err != nil || seen.Action == "" {
			run.stray = append(run.stray, lines.Text())
			continue
		}
		run.record(seen)
	}
	return run, lines.Err()
}

func (run *Run) record(seen event) {
	if seen.Package == "" { // of a build
		if seen.Output != "" {
			run.stray = append(run.stray, strings.TrimSuffix(seen.Output, "\n"))
		}
		return
	}
	tests := run.packages[seen.Package]
	if tests == nil {
		tests = map[string]*outcome{}
		run.packages[seen.Package] = tests
	}
	present := tests[seen.Test]
	if present == nil {
		present = &outcome{}
		tests[seen.Test] = present
	}
	if seen.Action != "output" {
		present.action = seen.Action
		return
	}
	present.output = append(present.output, seen.Output)
	present.ended = present.ended || seen.Output == "FAIL\n"
	line := strings.TrimSpace(seen.Output)
	present.ownOutput = present.ownOutput || line != "" && !strings.HasPrefix(line, "=== ") && !strings.HasPrefix(line, "--- ")
}

// Verdict is what is said of a run. Invariant: for the same list and the same outcomes it's the same text.
type Verdict struct {
	Passed bool
	Text   string
}

// Judge lets failures of listed tests pass, and nothing else. failed tells that the go command itself ended with a failure.
func Judge(entries []Entry, run *Run, failed bool) Verdict {
	verdict, report, red := Verdict{Passed: true}, &strings.Builder{}, map[string]bool{}
	for _, line := range run.stray {
		fmt.Fprintln(report, line)
	}
	explained := false
	for _, name := range slices.Sorted(maps.Keys(run.packages)) {
		tests := run.packages[name]
		failures := run.unlistedFailures(entries, name, tests, red)
		for _, test := range slices.Sorted(maps.Keys(tests)) {
			if present := tests[test]; test == "" || present.action == "fail" {
				report.WriteString(strings.Join(present.output, ""))
			}
		}
		for _, failure := range failures {
			fmt.Fprintf(report, "not known: %s\n", failure)
			verdict.Passed = false
		}
		explained = explained || tests[""] != nil && tests[""].action == "fail"
	}
	if failed && !explained {
		fmt.Fprintln(report, "not known: the go command failed, and no package says why")
		verdict.Passed = false
	}
	for _, entry := range entries {
		run.reportEntry(report, entry, red)
	}
	verdict.Text = report.String()
	return verdict
}

// look gives what failed in a package and isn't let pass, and marks the entries that are red.
func (run *Run) unlistedFailures(entries []Entry, name string, tests map[string]*outcome, red map[string]bool) (failures []string) {
	folder, covered, failing := strings.TrimPrefix(name, run.module+"/"), map[string]bool{}, 0
	for _, test := range slices.Sorted(maps.Keys(tests)) {
		present := tests[test]
		if test == "" || present.action != "fail" && present.action != "" && present.action != "run" {
			continue
		}
		if present.action != "fail" {
			failures = append(failures, folder+"."+test+" did not end")
			continue
		}
		failing++
		for _, entry := range entries {
			if listed := strings.TrimPrefix(entry.Test, folder+"."); listed != entry.Test && (listed == test || strings.HasPrefix(test, listed+"/")) {
				covered[test], red[entry.Test] = true, true
			}
		}
	}
	for _, test := range slices.Sorted(maps.Keys(tests)) {
		if test != "" && tests[test].action == "fail" && !covered[test] && !onlyBelow(test, tests, covered) {
			failures = append(failures, folder+"."+test)
		}
	}
	if packageOutcome := tests[""]; packageOutcome != nil && packageOutcome.action == "fail" && (failing == 0 || !packageOutcome.ended) {
		failures = append(failures, folder+" failed otherwise than by a test")
	} else if packageOutcome == nil || packageOutcome.action != "fail" && packageOutcome.action != "pass" && packageOutcome.action != "skip" {
		failures = append(failures, folder+" did not end")
	}
	return failures
}

// onlyBelow tells whether a test failed for nothing but tests below it that are let pass: it says nothing itself.
func onlyBelow(test string, tests map[string]*outcome, covered map[string]bool) bool {
	below := false
	for other, present := range tests {
		if strings.HasPrefix(other, test+"/") && present.action == "fail" {
			if !covered[other] && !onlyBelow(other, tests, covered) {
				return false
			}
			below = true
		}
	}
	return below && !tests[test].ownOutput
}

// tell says how an entry's test did, if its package was run.
func (run *Run) reportEntry(report *strings.Builder, entry Entry, red map[string]bool) {
	if red[entry.Test] {
		fmt.Fprintf(report, "known red: %s, %s, %s\n", entry.Test, entry.Cause, entry.Issue)
		return
	}
	folder, test, _ := strings.Cut(entry.Test, ".Test")
	tests := run.packages[run.module+"/"+folder]
	if tests == nil {
		return
	}
	how := "was not run"
	if present := tests["Test"+test]; present != nil {
		how = map[string]string{"pass": "passes now; take it off the list", "skip": "was skipped"}[present.action]
		if how == "" {
			how = "did not end"
		}
	}
	fmt.Fprintf(report, "listed as red: %s %s\n", entry.Test, how)
}
