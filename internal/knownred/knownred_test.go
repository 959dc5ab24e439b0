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

// TestJudge approves verdicts. A line is a package, a test (- for the package itself), and its result: an action, or text that it printed.
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
		for turn := range 5 {
			run, err := knownred.Read("snowflow", strings.NewReader(stream.String()))
			if err != nil {
				t.Fatal(err)
			}
			verdict := knownred.Judge(entries, run, failed)
			if text := fmt.Sprintf("pass %v\n%s", verdict.Passed, verdict.Text); turn > 0 && text != first {
				t.Errorf("another verdict on the same run: %s", text)
			} else {
				first = text
			}
		}
		return first
	})
}

const module = "module snowflow\n\ngo 1.26\n"

const tests = `package one

import "testing"

func TestGood(t *testing.T) {}
func TestBad(t *testing.T) { t.Error("as ever") }
func TestTree(t *testing.T) {
	t.Run("good", func(t *testing.T) {})
	t.Run("bad", func(t *testing.T) { t.Error("as ever") })
}
`

// exportedGo is a shell function named go in the environment, as the .ci/run that runs these tests exports one. It must not reach
// the .ci/run under test.
const exportedGo = "BASH_FUNC_go%%=() { echo 'the go function of another .ci/run'; return 1; }"

// TestWithGo runs tests by the go command itself, through the project's own .ci/run.
func TestWithGo(t *testing.T) {
	ciScript, err := os.ReadFile("../../.ci/run")
	if err != nil {
		t.Fatal(err)
	}
	root := t.TempDir()
	write := func(name, content string) {
		t.Helper()
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(content), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"knownred.go", "ci/main.go"} {
		content, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		write("internal/knownred/"+name, string(content))
	}
	write(".ci/run", string(ciScript))
	write("go.mod", module)
	write("README.md", "# one\n\n## Tests\n\n    go vet ./... && go test ./one/... && go test -vet=off $(go list ./... | grep -v one/)\n\n## More\n\n    false\n")
	write("one/one_test.go", tests)
	write("two/two_test.go", strings.ReplaceAll(strings.Split(tests, "func TestBad")[0], "package one", "package two"))
	ci := func(list string) (bool, string) {
		t.Helper()
		_ = os.Remove(filepath.Join(root, "KNOWN-RED.txt"))
		if list != "" {
			write("KNOWN-RED.txt", list)
		}
		command := exec.Command(filepath.Join(root, ".ci", "run"))
		command.Env = append(os.Environ(), exportedGo)
		output, err := command.CombinedOutput()
		return err == nil, string(output)
	}
	bad, tree := "one.TestBad | go test ./one | it was never good | 7\n", "one.TestTree/bad | go test ./one | nor was this | 8\n"
	script := "one/TestBad.sh | one/TestBad.sh, seed 1 | a script | 9\n"
	panics := func() {
		write("one/two_test.go", "package one\n\nimport \"testing\"\n\nfunc TestPanic(t *testing.T) { panic(1) }\n")
	}
	for _, step := range []struct {
		what, list string
		change     func()
		passed     bool
		expected   []string
	}{
		{"without a list", "", func() {}, false, []string{"--- FAIL: TestBad"}},
		{"all are listed", bad + tree, func() {}, true, []string{"known red: " + bad, "known red: " + tree, "snowflow/two"}},
		{"one isn't listed", bad, func() {}, false, []string{"not known: one.TestTree", "known red: one.TestBad"}},
		{"a script of that name doesn't list it", script + tree, func() {}, false, []string{"not known: one.TestBad", "known, not a Go test: " + script}},
		{"one passes", bad + tree + "two.TestGood | go test ./two | it was bad | 9\n", func() {}, true, []string{"listed as red: two.TestGood passes now"}},
		{"a list that can't be read", bad + "\none.TestTree\n", func() {}, false, []string{"KNOWN-RED.txt: line 3: must be"}},
		{"a panic hides the tests behind it", bad + tree + "one.TestPanic | go test ./one | it panics | 9\n", panics, false, []string{"one failed otherwise than by a test"}},
		{"what doesn't build", bad + tree, func() { write("one/two_test.go", "package one\n\nimport \"nothing\"\n") }, false, nil},
	} {
		step.change()
		passed, output := ci(step.list)
		if passed != step.passed {
			t.Errorf("%s: pass %v\n%s", step.what, passed, output)
		}
		for _, expected := range step.expected {
			if !strings.Contains(output, expected) {
				t.Errorf("%s: %q isn't told\n%s", step.what, expected, output)
			}
		}
	}
}
