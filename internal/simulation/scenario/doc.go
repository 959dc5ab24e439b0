// Package scenario runs whole simulated meshes, injects faults into them and checks what happened.
//
// # Model
//
// Build creates a Mesh: core machines, each with a registry process and a configuration store process; proxies, each with local
// backends; and one external host on which the callers, backends and operators run. The processes run the same state machines as
// the real programs. Only their environment is simulated: the upstream connections of the proxies (simulatedUpstream), the
// callers, the backends and the operators.
//
// A Scenario defines the size of the mesh, its traffic and the faults that are injected. Run executes one with a seed: it builds
// the mesh, injects faults at random intervals, ends all of them, lets the mesh recover, and passes the history that was recorded
// outside the mesh to the checkers of package invariants. The same scenario and seed replay exactly: the draws from World.Rand,
// and the order in which tasks are started, are part of a scenario's definition.
//
// Defects disable parts of the mesh. The tests use them to show that each checker detects what it exists for.
//
// # Names
//
// The names of nodes and replication groups affect the replay of a seed, since nodes are visited in the order of their names:
// "carrier-N" is a proxy, "sorter-N" a registry process and "postmaster-N" a configuration store process, on the machines
// "core-N". The names of scenarios are listed in docs/rules.md and used on command lines. None of these names may change.
package scenario
