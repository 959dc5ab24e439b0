package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// raceDetector is whether the tests, and therefore the programs, are built with the race detector.
var raceDetector bool

// buildBinaries builds the programs once for all tests of this package, and returns their folder.
func buildBinaries(t *testing.T) string {
	t.Helper()
	folder := filepath.Join(os.TempDir(), fmt.Sprintf("snowflow-binaries-%d", os.Getpid()))
	if _, err := os.Stat(folder); err == nil {
		return folder
	}
	command := exec.Command("go", "build", "-buildvcs=false", fmt.Sprintf("-race=%v", raceDetector), "-o", folder+"/", "snowflow/cmd/...")
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	return folder
}

func TestMain(main *testing.M) {
	code := main.Run()
	_ = os.RemoveAll(filepath.Join(os.TempDir(), fmt.Sprintf("snowflow-binaries-%d", os.Getpid())))
	os.Exit(code)
}

// options returns the options of a short run on the small layout. Each test needs its own subnet, also among the tests of other
// packages.
func options(t *testing.T, name string, subnet int) Options {
	t.Helper()
	return Options{Layout: "small", Scenario: name, Duration: 4 * time.Second, LoadFactor: 1, Dir: t.TempDir(), BinaryDir: buildBinaries(t), Subnet: subnet, UseRelays: true, LoadBalancing: "near"}
}

// runScenario runs a scenario, which must end without findings and without data races in the programs' logs.
func runScenario(t *testing.T, chosen Options) {
	t.Helper()
	report, err := Run(chosen, t.Logf)
	t.Log(report.Text())
	if err != nil {
		t.Error(err)
	}
	for _, path := range logFiles(t, chosen.Dir) {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Error(err)
		}
		if _, race, found := strings.Cut(string(content), "WARNING: DATA RACE"); found {
			t.Errorf("%s: data race%.3000s", path, race)
		}
	}
}

// logFiles returns the paths of the processes' logs below a folder.
func logFiles(t *testing.T, dir string) []string {
	t.Helper()
	logs, err := filepath.Glob(filepath.Join(dir, "*", "log"))
	if err != nil || len(logs) == 0 {
		t.Errorf("no logs in %s: %v", dir, err)
	}
	return logs
}

// TestFleetSurvives runs short scenarios with real processes. Its result depends only on the checkers, not on the machine's speed.
func TestFleetSurvives(t *testing.T) {
	for index, name := range []string{"kill-primaries", "closing"} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, options(t, name, 201+index))
		})
	}
}

// TestTenantKeysRotate replaces tenants' keys under traffic. No log may contain a key.
func TestTenantKeysRotate(t *testing.T) {
	chosen := options(t, "revocations", 221)
	runScenario(t, chosen)
	for _, path := range logFiles(t, chosen.Dir) {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Error(err)
		}
		if _, after, found := strings.Cut(string(content), keyMarker); found {
			t.Errorf("%s contains a tenant's key: %.300s", path, after)
		}
	}
}

// formerNamesCommit is the last commit before the programs, folders and settings were renamed.
const formerNamesCommit = "ce067a0c79580d2c076c4b0c8de3fd9d522b407b"

// TestVersions rolls a fleet to an earlier build and back to this one, under traffic. The earlier builds are the previous commit and
// the last one before the programs were renamed.
func TestVersions(t *testing.T) {
	for index, one := range []struct{ name, commit string }{{"previous commit", "HEAD~1"}, {"former names", formerNamesCommit}} {
		t.Run(one.name, func(t *testing.T) {
			chosen := options(t, "versions", 241+index)
			chosen.PreviousBinaryDir = earlierBinaries(t, one.commit)
			runScenario(t, chosen)
		})
	}
}

// earlierBinaries builds the programs of an earlier commit, under the names that they have there, and returns their folder. It skips
// the test if the checkout does not contain the commit.
func earlierBinaries(t *testing.T, commit string) string {
	t.Helper()
	top, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		t.Skipf("no history in this checkout: %v", err)
	}
	source, binaryDir := t.TempDir(), t.TempDir()
	archive := exec.Command("git", "archive", "--format=tar", "--output="+filepath.Join(source, "earlier.tar"), commit)
	archive.Dir = strings.TrimSpace(string(top))
	if err := archive.Run(); err != nil {
		t.Skipf("no commit %s in this checkout: %v", commit, err)
	}
	for _, command := range []*exec.Cmd{
		exec.Command("tar", "-xf", "earlier.tar"),
		exec.Command("go", "build", "-buildvcs=false", "-o", binaryDir+"/", "./cmd/..."),
	} {
		command.Dir = source
		if output, err := command.CombinedOutput(); err != nil {
			t.Fatalf("%v: %v\n%s", command.Args, err, output)
		}
	}
	return binaryDir
}
