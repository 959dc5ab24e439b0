package scenario

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"snowflow/internal/eventlog"
	"snowflow/internal/rehearse/standin"
)

// raced tells whether these tests look for data races; then the daemons do too.
var raceDetector bool

// binaries builds the daemons once for all tests of this package.
func binaries(t *testing.T) string {
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

func options(t *testing.T, name string, base int) Options {
	return Options{Layout: "small", Scenario: name, Duration: 4 * time.Second, LoadFactor: 1, Dir: t.TempDir(), BinaryDir: binaries(t), Subnet: base, UseRelays: true, LoadBalancing: "near"}
}

// rehearse plays a scenario. No daemon may have seen a data race.
func runScenario(t *testing.T, chosen Options) {
	t.Helper()
	report, err := Run(chosen, t.Logf)
	t.Log(report.Text())
	if err != nil {
		t.Error(err)
	}
	logs, err := filepath.Glob(filepath.Join(chosen.Dir, "*", "log"))
	if err != nil || len(logs) == 0 {
		t.Errorf("no logs in %s: %v", chosen.Dir, err)
	}
	for _, path := range logs {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Error(err)
		}
		if _, race, found := strings.Cut(string(content), "WARNING: DATA RACE"); found {
			t.Errorf("%s: data race%.3000s", path, race)
		}
	}
}

// TestFleetSurvives plays short rehearsals with real processes. Only the checkers judge; nothing depends on how fast
// this machine is.
func TestFleetSurvives(t *testing.T) {
	for index, name := range []string{"kill-primaries", "closing"} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, options(t, name, 201+index))
		})
	}
}

// namedBuild is the last commit whose programs, folders and settings have their former names.
const namedBuild = "ce067a0c79580d2c076c4b0c8de3fd9d522b407b"

// TestVersions rolls a fleet to an earlier build and back to this one, under traffic: to the project's previous commit, and to the
// last one before the programs were renamed.
func TestVersions(t *testing.T) {
	for index, one := range []struct{ name, commit string }{{"previous commit", "HEAD~1"}, {"former names", namedBuild}} {
		t.Run(one.name, func(t *testing.T) {
			chosen := options(t, "versions", 241+index)
			chosen.PreviousBinaryDir = earlierBinaries(t, one.commit)
			runScenario(t, chosen)
		})
	}
}

// earlierBinaries builds the programs of an earlier commit, under whatever names they have there. It skips the test where the
// checkout does not have that commit.
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

var variableParts = []struct {
	pattern *regexp.Regexp
	by      string
}{
	{regexp.MustCompile(`"digest":"[0-9a-f]{64}"`), `"digest":"..."`},
	{regexp.MustCompile(`"retry_after_micros":[1-9][0-9]*`), `"retry_after_micros":...`},
	{regexp.MustCompile(`"request":"[^"]*"`), `"request":"..."`},
	{regexp.MustCompile(`"left_micros":[1-9][0-9]*`), `"left_micros":...`},
	{regexp.MustCompile(`-[0-9a-f]{16}`), `-...`},
	{regexp.MustCompile(`households-[0-9a-f]{8}|forms-[0-9a-f]{8}`), `instance`},
	{regexp.MustCompile(`proxy-[0-9]`), `carrier`},
}

var approvedHeaders = []string{"Retry-After", "X-Snowflow-Not-Executed", "X-Snowflow-Serial"}

// TestExchanges keeps approved transcripts of whole exchanges with a running mesh.
func TestExchanges(t *testing.T) {
	rehearsal, err := Open(options(t, "steady", 211), t.Logf)
	if rehearsal != nil {
		defer rehearsal.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Timeout: 30 * time.Second}
	addresses := map[string]string{"caller": rehearsal.Fleet.Proxies[0].CallerAddress, "other-caller": rehearsal.Fleet.Proxies[1].CallerAddress,
		"backend": rehearsal.Fleet.Proxies[0].AdminAddress, "operator": rehearsal.Fleet.ConfigStores[0].AdminAddress}
	datadriven.RunTest(t, "testdata/exchanges", func(t *testing.T, data *datadriven.TestData) string {
		behavior := ""
		if data.MaybeScanArgs(t, "manner", &behavior); data.Cmd == "backends" {
			for _, backend := range rehearsal.Backends {
				backend.Behavior.Store(strings.TrimPrefix(behavior, "normal"))
			}
			return ""
		}
		address, known := addresses[data.Cmd]
		if !known {
			t.Fatalf("no door %q", data.Cmd)
		}
		method, path, key, big := "GET", "/", "", 0
		data.ScanArgs(t, "method", &method)
		data.ScanArgs(t, "path", &path)
		data.MaybeScanArgs(t, "key", &key)
		data.MaybeScanArgs(t, "big", &big)
		body := data.Input
		if big > 0 {
			body = strings.Repeat("x", big)
		}
		request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
		if err != nil {
			t.Fatal(err)
		}
		if key != "" {
			request.Header.Set("X-Snowflow-Key", key)
		}
		response, err := client.Do(request)
		if err != nil {
			return err.Error()
		}
		defer response.Body.Close()
		content, err := io.ReadAll(response.Body)
		if err != nil {
			return err.Error()
		}
		return formatResponse(response, content)
	})
}

