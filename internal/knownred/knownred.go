// Package knownred judges a test run by KNOWN-RED.txt, the list of tests that are known to fail: only failures of listed tests pass.
package knownred

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// Entry is one line of the list. No field is empty.
type Entry struct {
	// Test is a Go test, as the package's folder, a dot and the test's name, or another check: the path of a script or a day.
	Test    string
	Command string // how to run it, with the seed
	Seen    string // what was seen
	Issue   string
}

const (
	// entryFields is the number of fields of an entry.
	entryFields = 4
	// fieldSeparator stands between them.
	fieldSeparator = " | "
)

// goTest matches the name of a Go test. Its groups are the folder and the test's own name.
var goTest = regexp.MustCompile(`^(\S+?)\.((?:Test|Fuzz|Example)\S*)$`)

// ErrBadLine is the error of a line that is no entry.
var ErrBadLine = errors.New("must be a test, a command with its seed, what was seen and an issue, separated by \"" + fieldSeparator + "\"")

// Parse reads the list, an entry on each line. Empty lines are skipped. The error names the first bad line.
func Parse(content string) (entries []Entry, err error) {
	seen := map[string]bool{}
	for number, line := range strings.Split(content, "\n") {
		if strings.TrimSpace(line) == "" {
			continue
		}
		entry, err := parseEntry(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", number+1, err)
		}
		if seen[entry.Test] {
			return nil, fmt.Errorf("line %d: %s is there twice", number+1, entry.Test)
		}
		seen[entry.Test] = true
		entries = append(entries, entry)
	}
	return entries, nil
}

func parseEntry(line string) (Entry, error) {
	fields := strings.Split(line, fieldSeparator)
	for index, field := range fields {
		fields[index] = strings.TrimSpace(field)
	}
	if len(fields) != entryFields || slices.Contains(fields, "") {
		return Entry{}, ErrBadLine
	}
	entry := Entry{Test: fields[0], Command: fields[1], Seen: fields[2], Issue: fields[3]}
	if _, _, isGoTest := entry.goTest(); !isGoTest && (strings.ContainsAny(entry.Test, " \t") || !strings.Contains(entry.Test, "/")) {
		return Entry{}, fmt.Errorf("%q is neither folder.TestName nor the path of a script or a day", entry.Test)
	}
	return entry, nil
}

// goTest returns the folder and the name of the Go test that an entry names, if it names one.
func (e Entry) goTest() (folder, name string, isGoTest bool) {
	groups := goTest.FindStringSubmatch(e.Test)
	if groups == nil {
		return "", "", false
	}
	return groups[1], groups[2], true
}

// String returns the entry as it stands in the list.
func (e Entry) String() string {
	return strings.Join([]string{e.Test, e.Command, e.Seen, e.Issue}, fieldSeparator)
}

// event is one line of the go command's -json output.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// outcome is the result of one test or package.
type outcome struct {
	action    string
	output    []string
	ownOutput bool // it printed something itself, apart from the go command's own lines
	ended     bool // the test binary ended in order with a failure, so every test has run
}

// Run is the recorded output of one run.
type Run struct {
	module   string
	packages map[string]map[string]*outcome // by package, then by test; the package itself is under ""
	stray    []string
}

// Read reads the go command's -json output. Lines that aren't its events are kept and printed with the verdict.
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

// record adds one event.
func (run *Run) record(seen event) {
	if seen.Package == "" { // a build's output
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
