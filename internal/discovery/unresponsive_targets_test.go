package discovery

import (
	"fmt"
	"testing"

	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

const (
	liveTargets = 3
	goneTargets = 24 // the control plane's processes on machines that are replaced within weeks
	targetSeeds = 30
)

// TestGoneTargetsDelayNobody guards against finding the primary more slowly with every machine that was ever replaced. This happened when
// the addresses of replaced machines were queried in the same rotation as those of live processes, and each query waited for its timeout.
func TestGoneTargetsDelayNobody(t *testing.T) {
	for seed := range uint64(targetSeeds) {
		answered := answersPerRefresh(t, seed)
		// After each target was queried once, every refresh queries one that responds.
		for number, count := range answered[liveTargets+goneTargets:] {
			if count != 1 {
				t.Errorf("seed %d: refresh %d got %d responses, want 1", seed, liveTargets+goneTargets+number, count)
				break
			}
		}
	}
}

// answersPerRefresh performs a series of refreshes in a process that also knows the addresses of processes that no longer exist. It returns
// how many live processes answered during each refresh.
func answersPerRefresh(t *testing.T, seed uint64) (answered []int) {
	t.Helper()
	simulated := world.New(seed)
	defer simulated.Close()
	requests := 0
	var known []*wire.PeerAddress
	for number := range liveTargets + goneTargets {
		name := fmt.Sprintf("process-%d", number)
		known = append(known, &wire.PeerAddress{Name: name, Address: name, Group: RegistryGroup})
	}
	simulated.Rand().Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	for _, live := range known[:liveTargets] {
		simulated.Start(simulated.Add(live.Name, live.Address, live.Name, func(h *world.Host) (host.Handlers, error) {
			handlers := host.Handlers{}
			host.Handle(handlers, wire.Kind_discover, func(*wire.DiscoverRequest) (*wire.DiscoverResponse, error) {
				requests++
				return &wire.DiscoverResponse{}, nil
			})
			return handlers, nil
		}))
	}
	simulated.Start(simulated.Add("client", "client", "client", func(h *world.Host) (host.Handlers, error) {
		h.Go(func() {
			resolver := New(h, nil, []string{known[0].Address, known[liveTargets].Address})
			resolver.AddPeers(known)
			for range 4 * (liveTargets + goneTargets) {
				before := requests
				resolver.Refresh()
				answered = append(answered, requests-before)
				h.Sleep(refreshInterval)
			}
		})
		return host.Handlers{}, nil
	}))
	simulated.Run(simulated.Now() + monotonic.Minute)
	if simulated.Panicked != nil {
		t.Fatal(simulated.Panicked)
	}
	return answered
}
