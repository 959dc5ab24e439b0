// Package wal implements a write-ahead log: an append-only file of records. It distinguishes a torn tail from corruption.
//
// # Records
//
// A file is a sequence of records. All integers are little-endian:
//
//	offset  size
//	     0     4  magic, 0x534e4f57
//	     4     4  CRC-32C of everything after it
//	     8     8  number of the record, counted from 1
//	    16     8  number of the last record that was known to be synced when this one was written
//	    24     4  length of the payload
//	    28     4  zero
//	    32        payload
//
// # Torn tails and corruption
//
// A process or machine that stops while it writes records leaves an incomplete tail. Responses are sent only after a sync, so no
// response depended on those records, and Open truncates the tail. If a valid record after a bad one shows that the bad one was
// synced, the file is corrupt: acknowledged records may be lost, and Open fails with ErrCorrupt. The caller then replaces the
// file by an empty one (Recreate) and recovers the content from other members. Damage to the last record can't be told from a
// torn tail.
//
// # Rewriting
//
// Rewrite replaces the file by one with other records: it writes and syncs a second file, NAME.new, and renames it. An
// interrupted rewrite leaves NAME.new behind, which Open removes. ReserveSpace reserves space for a rewrite on a full disk.
//
// # Failed syncs
//
// After a failed sync the kernel may have dropped the dirty pages, so a later sync that succeeds doesn't show that they are on
// disk. All further use of the log fails with ErrSyncFailed, and the process must exit.
package wal
