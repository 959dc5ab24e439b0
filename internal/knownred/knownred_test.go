package knownred_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"snowflow/internal/knownred"
)

// TestJudge compares verdicts with the expected ones. Each input line is a package, a test (- for the package itself) and an event: an
// action, or "says" and the text that was printed. A line with fewer words isn't an event. The verdict must not depend on map order, so
// each case is repeated.
func TestJudge(t *testing.T) {
	entries := []knownred.Entry(nil)
	datadriven.RunTest(t, "testdata/verdicts", func(t *testing.T, data *datadriven.TestData) string {
		if data.Cmd == "list" {
			var err error
			if entries, err = knownred.Parse(data.Input); err != nil {
				return err.Error() + "\n"
			}
			text := ""
			for _, entry := range entries {
				text += fmt.Sprintf("%q\n", []string{entry.Test, entry.Command, entry.Seen, entry.Issue})
			}
			return text
		}
		stream, failed := &strings.Builder{}, false
		data.MaybeScanArgs(t, "failed", &failed)
		for _, line := range strings.Split(data.Input, "\n") {
			words := strings.SplitN(line, " ", 3)
			if len(words) < 3 {
				fmt.Fprintln(stream, line)
				continue
			}
			if words[1] == "-" {
				words[1] = ""
			}
			if text, output := strings.CutPrefix(words[2], "says "); output {
				fmt.Fprintf(stream, "{\"Action\":\"output\",\"Package\":\"snowflow/%s\",\"Test\":%q,\"Output\":%q}\n", words[0], words[1], text+"\n")
				continue
			}
			fmt.Fprintf(stream, "{\"Action\":%q,\"Package\":\"snowflow/%s\",\"Test\":%q}\n", words[2], words[0], words[1])
		}
		first := ""
		for attempt := range 5 {
			run, err := knownred.Read("snowflow", strings.NewReader(stream.String()))
			if err != nil {
				t.Fatal(err)
			}
			verdict := knownred.Judge(entries, run, failed)
			if text := fmt.Sprintf("pass %v\n%s", verdict.Passed, verdict.Text); attempt > 0 && text != first {
				t.Errorf("a repetition gave a different verdict on the same run: %s", text)
			} else {
				first = text
			}
		}
		return first
	})
}

// module is the go.mod of the module under test.
const module = "module snowflow\n\ngo 1.26\n"

// tests is a test file with tests that pass and tests that fail.
const tests = `package one

import "testing"

func TestGood(t *testing.T) {}
func TestBad(t *testing.T) { t.Error("always fails") }
func TestTree(t *testing.T) {
	t.Run("good", func(t *testing.T) {})
	t.Run("bad", func(t *testing.T) { t.Error("always fails") })
}
`

// exportedGo is an environment variable that defines a shell function named go, like the one that the .ci/run that runs these tests
// exports. It must not affect the .ci/run under test.
const exportedGo = "BASH_FUNC_go%%=() { echo 'the go function of another .ci/run'; return 1; }"

// checkout is a small module with the project's own .ci/run, package knownred, and tests that pass and fail.
type checkout struct {
	t    *testing.T
	root string
}

func newCheckout(t *testing.T) *checkout {
	t.Helper()
	c := &checkout{t: t, root: t.TempDir()}
	sources, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range append(sources, "ci/main.go") {
		if !strings.HasSuffix(name, "_test.go") {
			c.write("internal/knownred/"+name, readFile(t, name))
		}
	}
	c.write(".ci/run", readFile(t, "../../.ci/run"))
	c.write("go.mod", module)
	c.write("README.md", "# one\n\n## Tests\n\n    go vet ./... && go test ./one/... && go test -vet=off $(go list ./... | grep -v one/)\n\n## More\n\n    false\n")
	c.write("one/one_test.go", tests)
	c.write("two/two_test.go", strings.ReplaceAll(strings.Split(tests, "func TestBad")[0], "package one", "package two"))
	return c
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func (c *checkout) write(name, content string) {
	c.t.Helper()
	path := filepath.Join(c.root, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		c.t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(content), 0o700); err != nil {
		c.t.Fatal(err)
	}
}

// ci runs .ci/run with the given KNOWN-RED.txt, or without one if list is empty.
func (c *checkout) ci(list string) (passed bool, output string) {
	c.t.Helper()
	_ = os.Remove(filepath.Join(c.root, "KNOWN-RED.txt"))
	if list != "" {
		c.write("KNOWN-RED.txt", list)
	}
	command := exec.Command(filepath.Join(c.root, ".ci", "run"))
	command.Env = append(os.Environ(), exportedGo)
	content, err := command.CombinedOutput()
	return err == nil, string(content)
}

// TestWithGo runs tests with the real go command through the project's own .ci/run. Each step keeps the files of the steps before it.
func TestWithGo(t *testing.T) {
	checkout := newCheckout(t)
	bad, tree := "one.TestBad | go test ./one | it always fails | 7\n", "one.TestTree/bad | go test ./one | this one too | 8\n"
	script := "one/TestBad.sh | one/TestBad.sh, seed 1 | a script | 9\n"
	noChange := func() {}
	panics := func() {
		checkout.write("one/two_test.go", "package one\n\nimport \"testing\"\n\nfunc TestPanic(t *testing.T) { panic(1) }\n")
	}
	doesNotBuild := func() { checkout.write("one/two_test.go", "package one\n\nimport \"nothing\"\n") }
	for _, step := range []struct {
		name, list string
		change     func()
		passed     bool
		want       []string
	}{
		{"no list", "", noChange, false, []string{"--- FAIL: TestBad"}},
		{"all failures are listed", bad + tree, noChange, true, []string{"known red: " + bad, "known red: " + tree, "snowflow/two"}},
		{"one failure isn't listed", bad, noChange, false, []string{"not known: one.TestTree", "known red: one.TestBad"}},
		{"an entry for a script of the same name doesn't list the test", script + tree, noChange, false, []string{"not known: one.TestBad", "known, not a Go test: " + script}},
		{"a listed test passes", bad + tree + "two.TestGood | go test ./two | it was bad | 9\n", noChange, true, []string{"listed as red: two.TestGood passes now"}},
		{"invalid list", bad + "\none.TestTree\n", noChange, false, []string{"KNOWN-RED.txt: line 3: must be"}},
		{"a panic keeps later tests from running", bad + tree + "one.TestPanic | go test ./one | it panics | 9\n", panics, false, []string{"one failed otherwise than by a test"}},
		{"a package doesn't build", bad + tree, doesNotBuild, false, nil},
	} {
		step.change()
		passed, output := checkout.ci(step.list)
		if passed != step.passed {
			t.Errorf("%s: .ci/run returned passed %v\n%s", step.name, passed, output)
		}
		for _, want := range step.want {
			if !strings.Contains(output, want) {
				t.Errorf("%s: the output doesn't contain %q\n%s", step.name, want, output)
			}
		}
	}
}
