package shutdown

import (
	"testing"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
)

// TestAbort checks the outcomes of abandoned tasks, and that a task that was abandoned before its start can't start any more.
func TestAbort(t *testing.T) {
	for _, test := range []struct {
		name        string
		startsAfter monotonic.Micros
		endsAfter   monotonic.Micros
		abortsAfter monotonic.Micros
		expected    Outcome
		canStart    bool // Start is expected to return true
	}{
		{"done before the abort", 0, monotonic.Second, 2 * monotonic.Second, Done, true},
		{"started before the abort", 0, 3 * monotonic.Second, 2 * monotonic.Second, Started, true},
		{"not started before the abort", 3 * monotonic.Second, 4 * monotonic.Second, 2 * monotonic.Second, NotStarted, false},
		{"run after the abort", 0, monotonic.Second, 0, NotStarted, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			simulated := world.New(1)
			t.Cleanup(simulated.Close)
			ended, allowed := false, false
			simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
				group := New(process)
				if test.abortsAfter == 0 {
					group.Abort()
				}
				process.Go(func() {
					process.Sleep(test.abortsAfter)
					group.Abort()
				})
				process.Go(func() {
					outcome := group.Run(func(task *Task) {
						process.Sleep(test.startsAfter)
						allowed = task.Start()
						process.Sleep(test.endsAfter - test.startsAfter)
					})
					if outcome != test.expected {
						t.Errorf("outcome %d", outcome)
					}
					process.Sleep(10 * monotonic.Second)
					ended = true
				})
				return host.Handlers{}, nil
			}))
			simulated.Run(simulated.Now() + monotonic.Minute)
			if !ended {
				t.Fatal(simulated.Panicked)
			}
			if allowed != test.canStart {
				t.Errorf("Start returned %v", allowed)
			}
		})
	}
}
