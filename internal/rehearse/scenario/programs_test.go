package scenario

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"snowflow/internal/eventlog"
)

// exitCodeOf returns the exit code of a command that ended with this error; -1 if the command did not run to its end.
func exitCodeOf(err error) int {
	if err == nil {
		return 0
	}
	if failed := new(exec.ExitError); errors.As(err, &failed) {
		return failed.ExitCode()
	}
	return -1
}

// TestBadStarts starts programs with invalid settings. They must report all errors at once and end with exit code 2.
func TestBadStarts(t *testing.T) {
	folder := buildBinaries(t)
	settings := filepath.Join(t.TempDir(), "env.json")
	if err := os.WriteFile(settings, []byte(`{"name":"Core 1","listen":"localhost:70000","seeds":["127.0.0.1:1","here"],"voters":["a","a"],"colour":"blue"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, program := range []string{"registry", "configstore", "proxy"} {
		t.Run(program, func(t *testing.T) {
			output, err := exec.Command(filepath.Join(folder, program), "--env", settings, "--log", "loud").CombinedOutput()
			if exitCodeOf(err) != 2 {
				t.Errorf("%v\n%s", err, output)
			}
			if program != "proxy" && !strings.Contains(string(output), "voters: 2 voters; there must be three at least") {
				t.Errorf("two voters are accepted\n%s", output)
			}
			for _, setting := range []string{"name:", "domain:", "listen:", "seeds:", "log:", "colour:"} {
				if !strings.Contains(string(output), setting) {
					t.Errorf("the error in setting %s is not reported\n%s", setting, output)
				}
			}
		})
	}
}

// TestBadRehearsals runs rehearse with invalid options. It must end with exit code 2 and print the reason.
func TestBadRehearsals(t *testing.T) {
	folder := buildBinaries(t)
	for _, arguments := range [][]string{{"run", "--scenario", "flood"}, {"run", "--layout", "moon"}, {"run", "--length", "soon"}, {"run", "--length", "-3s"},
		{"run", "--binaries", "/nowhere"}, {"run", "--scenario", "versions", "--folder", t.TempDir(), "--subnet", "221", "--length", "1s"}} {
		t.Run(strings.Join(arguments, " "), func(t *testing.T) {
			output, err := exec.Command(filepath.Join(folder, "rehearse"), arguments...).CombinedOutput()
			if exitCodeOf(err) != 2 || len(output) == 0 {
				t.Errorf("%v\n%s", err, output)
			}
		})
	}
}

// startProcess starts a program and kills it at the end of the test if it still runs.
func startProcess(t *testing.T, command *exec.Cmd) {
	t.Helper()
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
}

// TestStopTwice signals a draining proxy a second time and starts another process on its addresses. The signal must have no effect, and
// the other process must fail with "address already in use" without disturbing the first.
func TestStopTwice(t *testing.T) {
	folder := buildBinaries(t)
	arguments := []string{"--name", "proxy-1", "--domain", "north", "--listen", "127.232.0.1:7300", "--http", "127.232.0.1:7301", "--callers", "127.232.0.1:7302",
		"--seeds", "127.232.0.1:7100,127.232.0.2:7100,127.232.0.3:7100"}
	first := exec.Command(filepath.Join(folder, "proxy"), arguments...)
	stderr, err := first.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	startProcess(t, first)
	lines := bufio.NewScanner(stderr)
	awaitEvent := func(event int) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), fmt.Sprintf(`"event":%d,`, event)) {
				return
			}
		}
		t.Fatalf("event %d was not logged: %v", event, lines.Err())
	}
	awaitEvent(eventlog.ProcessStarted)
	for range 2 {
		_ = first.Process.Signal(syscall.SIGTERM)
	}
	awaitEvent(eventlog.ProcessDraining)
	output, err := exec.Command(filepath.Join(folder, "proxy"), arguments...).CombinedOutput()
	if exitCodeOf(err) != 1 || !strings.Contains(string(output), "address already in use") {
		t.Errorf("the second process: %v\n%s", err, output)
	}
	awaitEvent(eventlog.ProcessDrained)
	for lines.Scan() {
		continue
	}
	if err := first.Wait(); err != nil {
		t.Errorf("the first process ended with %v", err)
	}
}

// TestIsolatedConfigStore applies desired states to a configuration store that cannot reach the others. It must reject a valid one as
// certainly not applied, and invalid ones with their errors.
func TestIsolatedConfigStore(t *testing.T) {
	folder := buildBinaries(t)
	isolated := exec.Command(filepath.Join(folder, "configstore"), "--name", "configstore-1", "--domain", "north", "--listen", "127.233.0.1:7200", "--http", "127.233.0.1:7201",
		"--seeds", "127.233.0.1:7200,127.233.0.2:7200,127.233.0.3:7200", "--voters", "configstore-1,configstore-2,configstore-3", "--data", filepath.Join(t.TempDir(), "data"))
	var log bytes.Buffer
	isolated.Stderr = &log
	startProcess(t, isolated)
	awaitPage(t, "http://127.233.0.1:7201/live", &log)
	valid := `{"groups":[{"name":"field","services":[{"name":"one","paths":[{"method":"GET","prefix":"/a","class":"read"}]}]}]}`
	for _, one := range []struct{ name, body, want string }{
		{"valid", valid, `"outcome":"unreached"`},
		{"truncated", valid[:60], `"outcome":"invalid"`},
		{"huge", `{"note":"` + strings.Repeat("x", 5<<20) + `"}`, "too large"},
		{"a list", `[1,2]`, "must be an object"},
		{"a group that is a text", `{"groups":["field"]}`, "groups[0]: must be an object"},
		{"nothing", ``, `"outcome":"invalid"`},
	} {
		t.Run(one.name, func(t *testing.T) {
			request, err := http.NewRequest(http.MethodPut, "http://127.233.0.1:7201/desired-state?expected=any", strings.NewReader(one.body))
			if err != nil {
				t.Fatal(err)
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			content, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if !strings.Contains(string(content), one.want) || response.StatusCode < 400 {
				t.Errorf("%s %s", response.Status, content)
			}
		})
	}
}

// awaitPage waits until a URL responds.
func awaitPage(t *testing.T, page string, log *bytes.Buffer) {
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

// TestSecondProcessIsRejected starts a second process on a data folder that is in use. It must fail.
func TestSecondProcessIsRejected(t *testing.T) {
	chosen := options(t, "steady", 231)
	dataDir := filepath.Join(chosen.Dir, "data")
	arguments := func(host string) []string {
		return []string{"--name", "registry-1", "--domain", "north", "--listen", host + ":7100", "--http", host + ":7101",
			"--seeds", "127.231.0.1:7100,127.231.0.2:7100,127.231.0.3:7100", "--voters", "registry-1,registry-2,registry-3", "--data", dataDir}
	}
	first := exec.Command(filepath.Join(chosen.BinaryDir, "registry"), arguments("127.231.0.1")...)
	var log bytes.Buffer
	first.Stderr = &log
	startProcess(t, first)
	awaitPage(t, "http://127.231.0.1:7101/live", &log) // once this responds, the process holds the folder's lock
	output, err := exec.Command(filepath.Join(chosen.BinaryDir, "registry"), arguments("127.231.0.2")...).CombinedOutput()
	if err == nil || !strings.Contains(string(output), "in use by another process") {
		t.Fatalf("%v\n%s", err, output)
	}
}
