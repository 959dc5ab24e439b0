package compatibility

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the approved files; fails if CI is set")

// requireApproved fails the test unless a text equals an approved file. It reports the first line that differs.
func requireApproved(t *testing.T, name, text string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if os.Getenv("CI") != "" {
			t.Fatal("approved files are not written in CI")
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(content) == text {
		return
	}
	approvedLines, gotLines := strings.Split(string(content), "\n"), strings.Split(text, "\n")
	for index := range max(len(approvedLines), len(gotLines)) {
		if want, got := lineAt(approvedLines, index), lineAt(gotLines, index); want != got {
			t.Fatalf("%s:%d differs from the approved line:\napproved %q\ngot      %q", path, index+1, want, got)
		}
	}
}

// lineAt returns a line, or a placeholder beyond the last one.
func lineAt(lines []string, index int) string {
	if index < len(lines) {
		return lines[index]
	}
	return "(no line)"
}

// requireOneApproved reports an error unless a text equals one of several approved files. It never writes them.
func requireOneApproved(t *testing.T, names []string, text string) {
	t.Helper()
	for _, name := range names {
		content, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		if string(content) == text {
			return
		}
	}
	t.Errorf("none of %v equals\n%s", names, text)
}
