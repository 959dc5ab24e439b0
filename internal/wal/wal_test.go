package wal_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"snowflow/internal/wal"
	"snowflow/internal/wal/memory"
)

// open opens the log on a disk and returns it with its records.
func open(t *testing.T, disk *memory.Disk) (*wal.Log, []string, error) {
	t.Helper()
	var records []string
	log, err := wal.Open(disk, "log", func(payload []byte) error {
		records = append(records, string(payload))
		return nil
	})
	return log, records, err
}

// newLog returns a log with count synced records.
func newLog(t *testing.T, disk *memory.Disk, count int) *wal.Log {
	t.Helper()
	log, _, err := open(t, disk)
	if err != nil {
		t.Fatal(err)
	}
	for index := range count {
		appendSynced(t, log, fmt.Sprintf("record %d", index))
	}
	return log
}

func appendSynced(t *testing.T, log *wal.Log, payload string) {
	t.Helper()
	if err := errors.Join(log.Append([]byte(payload)), log.Sync()); err != nil {
		t.Fatal(err)
	}
}

// requireRecords checks which records a log has when it is opened.
func requireRecords(t *testing.T, disk *memory.Disk, want ...string) {
	t.Helper()
	if _, records, err := open(t, disk); err != nil || !slices.Equal(records, want) {
		t.Fatalf("got %q %v, want %q", records, err, want)
	}
}

// TestTornTailIsTruncated appends a record without a sync before a power loss, which leaves every possible prefix of it on disk.
func TestTornTailIsTruncated(t *testing.T) {
	const fullLength = 32 + len("unsynced")
	for stored := 0; stored <= fullLength; stored++ {
		t.Run(fmt.Sprintf("%d bytes stored", stored), func(t *testing.T) {
			disk := memory.New()
			log := newLog(t, disk, 3)
			if err := log.Append([]byte("unsynced")); err != nil {
				t.Fatal(err)
			}
			disk.SurvivingLength = func(int) int { return stored }
			disk.PowerLoss()
			log, records, err := open(t, disk)
			if err != nil {
				t.Fatal(err)
			}
			want := 3
			if stored == fullLength {
				want = 4
			}
			torn := stored > 0 && stored < fullLength
			if len(records) != want || torn != (log.TruncatedBytes > 0) {
				t.Fatalf("%q, %d bytes truncated", records, log.TruncatedBytes)
			}
			appendSynced(t, log, "next")
			if _, records, err := open(t, disk); err != nil || len(records) != want+1 {
				t.Fatalf("after another append: %q %v", records, err)
			}
		})
	}
}

// TestCorruptionIsNotATornTail corrupts each byte of synced records. Only damage to the last record may be taken for a torn tail.
func TestCorruptionIsNotATornTail(t *testing.T) {
	pristine := memory.New()
	newLog(t, pristine, 4)
	length := pristine.Size("log")
	lastRecord := length * 3 / 4
	for offset := range length {
		disk := memory.New()
		newLog(t, disk, 4)
		disk.Corrupt("log", offset)
		_, records, err := open(t, disk)
		if offset < lastRecord && !errors.Is(err, wal.ErrCorrupt) {
			t.Fatalf("byte %d: corruption was not detected: %q %v", offset, records, err)
		}
	}
}

// TestFailedSyncIsFinal guards against a later, successful sync that hides a failed one, whose data may be lost.
func TestFailedSyncIsFinal(t *testing.T) {
	disk := memory.New()
	log := newLog(t, disk, 1)
	if err := log.Append([]byte("lost")); err != nil {
		t.Fatal(err)
	}
	disk.FailSyncs = 1
	for _, step := range []struct {
		name string
		use  func() error
	}{
		{"the sync that fails", log.Sync},
		{"a second sync", log.Sync},
		{"an append", func() error { return log.Append([]byte("more")) }},
	} {
		if err := step.use(); !errors.Is(err, wal.ErrSyncFailed) {
			t.Fatalf("%s: %v", step.name, err)
		}
	}
}

// TestRewriteIsAtomic checks that a power loss after a rewrite leaves only the new records, and after a failed one only the old.
func TestRewriteIsAtomic(t *testing.T) {
	disk := memory.New()
	log := newLog(t, disk, 5)
	if err := log.Rewrite([]byte("all of it")); err != nil {
		t.Fatal(err)
	}
	disk.PowerLoss()
	requireRecords(t, disk, "all of it")
	log, _, err := open(t, disk)
	if err != nil {
		t.Fatal(err)
	}
	disk.FailSyncs = 1
	if err := log.Rewrite([]byte("newer")); err == nil {
		t.Fatal("a rewrite succeeded although the sync of its file failed")
	}
	disk.PowerLoss()
	requireRecords(t, disk, "all of it")
}

// TestFullDiskLeavesTheLogAsItWas guards against an append that fails on a full disk and leaves a partial record in the log.
func TestFullDiskLeavesTheLogAsItWas(t *testing.T) {
	disk := memory.New()
	log := newLog(t, disk, 2)
	disk.Capacity = disk.Size("log") + 10
	if err := log.Append([]byte("does not fit")); !errors.Is(err, wal.ErrDiskFull) {
		t.Fatal(err)
	}
	disk.Capacity = 0
	appendSynced(t, log, "fits")
	requireRecords(t, disk, "record 0", "record 1", "fits")
}
