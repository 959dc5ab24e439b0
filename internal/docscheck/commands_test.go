package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"snowflow/internal/eventlog"
	"snowflow/internal/snowctl"
)

var (
	snowctlCall = regexp.MustCompile(`\bsnowctl ([a-z]+)([^|.;:` + "`" + `]*)`)
	flagName    = regexp.MustCompile(`--([a-z-]+)`)
	metricName  = regexp.MustCompile(`\bsnowflow_[a-z_]+`)
	eventNumber = regexp.MustCompile(`\b[1-7]\d\d\b`)
)

// TestOperatorCommandsExist checks that snowctl has each command and flag that the pages for operators show.
func TestOperatorCommandsExist(t *testing.T) {
	root, checked := snowctl.Root(), 0
	for _, name := range []string{"operators.md", "notes/route-changes.md", "notes/roll-out.md", "../README.md"} {
		for _, call := range snowctlCall.FindAllStringSubmatch(read(t, name), -1) {
			checked++
			command := findCommand(root, call[1])
			if command == nil {
				t.Errorf("%s: snowctl has no command %s", name, call[1])
				continue
			}
			for _, flag := range flagName.FindAllStringSubmatch(call[2], -1) {
				if command.Flags().Lookup(flag[1]) == nil && root.PersistentFlags().Lookup(flag[1]) == nil {
					t.Errorf("%s: snowctl %s has no flag --%s", name, call[1], flag[1])
				}
			}
		}
	}
	if checked < 20 {
		t.Errorf("only %d commands are shown", checked)
	}
}

// findCommand returns the command with a name or alias, or nil.
func findCommand(root *cobra.Command, name string) *cobra.Command {
	for _, command := range root.Commands() {
		if command.Name() == name || command.HasAlias(name) {
			return command
		}
	}
	return nil
}

// TestOperatorMetricsExist checks that some program exports each metric that the page for operators names.
func TestOperatorMetricsExist(t *testing.T) {
	exported := metricsInSources(t)
	named := metricName.FindAllString(read(t, "operators.md"), -1)
	for _, name := range named {
		if !exported[name] {
			t.Errorf("no program exports the metric %s", name)
		}
	}
	if len(named) < 10 {
		t.Errorf("only %d metrics are named", len(named))
	}
}

// metricsInSources returns the string literals in the sources that contain names of metrics.
func metricsInSources(t *testing.T) map[string]bool {
	t.Helper()
	names := map[string]bool{}
	for _, folder := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join("..", "..", folder), func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
			if err != nil {
				return err
			}
			ast.Inspect(file, func(node ast.Node) bool {
				if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
					if value, err := strconv.Unquote(literal.Value); err == nil && metricName.MatchString(value) {
						names[value] = true
					}
				}
				return true
			})
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return names
}

// TestOperatorEventsExist checks that each number after "event" or "events" on the page for operators is the number of an event.
func TestOperatorEventsExist(t *testing.T) {
	checked := 0
	for _, phrase := range regexp.MustCompile(`[Ee]vents? [1-7]\d\d(?:(?:, | and | or | to )[1-7]\d\d)*`).FindAllString(read(t, "operators.md"), -1) {
		for _, digits := range eventNumber.FindAllString(phrase, -1) {
			checked++
			number, err := strconv.Atoi(digits)
			if err != nil {
				t.Fatal(err)
			}
			if _, listed := eventlog.Catalogue[number]; !listed {
				t.Errorf("there is no event %d", number)
			}
		}
	}
	if checked < 10 {
		t.Errorf("only %d events are named", checked)
	}
}
