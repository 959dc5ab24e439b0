package clockwatch

import (
	"slices"
	"testing"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
)

// watched runs a watch in a simulated process for a span.
func watched(t *testing.T, span monotonic.Micros, prepare func(watch *Vigil)) {
	t.Helper()
	simulated := world.New(1)
	simulated.Start(simulated.Add("one", "one", "one", func(place *world.Place) (host.Table, error) {
		watch := New(place)
		prepare(watch)
		place.Go(watch.Watch)
		return host.Table{}, nil
	}))
	simulated.Run(simulated.Now() + span)
	simulated.Close()
}

// TestTasksComeWithTheLooks: a task is done at whole beats, as near to its span as they allow, and never less often.
func TestTasksComeWithTheLooks(t *testing.T) {
	counts := make([]int, 3)
	watched(t, 10*monotonic.Second, func(watch *Vigil) {
		for index, span := range []monotonic.Micros{10 * monotonic.Millisecond, 200 * monotonic.Millisecond, 500 * monotonic.Millisecond} {
			watch.Every(span, func() { counts[index]++ })
		}
	})
	if counts[0] < 90 || counts[0] > 100 || !slices.Equal([]int{counts[0] / 2, counts[0] / 5}, counts[1:]) {
		t.Errorf("in ten seconds they were done %v times", counts)
	}
}
