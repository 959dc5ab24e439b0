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

// TestFridayStates: each layout has families, and its morning and whatever follows are accepted.
func TestFridayStates(t *testing.T) {
	for name, wanted := range map[string]int{"association": 3, "raahbar": 2, "small": 1} {
		chosen := layout.All[name]
		content, err := examples.Desired(chosen.Desired)
		if err != nil {
			t.Fatal(err)
		}
		state, faults := config.Parse(content)
		of := families(chosen)
		if len(faults) > 0 || len(of) != wanted {
			t.Fatal(name, faults, of)
		}
		day := workload.NewRouteChanges(morning(state, of), of, rand.New(rand.NewPCG(1, 2)))
		taken := 0
		take := func(state *wire.DesiredState) error {
			if _, faults := config.Parse(workload.EncodeState(state)); len(faults) > 0 {
				return fmt.Errorf("%s: %v", state.Note, faults)
			}
			taken++
			return nil
		}
		if err := take(day.State); err != nil {
			t.Error(name, err)
		}
		if err := day.ApplyEach(take); err != nil || taken != day.KindCount()+1 || len(day.Counts) != day.KindCount() {
			t.Error(name, err, taken, day.Counts)
		}
		for range 200 {
			day.State = day.Next()
			if err := take(day.State); err != nil {
				t.Fatal(name, err)
			}
		}
	}
}

// clerk runs the operators' program against a stage.
func (stage *Stage) clerk(arguments ...string) (output string, code int, err error) {
	desks := []string{}
	for _, process := range stage.Fleet.Postmasters {
		desks = append(desks, process.Desk)
	}
	command := exec.Command(filepath.Join(stage.Options.Binaries, "snowctl"), append(arguments, "--desks", strings.Join(desks, ","))...)
	content, err := command.CombinedOutput()
	if failed := new(exec.ExitError); errors.As(err, &failed) {
		return string(content), failed.ExitCode(), nil
	}
	return string(content), 0, err
}

