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

// read returns the content of a file, given its path relative to docs.
func read(t *testing.T, name string) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("..", "..", "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

// TestEventsAreListed checks that docs/events.md lists each event with its level and text.
func TestEventsAreListed(t *testing.T) {
	page := read(t, "events.md")
	for number, event := range eventlog.Catalogue {
		if !strings.Contains(page, fmt.Sprintf("| %d | %s | %s |", number, event.Level, event.Text)) {
			t.Errorf("event %d (%s) is not in docs/events.md as it is in the code", number, event.Text)
		}
	}
}

// TestCausesAreListed checks that docs/interfaces.md lists each cause with its name and status.
func TestCausesAreListed(t *testing.T) {
	page := read(t, "interfaces.md")
	for cause, name := range apierror.Causes() {
		if !strings.Contains(page, fmt.Sprintf("| %d | %s | %d |", cause, name, apierror.New(cause, apierror.NotRun, "").Status())) {
			t.Errorf("cause %d (%s) is not in docs/interfaces.md as it is in the code", cause, name)
		}
	}
}

// TestSettingsAreListed checks that docs/settings.md names each setting.
func TestSettingsAreListed(t *testing.T) {
	page := read(t, "settings.md")
	for _, field := range append(settings.ControlPlaneFields(), settings.ProxyFields()...) {
		if !strings.Contains(page, "`"+field.Name+"`") {
			t.Errorf("setting %s is not in docs/settings.md", field.Name)
		}
	}
}

// TestExampleSettings checks that each program accepts the example settings for it.
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

// TestScenariosAreListed checks that docs/rules.md names each scenario of the rehearsals and the simulation.
func TestScenariosAreListed(t *testing.T) {
	page := read(t, "rules.md")
	for name := range scenario.All {
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("scenario %s is not in docs/rules.md", name)
		}
	}
	for name := range simulated.Scenarios {
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("simulated scenario %s is not in docs/rules.md", name)
		}
	}
}

// link matches a Markdown link to a page.
var link = regexp.MustCompile(`\]\(([^)#]+\.md)\)`)

// TestLinksResolve checks that the target of each link between pages exists.
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
				t.Errorf("%s has a broken link: %s", path, found[1])
			}
		}
		return nil
	})
}

// wallClockReaders are the places that may read the system's clocks directly: for network timeouts, for measurements, or for display.
var wallClockReaders = []string{"internal/host/machine/", "internal/monotonic/", "internal/proxy/upstream/", "internal/wal/folder/",
	"internal/replication/status.go", "internal/rehearse/", "internal/snowctl/", "cmd/rehearse/"}

// TestNothingElseReadsTheWallClock checks that only wallClockReaders read the system's clocks. All other code gets the time from the
// host, so that no decision depends on a clock that can jump. What wallClockReaders read is either compared with another reading of the
// same process, which Go does on the monotonic clock, or only displayed.
func TestNothingElseReadsTheWallClock(t *testing.T) {
	root, checked := filepath.Join("..", ".."), 0
	_ = filepath.Walk(root, func(path string, _ os.FileInfo, err error) error {
		name, _ := filepath.Rel(root, path)
		if err != nil || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return err
		}
		checked++
		for _, allowed := range wallClockReaders {
			if strings.HasPrefix(name, allowed) {
				return nil
			}
		}
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(content), "time.Now(") || strings.Contains(string(content), "time.Since(") {
			t.Errorf("%s reads a clock without the host", name)
		}
		return nil
	})
	if checked < 50 {
		t.Fatalf("only %d files were checked", checked)
	}
}
