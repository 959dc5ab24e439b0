package knownred

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Verdict says whether a run passes.
//
// Invariant: the same list and the same outcomes give the same Text.
type Verdict struct {
	Passed bool
	Text   string // the report
}

// Judge returns the verdict on a run, which passes if all its failures are of listed tests. failed is whether the go command exited with
// an error; if no package explains that, the run doesn't pass.
func Judge(entries []Entry, run *Run, failed bool) Verdict {
	verdict, report, knownFailures := Verdict{Passed: true}, &strings.Builder{}, map[string]bool{}
	for _, line := range run.other {
		fmt.Fprintln(report, line)
	}
	explained := false
	for _, name := range slices.Sorted(maps.Keys(run.packages)) {
		tests := run.packages[name]
		failures := run.unlistedFailures(entries, name, tests, knownFailures)
		for _, test := range slices.Sorted(maps.Keys(tests)) {
			if result := tests[test]; test == "" || result.action == "fail" {
				report.WriteString(strings.Join(result.output, ""))
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
		run.reportEntry(report, entry, knownFailures)
	}
	verdict.Text = report.String()
	return verdict
}

// unlistedFailures returns the failures in a package that aren't of listed tests, and adds the listed tests that failed to
// knownFailures.
func (run *Run) unlistedFailures(entries []Entry, name string, tests map[string]*outcome, knownFailures map[string]bool) []string {
	folder, names := strings.TrimPrefix(name, run.module+"/"), slices.Sorted(maps.Keys(tests))
	listed, failing := map[string]bool{}, 0
	var unfinished, failures []string
	for _, test := range names {
		switch result := tests[test]; {
		case test == "":
		case result.action == "fail":
			failing++
			listed[test] = markListed(entries, folder, test, knownFailures)
		case result.action == "" || result.action == "run":
			unfinished = append(unfinished, folder+"."+test+" did not end")
		}
	}
	for _, test := range names {
		if test != "" && tests[test].action == "fail" && !listed[test] && !failedOnlyInListedSubtests(test, tests, listed) {
			failures = append(failures, folder+"."+test)
		}
	}
	failures = append(unfinished, failures...)
	if failure := packageFailure(tests[""], failing); failure != "" {
		failures = append(failures, folder+failure)
	}
	return failures
}

// markListed reports whether a failed test or one of its parents is listed. If so, it adds the test of the entry to knownFailures.
func markListed(entries []Entry, folder, test string, knownFailures map[string]bool) (listed bool) {
	for _, entry := range entries {
		entryFolder, name, isGoTest := entry.goTest()
		if isGoTest && entryFolder == folder && (name == test || strings.HasPrefix(test, name+"/")) {
			listed, knownFailures[entry.Test] = true, true
		}
	}
	return listed
}

// packageFailure describes why a package failed or did not end. failing is the number of its failed tests. It returns an empty string if
// they explain the failure, or if there was none.
func packageFailure(result *outcome, failing int) string {
	switch {
	case result != nil && result.action == "fail" && (failing == 0 || !result.ended):
		return " failed otherwise than by a test"
	case result == nil || result.action != "fail" && result.action != "pass" && result.action != "skip":
		return " did not end"
	}
	return ""
}

// failedOnlyInListedSubtests reports whether a test failed only because subtests failed that are listed. A test with output of its own
// may have failed for another reason.
func failedOnlyInListedSubtests(test string, tests map[string]*outcome, listed map[string]bool) bool {
	inSubtests := false
	for other, result := range tests {
		if strings.HasPrefix(other, test+"/") && result.action == "fail" {
			if !listed[other] && !failedOnlyInListedSubtests(other, tests, listed) {
				return false
			}
			inSubtests = true
		}
	}
	return inSubtests && !tests[test].ownOutput
}

// reportEntry reports the result of an entry's test if its package was run. An entry that isn't a Go test is only printed.
func (run *Run) reportEntry(report *strings.Builder, entry Entry, knownFailures map[string]bool) {
	folder, test, isGoTest := entry.goTest()
	if !isGoTest {
		fmt.Fprintf(report, "known, not a Go test: %s\n", entry)
		return
	}
	if knownFailures[entry.Test] {
		fmt.Fprintf(report, "known red: %s\n", entry)
		return
	}
	tests := run.packages[run.module+"/"+folder]
	if tests == nil {
		return
	}
	status := "was not run"
	if result := tests[test]; result != nil {
		status = map[string]string{"pass": "passes now; take it off the list", "skip": "was skipped"}[result.action]
		if status == "" {
			status = "did not end"
		}
	}
	fmt.Fprintf(report, "listed as red: %s %s\n", entry.Test, status)
}
