package fleet

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"snowflow/internal/rehearse/layout"
)

// TestProgramPath checks that a program is started under its present name, and under its former one if a build has only that.
func TestProgramPath(t *testing.T) {
	for _, testCase := range []struct {
		name, want string
		files      []string
	}{
		{"present", "proxy", []string{"proxy"}},
		{"former", "carrier", []string{"carrier"}},
		{"both", "proxy", []string{"carrier", "proxy"}},
		{"none", "proxy", nil},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			dir := t.TempDir()
			for _, file := range testCase.files {
				if err := os.WriteFile(filepath.Join(dir, file), nil, 0o600); err != nil {
					t.Fatal(err)
				}
			}
			if path := programPath(dir, ProxyProgram); path != filepath.Join(dir, testCase.want) {
				t.Errorf("the path is %s", path)
			}
		})
	}
}

// TestSettingsOfFormerBuilds checks that settings files have names and values that builds of all releases can read.
func TestSettingsOfFormerBuilds(t *testing.T) {
	for balance, want := range map[string]string{"near": "", "uniform": `"choice": "blind"`, "blind": `"choice": "blind"`} {
		t.Run(balance, func(t *testing.T) {
			f, err := New(layout.All["small"], Options{Dir: t.TempDir(), Subnet: 7, LoadBalancing: balance, LogLevel: "info"})
			if err != nil {
				t.Fatal(err)
			}
			content, err := os.ReadFile(f.Proxies[0].settingsFile())
			if err != nil {
				t.Fatal(err)
			}
			if !strings.Contains(string(content), want) || strings.Contains(string(content), "choice") != (want != "") || !strings.Contains(string(content), `"desk": "127.7.0.1:7301"`) {
				t.Errorf("the settings are %s", content)
			}
		})
	}
}
