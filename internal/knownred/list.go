package knownred

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// Entry is one line of the list of tests that are known to fail. No field is empty.
type Entry struct {
	// Test is a Go test, written as the package's folder, a dot and the test's name, or another check: the path of a script, or of a
	// file of deploy/days, which plans a rehearsal.
	Test    string
	Command string // how to run it, with the seed
	Seen    string // what was seen
	Issue   string
}

const (
	// entryFields is the number of fields of an entry.
	entryFields = 4
	// fieldSeparator separates the fields.
	fieldSeparator = " | "
)

// goTestPattern matches Entry.Test of a Go test. Its groups are the folder and the name of the test.
var goTestPattern = regexp.MustCompile(`^(\S+?)\.((?:Test|Fuzz|Example)\S*)$`)

// ErrBadLine is returned by Parse for a line that isn't an entry.
var ErrBadLine = errors.New("must be a test, a command with its seed, what was seen and an issue, separated by \"" + fieldSeparator + "\"")

// Parse parses the list, which has one entry per line. It skips empty lines. The error names the first invalid line.
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
			return nil, fmt.Errorf("line %d: %s is listed twice", number+1, entry.Test)
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
		return Entry{}, fmt.Errorf("%q is neither folder.TestName nor the path of a script or of a file of deploy/days", entry.Test)
	}
	return entry, nil
}

// goTest returns the folder and the name of the entry's Go test. isGoTest is false for another check.
func (e Entry) goTest() (folder, name string, isGoTest bool) {
	groups := goTestPattern.FindStringSubmatch(e.Test)
	if groups == nil {
		return "", "", false
	}
	return groups[1], groups[2], true
}

// String formats the entry as a line of the list.
func (e Entry) String() string {
	return strings.Join([]string{e.Test, e.Command, e.Seen, e.Issue}, fieldSeparator)
}
