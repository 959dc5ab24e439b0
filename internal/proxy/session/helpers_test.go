package session

import (
	"testing"

	"snowflow/internal/host"
	"snowflow/internal/host/clockwatch"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// runProcess runs body in a process of a new simulated world, for at most ten minutes of simulated time.
func runProcess(t *testing.T, seed uint64, body func(simulated *world.World, process *world.Host)) {
	t.Helper()
	simulated := world.New(seed)
	t.Cleanup(simulated.Close)
	ended := false
	simulated.Start(simulated.Add("one", "one", "one", func(process *world.Host) (host.Handlers, error) {
		process.Go(func() {
			body(simulated, process)
			ended = true
		})
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + 10*monotonic.Minute)
	if !ended {
		t.Fatal(simulated.Panicked)
	}
}

// steadyClock returns a running watcher of a process's clock.
func steadyClock(process *world.Host) *clockwatch.Watcher {
	watch := clockwatch.New(process)
	process.Go(watch.Run)
	return watch
}

func emptySession() *wire.Session { return &wire.Session{} }

// echoScope returns the scope of a claim as its outcome.
func echoScope(request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	return &wire.ClaimResponse{Outcome: request.Scope}, nil
}
