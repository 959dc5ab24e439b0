// Package world is a deterministic simulator of machines, processes, clocks, disks and a network. A seed determines the whole run.
//
// A World holds Nodes. Each node is one process with its disk. Its program uses a Host, which implements host.Host: the interface
// through which the real programs use the clock, the network and the disk.
//
// # Determinism
//
// Each task is a goroutine, but only one task runs at a time. It runs until it sleeps, waits for a signal or a call, or ends. Then
// the scheduler (World.Run) takes the next event, ordered by due time and then by creation. All random choices come from sources
// that derive from the world's seed: World.Rand for the scenario and one source per node. A seed therefore replays the same run as
// long as the order of the events and of the draws from each source stays the same. World.Digest shows whether two runs differ.
//
// # Faults
//
// Processes can be killed and restarted (Kill, Start) or frozen (Freeze, Suspend, Thaw). Disks can lose what was not synced, or
// everything (PowerLoss, LoseDisk), and memory.Disk injects further faults. The network can be partitioned (Partition,
// HealPartition, HealNetwork) or slowed down (Delay) between two machines, separately in each direction. Each node has a clock
// with an offset and a drift, which can be stepped (StepClock).
//
// A node's incarnation is a counter that increases on every start and kill. Events and calls store the incarnation that they belong
// to, so that nothing from a killed process reaches the one that is started after it.
package world
