// Package world simulates machines, processes, clocks, disks and a network, deterministically by a seed.
//
// A World holds Nodes, each of them one process with its disk. A node's program runs against a Host, which implements
// host.Host: the same interface by which the real programs reach the clock, the network and the disk.
//
// # Determinism
//
// Each task is a goroutine, but only one runs at a time. It runs until it sleeps, waits for a signal or a call, or ends; then the
// scheduler (World.Run) takes the next event in the order of its time and, at the same time, of its creation. Everything that
// is left to chance comes from random sources that are seeded by the world's seed: the world's own (World.Rand) for the
// scenario, and one for each node. So a seed replays exactly as long as the events, and the draws from each source, keep their
// order. World.Digest tells two runs apart.
//
// # Faults
//
// Processes are killed and started (Kill, Start), frozen and thawed (Freeze, Suspend, Thaw). Disks lose what was not synced, or
// everything (PowerLoss, LoseDisk), and have faults of their own (memory.Disk). The network is partitioned machine by machine
// and direction by direction (Partition, HealPartition, HealNetwork) or delayed (Delay). Each node has a clock with its own
// offset and drift, which may be stepped (StepClock).
//
// A node's incarnation is a number that rises whenever it starts or is killed. Events and calls remember the incarnation that
// they belong to, so that nothing of a dead process reaches its successor.
package world
