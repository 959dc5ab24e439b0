package shutdown

import (
	"testing"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
)

// wakeupTime bounds the time that the simulated host takes to wake a task.
const wakeupTime = monotonic.Millisecond

// TestDrain checks that a drain ends with the last request, or at its timeout.
func TestDrain(t *testing.T) {
	for _, test := range []struct {
		name         string
		requestTimes []monotonic.Micros // one for each request in flight when the drain begins
		timeout      monotonic.Micros
		drained      bool
		duration     monotonic.Micros
	}{
		{"no request", nil, monotonic.Second, true, 0},
		{"no request and no time", nil, 0, true, 0},
		{
			"the last request ends in time", []monotonic.Micros{monotonic.Millisecond, 550 * monotonic.Millisecond},
			monotonic.Second, true, 550 * monotonic.Millisecond,
		},
		{
			"a request outlasts the timeout", []monotonic.Micros{monotonic.Millisecond, 2 * monotonic.Second},
			monotonic.Second, false, monotonic.Second,
		},
		{"the deadline has passed", []monotonic.Micros{monotonic.Second}, -monotonic.Second, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			simulated := world.New(1)
			t.Cleanup(simulated.Close)
			ended := false
			simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
				requests := NewInFlight(process)
				for _, requestTime := range test.requestTimes {
					requests.Begin()
					process.Go(func() {
						process.Sleep(requestTime)
						requests.End()
					})
				}
				process.Go(func() {
					if count := requests.Count(); count != int64(len(test.requestTimes)) {
						t.Errorf("%d requests are in flight, want %d", count, len(test.requestTimes))
					}
					startedAt := process.Now()
					drained := requests.Drain(test.timeout)
					duration := process.Now() - startedAt
					if drained != test.drained || duration < test.duration || duration > test.duration+wakeupTime {
						t.Errorf("Drain returned %v after %d us, want %v after %d us", drained, duration, test.drained, test.duration)
					}
					if drained && requests.Count() != 0 {
						t.Errorf("%d requests are in flight after the drain", requests.Count())
					}
					ended = true
				})
				return host.Handlers{}, nil
			}))
			simulated.Run(simulated.Now() + monotonic.Minute)
			if !ended {
				t.Fatal(simulated.Panicked)
			}
		})
	}
}
