// Package replication keeps one group's state on several machines and decides which of them serves it.
//
// # Model
//
// A group is a state machine that is replicated by primary and backup. A small register, kept by all voters of the group,
// names the primary and its backups; it is changed by single-decree proposals over quorums (package consensus). The
// state itself is written by the primary to itself and its backups only: a voter without a replica is a witness. There
// is no log that a majority replicates.
//
// Each process of a group has one Member, which combines up to three roles:
//
//   - voter: one copy of the register, promises and leases (voter.go; decisions in package consensus);
//   - replica: a journal on disk and the state machine it has been applied to (replica.go, journal.go, logtail.go, storage.go);
//   - primary: the leadership of one epoch (leadership.go, commit.go, backups.go).
//
// # Epochs and leadership
//
// The epoch is the leadership term, and the fencing token for everything a primary does. A member that the register
// names as primary or backup may campaign (election.go): it proposes the next epoch with itself as primary. It then
// brings backups into step and proposes one more epoch that names them in sync (backups.go). Only then does it serve.
// While an epoch isn't in sync, the replicas of the epoch before it still have every acknowledged write, so any of them
// may campaign.
//
// A primary serves only while a quorum grants it a lease, which it renews every third of the lease's duration
// (lease.go). The lease is counted from before it was requested. A voter that restarts grants nothing until leases of
// its earlier process have ended.
//
// # Writes
//
//	Propose -> queue -> commit: one batch of entries
//	             |-> append to the own journal and sync
//	             |-> replicate to every backup, which appends, syncs and applies
//	           all synced -> apply -> results
//
// A write is acknowledged once every backup that the register names has synced it. If a backup fails, the primary stops
// serving until it has proposed an epoch with other backups; there is always at least one. An entry is identified by
// epoch and sequence. A replica accepts entries only from epochs at or above the highest it has seen or opened, and only
// if its own position is the one before.
//
// # Catch-up
//
// A replica that is a little behind is sent the entries it lacks, if the primary still has them in memory (logtail.go);
// otherwise a snapshot of the whole state (catchup.go).
//
// # The leader clock
//
// Commands are applied at a time of the leader clock, which continues across failovers. A primary's own clock may jump, so
// backups bound it: they reject a leader clock that is ahead of what has passed by their own clocks (leaderclock.go).
//
// # Membership
//
// The register also names the voters. They change one at a time by joint consensus: first to a value with both the old
// and the new voters, then, once a lease stands by quorums of both, to the new ones (membership.go; the choice is made
// by package membership). A process that no configuration names asks the primary to join, and waits as a standby
// (join.go). A process that shuts down gracefully first passes on its leadership, its replica and its vote (leave.go).
//
// # What is persisted
//
//	GROUP.register  wire.RegisterRecord, one a change, the last one counts; synced before each promise or acceptance
//	GROUP.journal   wire.JournalRecord: a snapshot, then entries and watermarks; synced before each acknowledgement
//
// A damaged register makes the process begin without one; a damaged journal makes it begin a new replica under another
// incarnation. A sync that fails ends the process.
//
// # Where to read
//
// Each line follows one operation through the code; "=>" is a message to another process.
//
//	write        Member.Propose, runCommits, commit, replicate => handleReplicate, storeEntries; wait, applyPending, completeBatch
//	lease        renewLease, requestLease => handleLease, consensus.Voter.GrantLease, saveRecord, ConfirmLease
//	failover     runElections, considerCampaign, campaign, changeRegister => handlePrepare, handleAccept; beginLeadership, then as below
//	backups      establishBackups, installBackups, bringIntoStep => handleInstall; proposeBackups, startServing
//	catch-up     missingEntries => installEntries; or takeSnapshot => installSnapshot, replica.install
//	planned stop Leave, transferLeadership, releaseLease => handleHandover; requestLeave => handleLeave, voteMayGo
//	join         joinAsVoter or requestJoin => handleJoin; changeMembership, membership.State.Next, proposeConfig
//	start        Open, openVoter, replica.open, storage.openLog, wal.Open; a torn or corrupt file is dealt with in openLog
//
// # For readers who know etcd's raft
//
//   - The epoch is the term, and a promise of a proposal number is the vote. One leadership takes at least two epochs: one
//     that is won, and one in which backups are in sync.
//   - The register is HardState and ConfState in one value. It is decided by a quorum of voters; entries are not. An entry
//     is committed once all replicas that the register names have synced it. There are no Match and Next indexes: a backup is
//     in step, or it is replaced.
//   - Who may campaign isn't decided by comparing logs, but by the newest register value that a quorum reports.
//   - Reads rely on the lease alone, as with ReadOnlyLeaseBased. Voters reject candidates while their lease stands, as with
//     CheckQuorum, but here safety depends on it. Hence a restarted voter waits for as long as a lease lasts.
//   - quorumAvailable takes the part of the pre-vote, the handover that of MsgTimeoutNow, and installing that of MsgSnap.
//   - A consensus.Decision is like a Ready: its record is synced before its response is sent.
//   - A standby is like a learner, but has no replica: a voter needs none.
//   - With an even number of voters the first one counts twice (package quorum).
//
// # On call
//
// What the group reports are events 2xx and 7xx of docs/events.md. Member.Status is what a process shows operators and the
// doctor command of itself. A group doesn't serve if no quorum of voters is in contact, if none of the replicas that the register names is back, or if
// the only one of them that is back finds no second voter to become its backup.
//
// # Concurrency
//
// Three executors each run one command at a time: voterExecutor owns Member.voter, replicaExecutor owns the journal and
// all changes of Member.replica, proposalExecutor runs this member's proposals. Commands of the proposal executor use
// the other two; those never use the proposal executor. Member.mu and replica.mu guard memory only and are never held
// while waiting.
//
// # Determinism
//
// All waiting, time and chance goes through host.Host. In a simulated run of one seed the order of messages and of
// random draws is part of the behavior: keep it when restructuring.
package replication