// TestFridayRoutes plays a small Friday with real processes: a change of each kind, a storm and a race, while a carrier restarts and the primary
// dies. It goes from event to event, however long each takes; callers ask for their keys until they're served.
func TestFridayRoutes(t *testing.T) {
	chosen := options(t, "friday-routes", 244)
	chosen.Relays = false
	stage, err := Open(chosen, t.Logf)
	if stage != nil {
		defer stage.Close()
	}
	if err != nil {
		t.Fatal(err)
	}
	if err := prepareFriday(stage); err != nil {
		t.Fatal(err)
	}
	stage.Callers.Patience = 0
	stage.Watch()
	stage.Callers.Start(0.3)
	arrived := func() {
		t.Helper()
		output, code, err := stage.clerk("rollout", "--wait", "300s")
		if err != nil || code != 0 {
			t.Errorf("not every node has the version: %v, exit code %d\n%s", err, code, output)
		}
	}
	meanwhile := map[int]deed{2: stopCarrier, 4: diePrimary}
	turn := 0
	err = stage.friday.ApplyEach(func(state *wire.DesiredState) error {
		turn++
		ended := make(chan error, 1)
		if also, is := meanwhile[turn]; is {
			go func() { ended <- also.do(stage) }()
		} else {
			ended <- nil
		}
		_, err := stage.change(state, "any")
		if err := errors.Join(err, <-ended); err != nil {
			return err
		}
		if err := fleet.Await(stage.Fleet.All(), 5*time.Minute); err != nil {
			return err
		}
		arrived()
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range []deed{storm, race} {
		if err := one.do(stage); err != nil {
			t.Fatal(err)
		}
		arrived()
	}
	t.Run("snowctl", func(t *testing.T) { operate(t, stage) })
	stage.Callers.Ebb()
	stage.Callers.Stop()
	if err := stage.Operator.ReadBack(); err != nil {
		t.Fatal(err)
	}
	findings, seen := invariants.Inspect(stage.History, 1, 2, 3, 5, 7)
	for _, check := range []invariants.Check{invariants.KeysExecutedOnce, invariants.ContentMatchesVersion, invariants.BreakerCountersMonotonic} {
		found, looked := check.Run(stage.History)
		findings = append(findings, found...)
		t.Logf("%s looked at %d", check.Name, looked)
	}
	for _, finding := range findings {
		t.Error(finding)
	}
	for _, found := range stage.findings {
		t.Error(found)
	}
	report := stage.Conclude(time.Now())
	t.Log(report.Kinds, seen, stage.friday.Counts)
	if report.Kinds["lookup/assignments"]["served"] == 0 || report.Kinds["submission"]["served"] == 0 || seen[1] == 0 || seen[3] == 0 {
		t.Errorf("%v, seen %v", report.Kinds, seen)
	}
}

// operate has an operator compare versions, look at what a content would change, and see it roll out.
func operate(t *testing.T, stage *Stage) {
	ask := func(wanted int, arguments ...string) string {
		t.Helper()
		output, code, err := stage.clerk(arguments...)
		if err != nil || code != wanted {
			t.Errorf("clerk %v: %v, exit code %d\n%s", arguments, err, code, output)
		}
		return output
	}
	state := stage.friday.State
	route := state.Routes[slices.IndexFunc(state.Routes, func(route *wire.Route) bool { return route.Name == "archive-7" })]
	cutoff := int64(1234567)
	route.CutoffMicros = &cutoff
	file := filepath.Join(t.TempDir(), "next.json")
	if err := os.WriteFile(file, workload.EncodeState(state), 0o600); err != nil {
		t.Fatal(err)
	}
	told := ask(0, "apply", file, "--preview")
	if !strings.Contains(told, "~ route archive-7: cutoffMicros") || !strings.Contains(told, "0 added, 1 changed, 0 removed") || !strings.Contains(told, "nothing was applied") {
		t.Errorf("preview: %s", told)
	}
	serial := regexp.MustCompile(`it would follow serial (\d+), and go to 4 nodes`).FindStringSubmatch(told)
	if serial == nil {
		t.Fatalf("preview: %s", told)
	}
	ask(0, "apply", file, "--expected", serial[1])
	if told = ask(0, "rollout", "--wait", "300s"); !strings.Contains(told, "4 of 4 nodes") {
		t.Errorf("rollout: %s", told)
	}
	next := fmt.Sprint(number(t, serial[1]) + 1)
	if told = ask(0, "diff", serial[1], next); !strings.Contains(told, "~ route archive-7: cutoffMicros") || !strings.Contains(told, "0 added, 1 changed, 0 removed") {
		t.Errorf("diff: %s", told)
	}
	ask(0, "diff", file, file)
	ask(2, "diff", file, next)
	if err := os.WriteFile(file, []byte(`{"routes":[{"name":"a"}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if output, code, err := stage.clerk("apply", file, "--preview"); err != nil || code == 0 {
		t.Errorf("a bad content was previewed: %v\n%s", err, output)
	}
	if told = ask(0, "rollout", "--json"); !json.Valid([]byte(told[strings.Index(told, "{"):])) {
		t.Errorf("rollout: %s", told)
	}
}

func number(t *testing.T, text string) (read int) {
	t.Helper()
	if _, err := fmt.Sscan(text, &read); err != nil {
		t.Fatal(err)
	}
	return read
}

// TestFridayWatcherSees has a carrier that is broken in one way at a time tell how it stands. The check that it's for finds it in what the
// watcher noted, and nothing in what a sound one tells.
func TestFridayWatcherSees(t *testing.T) {
	sound := func(serial uint64, calls uint64) proxy.Status {
		return proxy.Status{Name: "proxy-1", Incarnation: 7, Ready: true, ConfigVersion: serial, ConfigDigest: fmt.Sprint("version ", serial),
			Breakers: []breaker.Status{{Service: "forms", Shared: "closed", Local: "closed", Calls: calls, Window: int(calls)}}}
	}
	for name, one := range map[string]struct {
		check invariants.Check
		last  func(status *proxy.Status)
	}{
		"nothing":                               {invariants.VersionsAdopted, func(*proxy.Status) {}},
		"stays at an older version":             {invariants.VersionsAdopted, func(status *proxy.Status) { *status = sound(1, 9) }},
		"a difference applied on a wrong base":  {invariants.ContentMatchesVersion, func(status *proxy.Status) { status.ConfigDigest = "version 1" }},
		"a whole that begins its windows anew":  {invariants.BreakerCountersMonotonic, func(status *proxy.Status) { status.Breakers[0].Window = 1 }},
		"a whole that forgets what was counted": {invariants.BreakerCountersMonotonic, func(status *proxy.Status) { status.Breakers[0].Calls = 1 }},
	} {
		t.Run(name, func(t *testing.T) {
			told := sound(1, 4)
			desk := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(writer).Encode(told) }))
			defer desk.Close()
			stage := &Stage{Clock: nil, History: &invariants.History{}}
			ask := func(at int64) {
				var status proxy.Status
				response, err := http.Get(desk.URL)
				if err != nil {
					t.Fatal(err)
				}
				defer response.Body.Close()
				if err := json.NewDecoder(response.Body).Decode(&status); err != nil {
					t.Fatal(err)
				}
				stage.see("proxy-1", status, monotonic.Micros(at))
			}
			for serial, at := range []int64{1000, 2000} {
				stage.History.RecordApply(invariants.AppliedConfig{Serial: uint64(serial + 1), Outcome: "accepted", At: monotonic.Micros(at), Sum: fmt.Sprint("version ", serial+1)})
			}
			ask(1500)
			told = sound(2, 9)
			one.last(&told)
			ask(4_000_000)
			found, _ := one.check.Run(stage.History)
			if (len(found) > 0) != (name != "nothing") {
				t.Errorf("%v", found)
			}
			for _, check := range []invariants.Check{invariants.VersionsAdopted, invariants.BreakerCountersMonotonic} {
				if found, _ := check.Run(stage.History); name == "nothing" && len(found) > 0 {
					t.Error(found)
				}
			}
		})
	}
}
