package sweep

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// buildDaemons builds the control plane's programs into a temporary folder.
func buildDaemons(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	if output, err := exec.Command("go", "build", "-buildvcs=false", "-o", folder+"/", "snowflow/cmd/registry", "snowflow/cmd/configstore").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	return folder
}

// testWindow is long enough for each proxy to send a poll and a discovery request. Polls are at most 1 s apart, discovery requests at
// most 1.25 s.
const testWindow = 2 * time.Second

// TestTinySweep measures runs of five proxies without traffic against real control plane processes. It checks which values are recorded,
// but no durations. The run with failures waits for leases to expire, so both cases run in parallel.
func TestTinySweep(t *testing.T) {
	binaries := buildDaemons(t)
	withoutRestarts := Size{Proxies: 5, Services: 7, Routes: 3, Changes: 2, ClaimRate: 20}
	withRestarts := withoutRestarts
	withRestarts.Restarts = 1
	for name, testCase := range map[string]struct {
		size     Size
		failures bool
		subnet   int
	}{"calm": {withoutRestarts, false, 243}, "failures": {withRestarts, true, 244}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			options := Options{Window: testWindow, Timeout: time.Minute, Failures: testCase.failures, Folder: t.TempDir(), Binaries: binaries, Base: testCase.subnet}
			run, err := RunSize(testCase.size, options, 1)
			if err != nil {
				t.Fatal(err)
			}
			checkRun(t, run, testCase.size)
			recovery := run.Recovery
			if (recovery != nil) != testCase.failures {
				t.Fatalf("the recovery times are %+v", recovery)
			}
			if recovery != nil && (recovery.Claims == nil || recovery.Reads == nil || recovery.Applies == nil || recovery.Ready == nil || recovery.Complete == nil || recovery.Bytes <= 0) {
				t.Errorf("some recovery times are missing: %+v", recovery)
			}
			for _, metric := range Metrics() {
				if _, known := metric.Measure(run); !known && (testCase.failures || !strings.HasPrefix(metric.Name, "until ")) {
					t.Errorf("the run has no value of the metric %q", metric.Name)
				}
			}
		})
	}
}

// checkRun checks the values that every run records.
func checkRun(t *testing.T, run Run, size Size) {
	t.Helper()
	if run.Size != size || run.Seconds <= 0 || run.ConfigBytes == 0 || run.Breakers != size.Services {
		t.Errorf("the run is recorded as %+v", run)
	}
	if len(run.AdoptionSeconds) != size.Changes || len(run.AcknowledgementSeconds) != size.Changes {
		t.Errorf("of %d changes, %d have an adoption time and %d an acknowledgement time", size.Changes, len(run.AdoptionSeconds), len(run.AcknowledgementSeconds))
	}
	if expected := size.ClaimRate * int(testWindow/time.Second); run.Claims.Granted+run.Claims.Other != expected || run.Claims.Granted == 0 {
		t.Errorf("of %d claims, the record has %+v", expected, run.Claims)
	}
	for _, name := range roleNames {
		role, known := run.Roles[name]
		if !known || role.ResidentBytes <= 0 || role.Total().SentBytes <= 0 || role.Total().Received <= 0 {
			t.Errorf("the usage of %s is %+v", name, role)
		}
	}
	if len(run.Roles) != len(roleNames) || run.Roles["carrier"].Processes != size.Proxies {
		t.Errorf("the roles are %v", run.Roles)
	}
	for role, kinds := range map[string][]string{"carrier": {"sorter_poll", "desired_poll", "whois", "claim"}, "sorter primary": {"sorter_poll", "claim", "replicate", "sessions_tell", "tenure_ask"},
		"postmaster primary": {"desired_poll", "desired_apply", "replicate"}} {
		for _, kind := range kinds {
			if run.Roles[role].Kinds[kind].SentBytes == 0 {
				t.Errorf("%s sent no messages of kind %s", role, kind)
			}
		}
	}
}

// TestSweepCutOff checks that an interrupted sweep keeps the records of completed sizes and records nothing of the interrupted size.
func TestSweepCutOff(t *testing.T) {
	dimension, err := FindDimension("carriers")
	if err != nil {
		t.Fatal(err)
	}
	plan := Plan{Dimension: dimension, Sizes: []int{50, 60, 70}, Runs: 2, Window: time.Second, Results: filepath.Join(t.TempDir(), "results")}
	interrupted, reports := errors.New("interrupted"), 0
	err = Sweep(plan, func(size Size, number int) (Run, error) {
		if size.Proxies == 60 && number == 2 {
			return Run{}, interrupted
		}
		return Run{Size: size, Number: number, Seconds: 1, AdoptionSeconds: []float64{0.5}}, nil
	}, func(string, ...any) { reports++ })
	if !errors.Is(err, interrupted) || reports != 3 {
		t.Errorf("the sweep returned %v after %d reports", err, reports)
	}
	points, err := ReadPoints(plan.Results)
	if err != nil || len(points) != 1 || points[0].Value != 50 || len(points[0].Runs) != 2 || points[0].Runs[1].Number != 2 || !reflect.DeepEqual(points[0].Runs[0].AdoptionSeconds, []float64{0.5}) {
		t.Errorf("the recorded points are %+v, error %v", points, err)
	}
	if names, err := os.ReadDir(plan.Results); err != nil || len(names) != 1 {
		t.Errorf("the folder contains %v, error %v", names, err)
	}
}

// TestBoundsRefuse checks that invalid sizes and sizes that exceed the bounds are rejected, the latter with the estimate.
func TestBoundsRefuse(t *testing.T) {
	bounds := Bounds{Memory: 4 << 30, Files: 20000}
	for _, dimension := range Dimensions {
		for _, value := range dimension.Sizes {
			if err := bounds.Check(dimension.SizeAt(value)); err != nil {
				t.Errorf("%s %d: %v", dimension.Name, value, err)
			}
		}
	}
	for name, testCase := range map[string]struct {
		size Size
		want string
	}{
		"memory":      {Size{Proxies: 3200, Services: 1}, "half of this machine's memory is 4096 MB"},
		"files":       {Size{Proxies: 2850, Services: 1}, "open files"},
		"no carriers": {Size{Services: 1}, "carriers must be at least one"},
		"no services": {Size{Proxies: 5}, "services must be at least one"},
		"below zero":  {Size{Proxies: 5, Services: 1, ClaimRate: -1}, "no negative number"},
	} {
		bounds := bounds
		if name == "files" {
			bounds.Memory = 1 << 40
		}
		if err := bounds.Check(testCase.size); err == nil || !strings.Contains(err.Error(), testCase.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := FindDimension("weather"); err == nil {
		t.Error("an unknown dimension was found")
	}
	if own, err := MachineBounds(); err != nil || own.Memory == 0 || own.Files == 0 {
		t.Errorf("this machine's bounds are %+v, error %v", own, err)
	}
}

// TestDimensionIncludes checks that a dimension includes the base size and sizes that differ from it in this dimension, but none that
// differ in another.
func TestDimensionIncludes(t *testing.T) {
	for _, dimension := range Dimensions {
		varied := dimension.SizeAt(77)
		for _, other := range Dimensions {
			if included := other.Includes(varied); included != (other.Name == dimension.Name) {
				t.Errorf("a size that differs in %s is included by %s: %v", dimension.Name, other.Name, included)
			}
		}
		if !dimension.Includes(Base) {
			t.Errorf("%s does not include the base size", dimension.Name)
		}
	}
}
