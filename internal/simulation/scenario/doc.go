// Package scenario runs whole meshes in the simulated world and checks what happened.
//
// # Model
//
// Build makes a Mesh: core machines with a registry and a configuration store process each, proxies with backends beside them,
// and one external host from which callers, backends and operators act. The processes run the same state machines as the real
// programs. Only what lies outside is a stand-in: the upstream connections of the proxies (simulatedUpstream), the callers, the
// backends and the operators.
//
// A Scenario says how large the mesh is, which traffic it serves and which faults are injected into it. Run plays one with a
// seed: it builds the mesh, injects faults at random intervals, ends all of them, lets the mesh recover, and passes the history
// that was recorded outside the mesh to the checkers of package invariants. The same scenario and seed replay exactly: draws
// from World.Rand, and the order in which tasks are started, are part of a scenario's definition.
//
// Defects turn a part of the mesh off. The tests use them to show that each checker detects what it exists for.
//
// # Names
//
// Nodes and replication groups have names that are part of the seeds' meaning, since nodes are visited in the order of their
// names: "carrier-N" is a proxy, "sorter-N" a registry process and "postmaster-N" a configuration store process, on the
// machines "core-N". The names of scenarios are listed in docs/rules.md and on command lines. All of them stay as they are.
package scenario
