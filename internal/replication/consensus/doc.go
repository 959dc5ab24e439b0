// Package consensus is the voting side of a replication group's register: single-decree proposals (prepare and accept,
// as in Paxos) and leader leases, decided by one voter.
//
// # The register
//
// A group has one small register, a wire.RegisterValue: the epoch (the leadership term, which is also the fencing
// token), the primary and its backups, whether the backups are in sync, and the voters. Every voter keeps a copy of it.
// The register is replaced as a whole, by a proposal with a number that is higher than any seen before:
//
//	prepare(number)        each voter promises not to follow lower numbers, and reports the value it accepted last
//	accept(number, value)  each voter that still holds to that promise stores the value
//
// A value is chosen once a quorum accepted it. Quorums follow from the value itself (ConfigOf); while the membership
// changes both the old and the new voters must have one. There is no replicated log of register values: only the newest
// one matters.
//
// # Leases
//
// A primary asks the voters for a lease and may serve while a quorum grants it. A voter that granted one promises and
// grants nothing to anybody else until the lease ends. The lease is counted by the voter from after its grant, and by
// the primary from before its request, so it ends at the primary first.
//
// # The state machine
//
// Voter is a state machine without I/O, locks or a clock. Each method is given the time and a request, and returns a
// Decision: the response, and the record to write before that response may be sent. The caller
//
//  1. calls Prepare, Accept or GrantLease,
//  2. syncs Decision.Record to disk, if there is one, and calls RecordSaved,
//  3. calls ConfirmPromise or ConfirmLease with the time after the sync,
//  4. sends Decision.Response.
//
// If the sync fails, the response is dropped and the process stops: what the disk holds is unknown.
//
// # What is persisted
//
// A wire.RegisterRecord: the highest number promised, the value accepted last with its number, and the processes that
// may hold a lease granted by this voter (the grantees). Promises are valid only within the process that gave them, and
// grants are not persisted: a process that restarts neither votes nor grants for a lease's duration, unless it learns
// that every grantee's process has ended (ObserveProcesses).
package consensus
