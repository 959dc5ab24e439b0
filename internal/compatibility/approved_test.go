package compatibility

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "write the approved files anew; refused where CI is set")

// requireApproved compares a text with an approved file, and names the first line that differs.
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
	approved, present := strings.Split(string(content), "\n"), strings.Split(text, "\n")
	for index := range max(len(approved), len(present)) {
		if want, have := lineAt(approved, index), lineAt(present, index); want != have {
			t.Fatalf("%s:%d differs from what was approved:\napproved %q\npresent  %q", path, index+1, want, have)
		}
	}
}

func lineAt(lines []string, index int) string {
	if index < len(lines) {
		return lines[index]
	}
	return "(no line)"
}

// requireOneApproved compares a text with several approved files, one of which it must equal. It never writes them.
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
	t.Errorf("neither of %v is\n%s", names, text)
}
