// Package replication keeps the state of one group on several machines and decides which of them serves it.
//
// # Model
//
// A group is a state machine with primary-backup replication. A small register, stored by every voter of the group, names the
// primary and its backups. The register changes by single-decree proposals over quorums (package consensus). The primary writes
// the state to itself and its backups only, so a voter without a replica is a witness. There is no log that a majority replicates.
//
// Each process of a group has one Member, which combines up to three roles:
//
//   - voter: one copy of the register, promises and leases (voter.go; decisions in package consensus);
//   - replica: a journal on disk and the state machine to which it is applied (replica.go, journal.go, logtail.go, storage.go);
//   - primary: the leadership of one epoch (leadership.go, commit.go, backups.go).
//
// # Epochs and leadership
//
// The epoch is the leadership term, and the fencing token for everything a primary does. A member that the register
// names as primary or backup may campaign (election.go): it proposes the next epoch with itself as primary. It then
// brings backups up to date and proposes one more epoch that names them as in sync (backups.go). Only then does it serve.
// While an epoch isn't in sync, the replicas of the previous epoch still have every acknowledged write, so any of them
// may campaign.
//
// A primary serves only while a quorum grants it a lease, which it renews three times per lease duration (lease.go). It counts
// the lease from before the request. A restarted voter grants nothing until any lease that its previous process granted has
// ended.
//
// # Writes
//
//	Propose -> queue -> commit: one batch of entries
//	             |-> append to the local journal and sync
//	             |-> replicate to every backup, which appends, syncs and applies
//	           all synced -> apply -> results
//
// A write is acknowledged once every backup that the register names has synced it. If a backup fails, the primary stops
// serving until it has proposed an epoch with other backups; there is always at least one. An entry is identified by
// epoch and sequence. A replica accepts entries only from epochs at or above the highest it has seen or opened, and only
// if they directly follow its own position.
//
// # Catch-up
//
// A replica that is slightly behind receives the entries it lacks, if the primary still has them in memory (logtail.go);
// otherwise it receives a snapshot of the whole state (catchup.go).
//
// # The leader clock
//
// Commands are applied at a time of the leader clock, which continues across failovers. Because a primary's clock may jump,
// backups bound the leader clock: they reject one that is ahead of the time elapsed on their own clocks (leaderclock.go).
//
// # Membership
//
// The register also names the voters. They change one at a time by joint consensus: first to a value with both the old
// and the new voters, then, once quorums of both have granted a lease, to the new ones (membership.go; package membership
// chooses the voters). A process that no configuration names asks the primary to join, and waits as a standby
// (join.go). A process that shuts down gracefully first hands over its leadership, its replica and its vote (leave.go).
//
// # What is persisted
//
//	GROUP.register  wire.RegisterRecord, one per change, the last one is current; synced before the promise, acceptance or grant
//	GROUP.journal   wire.JournalRecord: a snapshot, then entries and watermarks; synced before each acknowledgement
//
// If the register file is corrupt, the process starts without a register. If the journal is corrupt, it starts an empty replica
// with a new incarnation. A failed sync ends the process.
//
// # Where to read
//
// Each line follows one operation through the code; "=>" is a message to another process.
//
//	write        Member.Propose, runCommits, commit, replicate => handleReplicate, storeEntries; wait, applyPending, completeBatch
//	lease        renewLease, requestLease => handleLease, consensus.Voter.GrantLease, saveRecord, ConfirmLease
//	failover     runElections, considerCampaign, campaign, changeRegister => handlePrepare, handleAccept; beginLeadership, then as below
//	backups      establishBackups, installBackups, catchUpBackup => handleInstall; proposeBackups, startServing
//	catch-up     missingEntries => installEntries; or takeSnapshot => installSnapshot, replica.install
//	planned stop Leave, transferLeadership, releaseLease => handleHandover; requestLeave => handleLeave, canReleaseVote
//	join         joinAsVoter or requestJoin => handleJoin; changeMembership, membership.State.Next, proposeConfig
//	start        Open, openVoter, replica.open, storage.openLog, wal.Open; openLog handles a torn or corrupt file
//
// # For readers who know etcd's raft
//
//   - The epoch is the term, and a promise of a proposal number is the vote. One leadership takes at least two epochs: one
//     that is won, and one in which backups are in sync.
//   - The register is HardState and ConfState in one value. It is decided by a quorum of voters; entries are not. An entry
//     is committed once all replicas that the register names have synced it. There are no Match and Next indexes: a backup
//     either follows every batch or is replaced.
//   - Who may campaign isn't decided by comparing logs, but by the newest register value that a quorum reports.
//   - Reads rely on the lease alone, as with ReadOnlyLeaseBased. Voters reject candidates while a lease they granted is valid,
//     as with CheckQuorum, but here safety depends on it. Therefore a restarted voter waits for the duration of a lease.
//   - quorumAvailable corresponds to the pre-vote, the handover to MsgTimeoutNow, and the snapshot installation to MsgSnap.
//   - A consensus.Decision is like a Ready: its record is synced before its response is sent.
//   - A standby is like a learner, but has no replica, since a voter needs none.
//   - With an even number of voters the first one counts twice (package quorum).
//
// # Operations
//
// The group reports the events 2xx and 7xx of docs/events.md. Member.Status is what a process reports about itself to operators
// and the doctor command. A group doesn't serve in these cases: no quorum of voters is in contact; none of the replicas that the
// register names is back; or only one of them is back and finds no second voter to become its backup.
//
// # Concurrency
//
// Three executors each run one function at a time: voterExecutor owns Member.voter, replicaExecutor owns the journal and
// all changes of Member.replica, proposalExecutor runs this member's proposals. A proposal uses the other two executors,
// which never use the proposal executor. Member.mu and replica.mu guard memory only and are never held while waiting.
//
// # Determinism
//
// All waiting, time and randomness goes through host.Host. In a simulated run of one seed the order of messages and of
// random draws is part of the behavior: keep it when restructuring.
package replication