func formatResponse(response *http.Response, content []byte) string {
	text := response.Status + "\n"
	for _, name := range approvedHeaders {
		if value := response.Header.Get(name); value != "" {
			if name == "Retry-After" {
				value = "..."
			}
			text += name + ": " + value + "\n"
		}
	}
	if response.Header.Get(standin.EchoHeader) != "" {
		return text + fmt.Sprintf("the backend's own answer, whole: %v\n", response.Header.Get(standin.ChecksumHeader) == standin.Checksum(content))
	}
	body := string(content)
	for _, part := range variableParts {
		body = part.pattern.ReplaceAllString(body, part.by)
	}
	return text + body
}

// TestBadStarts starts daemons with settings that can't be: all faults are told, and the exit code is 2.
func TestBadStarts(t *testing.T) {
	folder := binaries(t)
	settings := filepath.Join(t.TempDir(), "env.json")
	if err := os.WriteFile(settings, []byte(`{"name":"Core 1","listen":"localhost:70000","seeds":["127.0.0.1:1","here"],"voters":["a","a"],"colour":"blue"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, program := range []string{"registry", "configstore", "proxy"} {
		output, err := exec.Command(filepath.Join(folder, program), "--env", settings, "--log", "loud").CombinedOutput()
		failed, isExit := err.(*exec.ExitError)
		if !isExit || failed.ExitCode() != 2 {
			t.Errorf("%s: %v\n%s", program, err, output)
		}
		if program != "proxy" && !strings.Contains(string(output), "voters: 2 voters; there must be three at least") {
			t.Errorf("%s takes two voters\n%s", program, output)
		}
		for _, place := range []string{"name:", "domain:", "listen:", "seeds:", "log:", "colour:"} {
			if !strings.Contains(string(output), place) {
				t.Errorf("%s doesn't tell what is wrong with %s\n%s", program, place, output)
			}
		}
	}
}

// TestBadRehearsals: what can't be played ends with exit code 2 and the reason.
func TestBadRehearsals(t *testing.T) {
	folder := binaries(t)
	for _, arguments := range [][]string{{"run", "--scenario", "flood"}, {"run", "--layout", "moon"}, {"run", "--length", "soon"}, {"run", "--length", "-3s"},
		{"run", "--binaries", "/nowhere"}, {"run", "--scenario", "versions", "--folder", t.TempDir(), "--base", "221", "--length", "1s"}} {
		output, err := exec.Command(filepath.Join(folder, "rehearse"), arguments...).CombinedOutput()
		failed, isExit := err.(*exec.ExitError)
		if !isExit || failed.ExitCode() != 2 || len(output) == 0 {
			t.Errorf("%v: %v\n%s", arguments, err, output)
		}
	}
}

// TestStopTwice: a second warning changes nothing, and a successor that comes too early is told so and leaves the first alone.
func TestStopTwice(t *testing.T) {
	folder := binaries(t)
	arguments := []string{"--name", "proxy-1", "--domain", "north", "--listen", "127.232.0.1:7300", "--desk", "127.232.0.1:7301", "--callers", "127.232.0.1:7302",
		"--seeds", "127.232.0.1:7100,127.232.0.2:7100,127.232.0.3:7100"}
	first := exec.Command(filepath.Join(folder, "proxy"), arguments...)
	stderr, err := first.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := first.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = first.Process.Kill() }()
	lines := bufio.NewScanner(stderr)
	await := func(event int) {
		for lines.Scan() {
			if strings.Contains(lines.Text(), fmt.Sprintf(`"event":%d,`, event)) {
				return
			}
		}
		t.Fatalf("event %d never came: %v", event, lines.Err())
	}
	await(eventlog.ProcessStarted)
	for range 2 {
		_ = first.Process.Signal(syscall.SIGTERM)
	}
	await(eventlog.ProcessDraining)
	output, err := exec.Command(filepath.Join(folder, "proxy"), arguments...).CombinedOutput()
	if failed, isExit := err.(*exec.ExitError); !isExit || failed.ExitCode() != 1 || !strings.Contains(string(output), "address already in use") {
		t.Errorf("the successor: %v\n%s", err, output)
	}
	await(eventlog.ProcessDrained)
	for lines.Scan() {
		continue
	}
	if err := first.Wait(); err != nil {
		t.Errorf("the first one ended with %v", err)
	}
}

// TestIsolatedConfigStore: a postmaster that reaches no other turns applies down for certain, and bad ones for what is wrong with them.
func TestIsolatedConfigStore(t *testing.T) {
	folder := binaries(t)
	isolated := exec.Command(filepath.Join(folder, "configstore"), "--name", "configstore-1", "--domain", "north", "--listen", "127.233.0.1:7200", "--desk", "127.233.0.1:7201",
		"--seeds", "127.233.0.1:7200,127.233.0.2:7200,127.233.0.3:7200", "--voters", "configstore-1,configstore-2,configstore-3", "--data", filepath.Join(t.TempDir(), "data"))
	var log bytes.Buffer
	isolated.Stderr = &log
	if err := isolated.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = isolated.Process.Kill(); _ = isolated.Wait() }()
	await(t, "http://127.233.0.1:7201/live", &log)
	valid := `{"groups":[{"name":"field","services":[{"name":"one","paths":[{"method":"GET","prefix":"/a","class":"read"}]}]}]}`
	for _, sent := range []struct{ what, body, said string }{
		{"valid", valid, `"outcome":"unreached"`},
		{"truncated", valid[:60], `"outcome":"invalid"`},
		{"huge", `{"note":"` + strings.Repeat("x", 5<<20) + `"}`, "too large"},
		{"a list", `[1,2]`, "must be an object"},
		{"a group that is a text", `{"groups":["field"]}`, "groups[0]: must be an object"},
		{"nothing", ``, `"outcome":"invalid"`},
	} {
		request, err := http.NewRequest(http.MethodPut, "http://127.233.0.1:7201/desired-state?expected=any", strings.NewReader(sent.body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Errorf("%s: %v", sent.what, err)
			continue
		}
		content, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if !strings.Contains(string(content), sent.said) || response.StatusCode < 400 {
			t.Errorf("%s: %s %s", sent.what, response.Status, content)
		}
	}
}

// await waits until a page answers.
func await(t *testing.T, page string, log *bytes.Buffer) {
	t.Helper()
	for turn := 0; ; turn++ {
		if response, err := http.Get(page); err == nil {
			_ = response.Body.Close()
			return
		}
		if turn > 1_000_000 {
			t.Fatal(log.String())
		}
	}
}

// TestSecondProcessIsRejected: a data folder belongs to one process.
func TestSecondProcessIsRejected(t *testing.T) {
	chosen := options(t, "steady", 231)
	folder := filepath.Join(chosen.Dir, "data")
	arguments := func(host string) []string {
		return []string{"--name", "registry-1", "--domain", "north", "--listen", host + ":7100", "--desk", host + ":7101",
			"--seeds", "127.231.0.1:7100,127.231.0.2:7100,127.231.0.3:7100", "--voters", "registry-1,registry-2,registry-3", "--data", folder}
	}
	first := exec.Command(filepath.Join(chosen.BinaryDir, "registry"), arguments("127.231.0.1")...)
	var log bytes.Buffer
	first.Stderr = &log
	if err := first.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = first.Process.Kill(); _ = first.Wait() }()
	await(t, "http://127.231.0.1:7101/live", &log) // the first holds the folder once its desk answers
	output, err := exec.Command(filepath.Join(chosen.BinaryDir, "registry"), arguments("127.231.0.2")...).CombinedOutput()
	if err == nil || !strings.Contains(string(output), "held by another process") {
		t.Fatalf("%v\n%s", err, output)
	}
}
