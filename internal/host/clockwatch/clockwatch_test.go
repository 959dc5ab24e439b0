package clockwatch

import (
	"slices"
	"testing"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
)

// runWatcher runs a watcher in a simulated process for a duration, after a call of prepare.
func runWatcher(t *testing.T, duration monotonic.Micros, prepare func(watcher *Watcher)) {
	t.Helper()
	simulated := world.New(1)
	simulated.Start(simulated.Add("one", "one", "one", func(h *world.Host) (host.Handlers, error) {
		watcher := New(h)
		prepare(watcher)
		h.Go(watcher.Run)
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + duration)
	simulated.Close()
}

// TestPeriodicTasksRunAtCheckMultiples checks that a task runs at the multiple of the check interval that is nearest to the task's
// interval, and at every check if the task's interval is shorter.
func TestPeriodicTasksRunAtCheckMultiples(t *testing.T) {
	counts := make([]int, 3)
	runWatcher(t, 10*monotonic.Second, func(watcher *Watcher) {
		for index, interval := range []monotonic.Micros{10 * monotonic.Millisecond, 200 * monotonic.Millisecond, 500 * monotonic.Millisecond} {
			watcher.Every(interval, func() { counts[index]++ })
		}
	})
	if counts[0] < 90 || counts[0] > 100 || !slices.Equal([]int{counts[0] / 2, counts[0] / 5}, counts[1:]) {
		t.Errorf("in ten seconds the tasks ran %v times, want 90 to 100, half as many and a fifth", counts)
	}
}
