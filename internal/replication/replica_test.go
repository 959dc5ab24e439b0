package replication

import (
	"bytes"
	"testing"

	"snowflow/internal/discovery"
	"snowflow/internal/host"
	"snowflow/internal/monotonic"
	"snowflow/internal/simulation/world"
	"snowflow/internal/transport/wire"
)

// largeState is a state machine whose state stays the same size when commands are applied.
type largeState struct{ content []byte }

func (s *largeState) Apply(uint64, monotonic.Micros, []byte) []byte { return nil }
func (s *largeState) Snapshot() []byte                              { return s.content }
func (s *largeState) Restore([]byte) error                          { return nil }
func (s *largeState) HasTimers() bool                               { return false }

// TestLargeStateIsNotCompactedWithEveryBatch appends to a journal whose snapshot alone exceeds the compaction threshold.
func TestLargeStateIsNotCompactedWithEveryBatch(t *testing.T) {
	simulated := world.New(1)
	defer simulated.Close()
	const batches = 1000
	stored := 0
	node := simulated.Add("one", "one", "one", func(h *world.Host) (host.Handlers, error) {
		m, err := Open(Config{Host: h, Resolver: discovery.New(h, nil, nil), Group: "test", Name: "one", InitialVoters: []string{"one"},
			StateMachine: &largeState{content: bytes.Repeat([]byte("x"), 100<<10)}, CompactionThreshold: 1 << 10})
		if err != nil {
			return nil, err
		}
		for sequence := uint64(1); sequence <= batches; sequence++ {
			entry := &wire.Entry{Epoch: 1, Sequence: sequence, Command: bytes.Repeat([]byte("c"), 1<<10)}
			m.replicaExecutor.Run(func() {
				if err = m.replica.appendEntries([]*wire.Entry{entry}); err == nil {
					m.replica.apply(entry)
					stored++
				}
			})
		}
		return host.Handlers{}, err
	})
	simulated.Start(node)
	simulated.Run(simulated.Now() + monotonic.Minute)
	if stored != batches {
		t.Fatalf("%d of %d stored; %v", stored, batches, simulated.Panicked)
	}
	// A megabyte of entries after a snapshot of a tenth of that size needs only a few compactions.
	if node.Disk.Renames > 10 {
		t.Errorf("%d compactions for %d batches", node.Disk.Renames, batches)
	}
}
