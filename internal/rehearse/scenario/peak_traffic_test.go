package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"snowflow/examples"
	"snowflow/internal/config"
	"snowflow/internal/invariants"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy"
	"snowflow/internal/proxy/breaker"
	"snowflow/internal/rehearse/fleet"
	"snowflow/internal/rehearse/layout"
	"snowflow/internal/transport/wire"
	"snowflow/internal/workload"
)

// TestPeakTrafficStates checks, for each layout, the number of route families and that the initial state and all states after changes are
// valid.
func TestPeakTrafficStates(t *testing.T) {
	for name, familyCount := range map[string]int{"association": 3, "raahbar": 2, "small": 1} {
		t.Run(name, func(t *testing.T) {
			chosen := layout.All[name]
			content, err := examples.Desired(chosen.DesiredState)
			if err != nil {
				t.Fatal(err)
			}
			state, fieldErrors := config.Parse(content)
			families := routeFamilies(chosen)
			if len(fieldErrors) > 0 || len(families) != familyCount {
				t.Fatal(fieldErrors, families)
			}
			routeChanges := workload.NewRouteChanges(initialState(state, families), families, rand.New(rand.NewPCG(1, 2)))
			valid := 0
			checkValid := func(state *wire.DesiredState) error {
				if _, fieldErrors := config.Parse(workload.EncodeState(state)); len(fieldErrors) > 0 {
					return fmt.Errorf("%s: %v", state.Note, fieldErrors)
				}
				valid++
				return nil
			}
			if err := checkValid(routeChanges.State); err != nil {
				t.Error(err)
			}
			if err := routeChanges.ApplyEach(checkValid); err != nil || valid != routeChanges.CombinationCount()+1 || len(routeChanges.Counts) != routeChanges.CombinationCount() {
				t.Error(err, valid, routeChanges.Counts)
			}
			for range 200 {
				routeChanges.State = routeChanges.Next()
				if err := checkValid(routeChanges.State); err != nil {
					t.Fatal(err)
				}
			}
		})
	}
}

// snowctl runs the command line tool of operators against a rehearsal's configuration stores.
func (r *Rehearsal) snowctl(arguments ...string) (output string, code int, err error) {
	addresses := []string{}
	for _, process := range r.Fleet.ConfigStores {
		addresses = append(addresses, process.AdminAddress)
	}
	command := exec.Command(filepath.Join(r.Options.BinaryDir, "snowctl"), append(arguments, "--addresses", strings.Join(addresses, ","))...)
	content, err := command.CombinedOutput()
	if failed := new(exec.ExitError); errors.As(err, &failed) {
		return string(content), failed.ExitCode(), nil
	}
	return string(content), 0, err
}

