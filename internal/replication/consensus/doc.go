// Package consensus implements the voter (the acceptor in Paxos terms) of a replication group's register: it decides
// single-decree proposals (prepare and accept) and grants leader leases.
//
// # The register
//
// Each group has one register, a wire.RegisterValue: the epoch (the leadership term, which is also the fencing token),
// the primary and its backups, whether the backups are in sync, and the voters. Every voter stores a copy of it. A
// proposal replaces the complete register. Its number is higher than any seen before:
//
//	prepare(number)        each voter promises to reject lower numbers, and reports the value it accepted last
//	accept(number, value)  each voter whose promise is still valid stores the value
//
// A value is chosen once a quorum has accepted it. The value itself defines the quorums (ConfigOf); during a membership
// change a quorum of both the old and the new voters is needed. There is no replicated log of register values: only the
// newest one matters.
//
// # Leases
//
// A primary requests a lease from the voters and may serve while a quorum grants it. A voter that has granted a lease
// promises and grants nothing to other members until the lease expires. The voter measures the lease from after its
// grant, the primary from before its request, so it expires at the primary first.
//
// # The state machine
//
// Voter is a state machine without I/O, locks or a clock. Prepare, Accept and GrantLease take a request and the time, and
// return a Decision: the response, and the record to write before that response may be sent. The caller
//
//  1. calls Prepare, Accept or GrantLease,
//  2. syncs Decision.Record to disk, if there is one, and calls RecordSaved,
//  3. calls ConfirmPromise or ConfirmLease with the time after the sync,
//  4. sends Decision.Response.
//
// If the sync fails, the response is dropped and the process exits, because the content of the disk is unknown.
//
// # What is persisted
//
// A voter persists a wire.RegisterRecord: the highest number promised, the value accepted last with its number, and the
// processes that may hold a lease granted by this voter (the grantees). A promise is valid only within the process that
// gave it. Of a granted lease only the grantee is persisted, not the end, so a restarted process neither votes nor grants
// leases for one lease duration, unless it learns that the process of every grantee has ended (ObserveProcesses).
package consensus
