// Package wal keeps records in an append-only file (a write-ahead log) and distinguishes a torn tail from corruption.
//
// # Records
//
// A file is a sequence of records. All integers are little-endian:
//
//	offset  size
//	     0     4  magic, 0x534e4f57
//	     4     4  CRC-32C of everything after it
//	     8     8  number, counted from 1
//	    16     8  number of the last record known to be synced when this one was written
//	    24     4  length of the payload
//	    28     4  zero
//	    32        payload
//
// # Torn tails and corruption
//
// A process or machine that stops while records are written leaves an incomplete tail. No response depended on those records,
// since responses wait for a sync; Open truncates the tail. If a valid record after the bad one says that the bad one was
// synced, the file is corrupt: acknowledged records may be lost, and Open fails with ErrCorrupt. The caller then gives up the
// file (Recreate) and recovers its content from other members. Damage to the very last record looks like a torn tail.
//
// # Rewriting
//
// Rewrite replaces the file by one with other records: it writes and syncs a second file, NAME.new, and renames it. A rewrite
// that was interrupted leaves a NAME.new that Open removes. ReserveSpace keeps some space for a rewrite on a full disk.
//
// # Failed syncs
//
// After a failed sync the kernel may have dropped the pages, so a later sync that succeeds proves nothing. The log refuses
// further use with ErrSyncFailed, and the process has to end.
package wal
