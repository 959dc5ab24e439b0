package docscheck

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/pflag"

	"snowflow/internal/eventlog"
	"snowflow/internal/rehearse/scenario"

	"snowflow/internal/apierror"
	"snowflow/internal/settings"
	simulated "snowflow/internal/simulation/scenario"
)

func read(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("..", "..", "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func TestEventsAreListed(t *testing.T) {
	page := read(t, "events.md")
	for number, listed := range eventlog.Catalogue {
		if !strings.Contains(page, fmt.Sprintf("| %d | %s | %s |", number, listed.Level, listed.Text)) {
			t.Errorf("event %d (%s) is not in docs/events.md as it is in the code", number, listed.Text)
		}
	}
}

func TestCausesAreListed(t *testing.T) {
	page := read(t, "interfaces.md")
	for cause, name := range apierror.Causes() {
		if !strings.Contains(page, fmt.Sprintf("| %d | %s | %d |", cause, name, apierror.New(cause, apierror.NotRun, "").Status())) {
			t.Errorf("cause %d (%s) is not in docs/interfaces.md as it is in the code", cause, name)
		}
	}
}

func TestSettingsAreListed(t *testing.T) {
	page := read(t, "settings.md")
	for _, field := range append(settings.ControlPlaneFields(), settings.ProxyFields()...) {
		if !strings.Contains(page, "`"+field.Name+"`") {
			t.Errorf("setting %s is not in docs/settings.md", field.Name)
		}
	}
}

// TestExampleSettings: what operators are shown to start from is taken.
func TestExampleSettings(t *testing.T) {
	for program, fields := range map[string][]settings.Field{"registry": settings.ControlPlaneFields(), "configstore": settings.ControlPlaneFields(), "proxy": settings.ProxyFields()} {
		flags := pflag.NewFlagSet(program, pflag.ContinueOnError)
		settings.AddFlags(flags, fields)
		if err := flags.Set("env", "../../examples/env/"+program+"-1.json"); err != nil {
			t.Fatal(err)
		}
		if _, err := settings.Load(flags, fields); err != nil {
			t.Errorf("%s: %v", program, err)
		}
	}
}

func TestScenariosAreListed(t *testing.T) {
	page := read(t, "rules.md")
	for name := range scenario.All {
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("scenario %s is not in docs/rules.md", name)
		}
	}
	for name := range simulated.Scenarios {
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("course %s is not in docs/rules.md", name)
		}
	}
}

var link = regexp.MustCompile(`\]\(([^)#]+\.md)\)`)

func TestLinksResolve(t *testing.T) {
	root := filepath.Join("..", "..", "docs")
	_ = filepath.Walk(root, func(path string, _ os.FileInfo, err error) error {
		if err != nil || !strings.HasSuffix(path, ".md") {
			return err
		}
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, found := range link.FindAllStringSubmatch(string(content), -1) {
			if _, err := os.Stat(filepath.Join(filepath.Dir(path), found[1])); err != nil {
				t.Errorf("%s leads nowhere: %s", path, found[1])
			}
		}
		return nil
	})
}

// wallReaders may read the wall clock or the machine's own: for network cutoffs, for measuring, for people.
var wallReaders = []string{"internal/host/machine/", "internal/monotonic/", "internal/proxy/upstream/", "internal/wal/folder/",
	"internal/replication/status.go", "internal/rehearse/", "internal/snowctl/", "cmd/rehearse/"}

// TestNothingElseReadsTheWallClock: what decides goes through the host, so a clock that jumps decides nothing. What
// the listed places read is either compared with another reading of the same process, which Go does on the
// monotonic clock, or only shown.
func TestNothingElseReadsTheWallClock(t *testing.T) {
	root, looked := filepath.Join("..", ".."), 0
	_ = filepath.Walk(root, func(path string, _ os.FileInfo, err error) error {
		name, _ := filepath.Rel(root, path)
		if err != nil || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return err
		}
		looked++
		for _, allowed := range wallReaders {
			if strings.HasPrefix(name, allowed) {
				return nil
			}
		}
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(content), "time.Now(") || strings.Contains(string(content), "time.Since(") {
			t.Errorf("%s reads a clock past the host", name)
		}
		return nil
	})
	if looked < 50 {
		t.Fatalf("only %d files were looked at", looked)
	}
}
