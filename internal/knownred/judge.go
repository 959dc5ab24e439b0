package knownred

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Verdict says whether a run passes, with a report. Invariant: the same list and the same outcomes give the same text.
type Verdict struct {
	Passed bool
	Text   string
}

// Judge passes a run whose only failures are of listed tests. failed means that the go command itself ended with a failure.
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

// unlistedFailures returns what failed in a package and isn't listed, and marks the listed tests that failed in red.
func (run *Run) unlistedFailures(entries []Entry, name string, tests map[string]*outcome, red map[string]bool) []string {
	folder, names := strings.TrimPrefix(name, run.module+"/"), slices.Sorted(maps.Keys(tests))
	covered, failing := map[string]bool{}, 0
	var unended, failures []string
	for _, test := range names {
		switch present := tests[test]; {
		case test == "":
		case present.action == "fail":
			failing++
			covered[test] = markListed(entries, folder, test, red)
		case present.action == "" || present.action == "run":
			unended = append(unended, folder+"."+test+" did not end")
		}
	}
	for _, test := range names {
		if test != "" && tests[test].action == "fail" && !covered[test] && !onlyBelow(test, tests, covered) {
			failures = append(failures, folder+"."+test)
		}
	}
	failures = append(unended, failures...)
	if why := packageFailure(tests[""], failing); why != "" {
		failures = append(failures, folder+why)
	}
	return failures
}

// markListed reports whether a failed test, or one above it, is listed, and marks the entry in red.
func markListed(entries []Entry, folder, test string, red map[string]bool) (listed bool) {
	for _, entry := range entries {
		entryFolder, name, isGoTest := entry.goTest()
		if isGoTest && entryFolder == folder && (name == test || strings.HasPrefix(test, name+"/")) {
			listed, red[entry.Test] = true, true
		}
	}
	return listed
}

// packageFailure returns what is wrong with a package beyond its failing tests, or nothing.
func packageFailure(present *outcome, failing int) string {
	switch {
	case present != nil && present.action == "fail" && (failing == 0 || !present.ended):
		return " failed otherwise than by a test"
	case present == nil || present.action != "fail" && present.action != "pass" && present.action != "skip":
		return " did not end"
	}
	return ""
}

// onlyBelow reports whether a test failed only because of listed subtests: it has no output of its own.
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

// reportEntry writes how an entry's test did, if its package was run. An entry that names no Go test is known and no more.
func (run *Run) reportEntry(report *strings.Builder, entry Entry, red map[string]bool) {
	folder, test, isGoTest := entry.goTest()
	if !isGoTest {
		fmt.Fprintf(report, "known, not a Go test: %s\n", entry)
		return
	}
	if red[entry.Test] {
		fmt.Fprintf(report, "known red: %s\n", entry)
		return
	}
	tests := run.packages[run.module+"/"+folder]
	if tests == nil {
		return
	}
	how := "was not run"
	if present := tests[test]; present != nil {
		how = map[string]string{"pass": "passes now; take it off the list", "skip": "was skipped"}[present.action]
		if how == "" {
			how = "did not end"
		}
	}
	fmt.Fprintf(report, "listed as red: %s %s\n", entry.Test, how)
}
