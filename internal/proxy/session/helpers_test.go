package session

import (
	"testing"

	"snowflow/internal/host"
	"snowflow/internal/host/clockwatch"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// runProcess runs a test's body as a process of a simulated world, for at most ten minutes of its time.
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

// steadyClock returns a running watch of a process's clock.
func steadyClock(process *world.Host) *clockwatch.Watcher {
	watch := clockwatch.New(process)
	process.Go(watch.Run)
	return watch
}

func emptySession() *wire.Session { return &wire.Session{} }

// echoScope grants a claim, with the request's scope as the outcome.
func echoScope(request *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	return &wire.ClaimResponse{Outcome: request.Scope}, nil
}
