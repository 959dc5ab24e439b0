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
	action string
	output []string
	own    bool
	ended  bool // the testing package came to its own end with a failure, so that every test has run
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
		told := event{}
		if err := json.Unmarshal(lines.Bytes(), &told); err != nil || told.Action == "" {
			run.stray = append(run.stray, lines.Text())
			continue
		}
		run.note(told)
	}
	return run, lines.Err()
}

func (run *Run) note(told event) {
	if told.Package == "" { // of a build
		if told.Output != "" {
			run.stray = append(run.stray, strings.TrimSuffix(told.Output, "\n"))
		}
		return
	}
	tests := run.packages[told.Package]
	if tests == nil {
		tests = map[string]*outcome{}
		run.packages[told.Package] = tests
	}
	present := tests[told.Test]
	if present == nil {
		present = &outcome{}
		tests[told.Test] = present
	}
	if told.Action != "output" {
		present.action = told.Action
		return
	}
	present.output = append(present.output, told.Output)
	present.ended = present.ended || told.Output == "FAIL\n"
	line := strings.TrimSpace(told.Output)
	present.own = present.own || line != "" && !strings.HasPrefix(line, "=== ") && !strings.HasPrefix(line, "--- ")
}

// Verdict is what is said of a run. Invariant: for the same list and the same outcomes it's the same text.
type Verdict struct {
	Pass bool
	Text string
}

// Judge lets failures of listed tests pass, and nothing else. failed tells that the go command itself ended with a failure.
func Judge(entries []Entry, run *Run, failed bool) Verdict {
	verdict, said, red := Verdict{Pass: true}, &strings.Builder{}, map[string]bool{}
	for _, line := range run.stray {
		fmt.Fprintln(said, line)
	}
	explained := false
	for _, name := range slices.Sorted(maps.Keys(run.packages)) {
		tests := run.packages[name]
		fails := run.look(entries, name, tests, red)
		for _, test := range slices.Sorted(maps.Keys(tests)) {
			if present := tests[test]; test == "" || present.action == "fail" {
				said.WriteString(strings.Join(present.output, ""))
			}
		}
		for _, fail := range fails {
			fmt.Fprintf(said, "not known: %s\n", fail)
			verdict.Pass = false
		}
		explained = explained || tests[""] != nil && tests[""].action == "fail"
	}
	if failed && !explained {
		fmt.Fprintln(said, "not known: the go command failed, and no package says why")
		verdict.Pass = false
	}
	for _, entry := range entries {
		run.tell(said, entry, red)
	}
	verdict.Text = said.String()
	return verdict
}

// look gives what failed in a package and isn't let pass, and marks the entries that are red.
func (run *Run) look(entries []Entry, name string, tests map[string]*outcome, red map[string]bool) (fails []string) {
	place, covered, failing := strings.TrimPrefix(name, run.module+"/"), map[string]bool{}, 0
	for _, test := range slices.Sorted(maps.Keys(tests)) {
		present := tests[test]
		if test == "" || present.action != "fail" && present.action != "" && present.action != "run" {
			continue
		}
		if present.action != "fail" {
			fails = append(fails, place+"."+test+" did not end")
			continue
		}
		failing++
		for _, entry := range entries {
			if listed := strings.TrimPrefix(entry.Test, place+"."); listed != entry.Test && (listed == test || strings.HasPrefix(test, listed+"/")) {
				covered[test], red[entry.Test] = true, true
			}
		}
	}
	for _, test := range slices.Sorted(maps.Keys(tests)) {
		if test != "" && tests[test].action == "fail" && !covered[test] && !onlyBelow(test, tests, covered) {
			fails = append(fails, place+"."+test)
		}
	}
	if whole := tests[""]; whole != nil && whole.action == "fail" && (failing == 0 || !whole.ended) {
		fails = append(fails, place+" failed otherwise than by a test")
	} else if whole == nil || whole.action != "fail" && whole.action != "pass" && whole.action != "skip" {
		fails = append(fails, place+" did not end")
	}
	return fails
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
	return below && !tests[test].own
}

// tell says how an entry's test did, if its package was run.
func (run *Run) tell(said *strings.Builder, entry Entry, red map[string]bool) {
	if red[entry.Test] {
		fmt.Fprintf(said, "known red: %s, %s, %s\n", entry.Test, entry.Cause, entry.Issue)
		return
	}
	place, test, _ := strings.Cut(entry.Test, ".Test")
	tests := run.packages[run.module+"/"+place]
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
	fmt.Fprintf(said, "listed as red: %s %s\n", entry.Test, how)
}
