package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"

	"snowflow/internal/monotonic"
)

// seeds returns the fixed seeds, or the seeds that the environment variable SNOWFLOW_SEEDS gives as a number or a range like 1-50.
func seeds(t *testing.T, fixed ...uint64) []uint64 {
	text := os.Getenv("SNOWFLOW_SEEDS")
	if text == "" {
		return fixed
	}
	first, last, found := strings.Cut(text, "-")
	from, err := strconv.ParseUint(first, 10, 64)
	until := from
	if err == nil && found {
		until, err = strconv.ParseUint(last, 10, 64)
	}
	if err != nil || until < from {
		t.Fatalf("SNOWFLOW_SEEDS %q is not a seed or a range", text)
	}
	var all []uint64
	for seed := from; seed <= until; seed++ {
		all = append(all, seed)
	}
	return all
}

// runScenario runs a scenario with each seed and reports the findings as errors. If a run fails and SNOWFLOW_LOG is set, it prints the log.
func runScenario(t *testing.T, name string, fixed ...uint64) {
	for _, seed := range seeds(t, fixed...) {
		t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
			t.Parallel()
			result := Run(Scenarios[name], seed, Defects{})
			for _, finding := range result.Findings {
				t.Errorf("seed %d: %s", seed, finding)
			}
			t.Logf("served %d of %d, %d events, seen %v", result.Served, result.Sent, result.Events, result.Examined)
			if t.Failed() && os.Getenv("SNOWFLOW_LOG") != "" {
				t.Log(strings.Join(result.Log, "\n"))
			}
		})
	}
}

// captureMesh runs a scenario with a seed and returns the mesh after the run.
func captureMesh(scenario Scenario, seed uint64, defects Defects) (*Mesh, Result) {
	var mesh *Mesh
	prepare := scenario.Prepare
	scenario.Prepare = func(built *Mesh) {
		mesh = built
		if prepare != nil {
			prepare(built)
		}
	}
	result := Run(scenario, seed, defects)
	return mesh, result
}

// runMesh runs a scenario without defects, reports the findings as errors and returns the mesh after the run.
func runMesh(t *testing.T, scenario Scenario, seed uint64) (*Mesh, Result) {
	t.Helper()
	mesh, result := captureMesh(scenario, seed, Defects{})
	for _, finding := range result.Findings {
		t.Errorf("seed %d: %s", seed, finding)
	}
	t.Logf("served %d of %d", result.Served, result.Sent)
	return mesh, result
}

// percentiles returns the median and the 99th percentile of latencies in ascending order.
func percentiles(latencies []monotonic.Micros) (median, p99 monotonic.Micros) {
	return latencies[len(latencies)/2], latencies[len(latencies)*99/100]
}
