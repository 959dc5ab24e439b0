package knownred

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
)

// event is one line of the output of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// outcome is the result and the output of one test or package.
type outcome struct {
	action    string // the last action other than output, such as run, pass, fail or skip; empty if there was none
	output    []string
	ownOutput bool // there is output other than the lines that package testing adds
	ended     bool // the test binary printed FAIL at its regular end, so every test has run
}

// Run is the recorded output of one test run.
type Run struct {
	module   string
	packages map[string]map[string]*outcome // by package, then by test; the package itself is under ""
	other    []string                       // lines that don't belong to a package
}

// Read reads the output of go test -json. module is the path of the module under test. Lines that aren't events are recorded, and printed
// with the verdict.
func Read(module string, stream io.Reader) (*Run, error) {
	run := &Run{module: module, packages: map[string]map[string]*outcome{}}
	lines := bufio.NewScanner(stream)
	lines.Buffer(make([]byte, 64<<10), 64<<20)
	for lines.Scan() {
		ev := event{}
		if err := json.Unmarshal(lines.Bytes(), &ev); err != nil || ev.Action == "" {
			run.other = append(run.other, lines.Text())
			continue
		}
		run.record(ev)
	}
	return run, lines.Err()
}

// record records one event.
func (run *Run) record(ev event) {
	if ev.Package == "" { // output of the build
		if ev.Output != "" {
			run.other = append(run.other, strings.TrimSuffix(ev.Output, "\n"))
		}
		return
	}
	tests := run.packages[ev.Package]
	if tests == nil {
		tests = map[string]*outcome{}
		run.packages[ev.Package] = tests
	}
	result := tests[ev.Test]
	if result == nil {
		result = &outcome{}
		tests[ev.Test] = result
	}
	if ev.Action != "output" {
		result.action = ev.Action
		return
	}
	result.output = append(result.output, ev.Output)
	result.ended = result.ended || ev.Output == "FAIL\n"
	text := strings.TrimSpace(ev.Output)
	result.ownOutput = result.ownOutput || text != "" && !strings.HasPrefix(text, "=== ") && !strings.HasPrefix(text, "--- ")
}
