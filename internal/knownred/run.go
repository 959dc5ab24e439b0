package knownred

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
)

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