// TestPeakTrafficRoutes runs a short peak traffic scenario with real processes: a route change of each kind, a burst and a race, while a
// proxy restarts and a primary is killed. It waits for each step however long it takes, and callers retry until they are served, so that
// the result does not depend on timing.
func TestPeakTrafficRoutes(t *testing.T) {
	chosen := options(t, "peak-routes", 245)
	chosen.UseRelays = false
	rehearsal, err := Open(chosen, t.Logf)
	if rehearsal != nil {
		t.Cleanup(rehearsal.Close)
	}
	if err != nil {
		t.Fatal(err)
	}
	if err := preparePeakTraffic(rehearsal); err != nil {
		t.Fatal(err)
	}
	rehearsal.Load.RetryTimeout = 0
	rehearsal.Watch()
	rehearsal.Load.Start(0.3)
	awaitRollout := func() {
		t.Helper()
		output, code, err := rehearsal.snowctl("rollout", "--wait", "300s")
		if err != nil || code != 0 {
			t.Errorf("the version did not reach all nodes: %v, exit code %d\n%s", err, code, output)
		}
	}
	faults := map[int]action{2: restartProxy, 4: killConfigStorePrimary}
	turn := 0
	err = rehearsal.routeChanges.ApplyEach(func(state *wire.DesiredState) error {
		turn++
		ended := make(chan error, 1)
		if fault, ok := faults[turn]; ok {
			go func() { ended <- fault.run(rehearsal) }()
		} else {
			ended <- nil
		}
		_, err := rehearsal.applyState(state, "any")
		if err := errors.Join(err, <-ended); err != nil {
			return err
		}
		if err := fleet.AwaitReady(rehearsal.Fleet.All(), 5*time.Minute); err != nil {
			return err
		}
		awaitRollout()
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range []action{changeBurst, operatorRace} {
		if err := one.run(rehearsal); err != nil {
			t.Fatal(err)
		}
		awaitRollout()
	}
	t.Run("snowctl", func(t *testing.T) { checkSnowctl(t, rehearsal) })
	rehearsal.Load.FinishRetries()
	rehearsal.Load.Stop()
	if err := rehearsal.Operator.ReadBack(); err != nil {
		t.Fatal(err)
	}
	findings, observations := invariants.CheckRules(rehearsal.History, 1, 2, 3, 5, 7)
	for _, check := range []invariants.Check{invariants.KeysExecutedOnce, invariants.ContentMatchesVersion, invariants.BreakerCountersMonotonic} {
		found, observed := check.Run(rehearsal.History)
		findings = append(findings, found...)
		t.Logf("%s observed %d", check.Name, observed)
	}
	for _, finding := range findings {
		t.Error(finding)
	}
	for _, found := range rehearsal.findings {
		t.Error(found)
	}
	report := rehearsal.BuildReport(time.Now())
	t.Log(report.Kinds, observations, rehearsal.routeChanges.Counts)
	if report.Kinds["lookup/assignments"]["served"] == 0 || report.Kinds["submission"]["served"] == 0 || observations[1] == 0 || observations[3] == 0 {
		t.Errorf("%v, observations %v", report.Kinds, observations)
	}
}

// checkSnowctl tests snowctl's preview of a desired state, its rollout and the comparison of versions.
func checkSnowctl(t *testing.T, rehearsal *Rehearsal) {
	t.Helper()
	runSnowctl := func(wantedCode int, arguments ...string) string {
		t.Helper()
		output, code, err := rehearsal.snowctl(arguments...)
		if err != nil || code != wantedCode {
			t.Errorf("snowctl %v: %v, exit code %d\n%s", arguments, err, code, output)
		}
		return output
	}
	state := rehearsal.routeChanges.State
	route := state.Routes[slices.IndexFunc(state.Routes, func(route *wire.Route) bool { return route.Name == "archive-7" })]
	deadline := int64(1234567)
	route.CutoffMicros = &deadline
	file := filepath.Join(t.TempDir(), "next.json")
	if err := os.WriteFile(file, workload.EncodeState(state), 0o600); err != nil {
		t.Fatal(err)
	}
	output := runSnowctl(0, "apply", file, "--preview")
	if !strings.Contains(output, "~ route archive-7: cutoffMicros") || !strings.Contains(output, "0 added, 1 changed, 0 removed") || !strings.Contains(output, "nothing was applied") {
		t.Errorf("preview: %s", output)
	}
	version := regexp.MustCompile(`it would replace version (\d+) at 4 nodes; nothing was applied`).FindStringSubmatch(output)
	if version == nil {
		t.Fatalf("preview: %s", output)
	}
	runSnowctl(0, "apply", file, "--expected", version[1])
	if output = runSnowctl(0, "rollout", "--wait", "300s"); !strings.Contains(output, "4 of 4 nodes") {
		t.Errorf("rollout: %s", output)
	}
	next := fmt.Sprint(parseNumber(t, version[1]) + 1)
	if output = runSnowctl(0, "diff", version[1], next); !strings.Contains(output, "~ route archive-7: cutoffMicros") || !strings.Contains(output, "0 added, 1 changed, 0 removed") {
		t.Errorf("diff: %s", output)
	}
	runSnowctl(0, "diff", file, file)
	runSnowctl(2, "diff", file, next)
	if err := os.WriteFile(file, []byte(`{"routes":[{"name":"a"}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if output, code, err := rehearsal.snowctl("apply", file, "--preview"); err != nil || code == 0 {
		t.Errorf("an invalid desired state was previewed: %v\n%s", err, output)
	}
	output = runSnowctl(0, "rollout", "--json")
	if begin := strings.Index(output, "{"); begin < 0 || !json.Valid([]byte(output[begin:])) {
		t.Errorf("rollout: %s", output)
	}
}

func parseNumber(t *testing.T, text string) (number int) {
	t.Helper()
	if _, err := fmt.Sscan(text, &number); err != nil {
		t.Fatal(err)
	}
	return number
}

// TestWatcherObservesFaults makes the watcher read the status of a proxy with one defect at a time. The check for that defect must find
// it in the history, and no check may find anything for a proxy without defects.
func TestWatcherObservesFaults(t *testing.T) {
	statusOf := func(version uint64, calls uint64) proxy.Status {
		return proxy.Status{Name: "proxy-1", Incarnation: 7, Ready: true, ConfigVersion: version, ConfigDigest: fmt.Sprint("version ", version),
			Breakers: []breaker.Status{{Service: "forms", Shared: "closed", Local: "closed", Calls: calls, Window: int(calls)}}}
	}
	for name, one := range map[string]struct {
		check  invariants.Check
		defect func(status *proxy.Status)
	}{
		"nothing":                               {invariants.VersionsAdopted, func(*proxy.Status) {}},
		"stays at an older version":             {invariants.VersionsAdopted, func(status *proxy.Status) { *status = statusOf(1, 9) }},
		"a difference applied on a wrong base":  {invariants.ContentMatchesVersion, func(status *proxy.Status) { status.ConfigDigest = "version 1" }},
		"a full state that empties the windows": {invariants.BreakerCountersMonotonic, func(status *proxy.Status) { status.Breakers[0].Window = 1 }},
		"a full state that resets the counters": {invariants.BreakerCountersMonotonic, func(status *proxy.Status) { status.Breakers[0].Calls = 1 }},
	} {
		t.Run(name, func(t *testing.T) {
			reported := statusOf(1, 4)
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(writer).Encode(reported) }))
			t.Cleanup(server.Close)
			rehearsal := &Rehearsal{Clock: nil, History: &invariants.History{}}
			observe := func(at int64) {
				var status proxy.Status
				response, err := http.Get(server.URL)
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = response.Body.Close() }()
				if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
					t.Fatal(err)
				}
				rehearsal.observeProxy("proxy-1", status, monotonic.Micros(at))
			}
			for version, at := range []int64{1000, 2000} {
				rehearsal.History.RecordApply(invariants.AppliedConfig{Version: uint64(version + 1), Outcome: "accepted", At: monotonic.Micros(at), Sum: fmt.Sprint("version ", version+1)})
			}
			observe(1500)
			reported = statusOf(2, 9)
			one.defect(&reported)
			observe(4_000_000)
			found, _ := one.check.Run(rehearsal.History)
			if (len(found) > 0) != (name != "nothing") {
				t.Errorf("%v", found)
			}
			for _, check := range []invariants.Check{invariants.VersionsAdopted, invariants.BreakerCountersMonotonic} {
				if found, _ := check.Run(rehearsal.History); name == "nothing" && len(found) > 0 {
					t.Error(found)
				}
			}
		})
	}
}
