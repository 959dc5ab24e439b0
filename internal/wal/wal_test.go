package wal_test

import (
	"errors"
	"fmt"
	"testing"

	"snowflow/internal/wal"
	"snowflow/internal/wal/memory"
)

func open(t *testing.T, disk *memory.Disk) (*wal.Log, []string, error) {
	t.Helper()
	var records []string
	log, err := wal.Open(disk, "log", func(content []byte) error {
		records = append(records, string(content))
		return nil
	})
	return log, records, err
}

func fill(t *testing.T, disk *memory.Disk, count int) *wal.Log {
	t.Helper()
	log, _, err := open(t, disk)
	if err != nil {
		t.Fatal(err)
	}
	for index := range count {
		if err := errors.Join(log.Append([]byte(fmt.Sprintf("record %d", index))), log.Sync()); err != nil {
			t.Fatal(err)
		}
	}
	return log
}

// TestTornTailIsCutAtEveryLength writes one more record without a sync and lets a power loss keep each part of it.
func TestTornTailIsCutAtEveryLength(t *testing.T) {
	const whole = 32 + len("unsynced")
	for kept := 0; kept <= whole; kept++ {
		disk := memory.New()
		log := fill(t, disk, 3)
		if err := log.Append([]byte("unsynced")); err != nil {
			t.Fatal(err)
		}
		disk.Tear = func(int) int { return kept }
		disk.PowerLoss()
		log, records, err := open(t, disk)
		if err != nil {
			t.Fatalf("kept %d: %v", kept, err)
		}
		want := 3
		if kept == whole {
			want = 4
		}
		if len(records) != want || (kept > 0 && kept < whole) != (log.Cut > 0) {
			t.Fatalf("kept %d: %q, cut %d", kept, records, log.Cut)
		}
		if err := errors.Join(log.Append([]byte("next")), log.Sync()); err != nil {
			t.Fatal(err)
		}
		if _, again, err := open(t, disk); err != nil || len(again) != want+1 {
			t.Fatalf("kept %d: after appending %q %v", kept, again, err)
		}
	}
}

// TestDamageIsNotTakenForATornTail flips each byte of synced records; only damage to the very last one may look torn.
func TestDamageIsNotTakenForATornTail(t *testing.T) {
	length := 0
	{
		disk := memory.New()
		fill(t, disk, 4)
		length = disk.Size("log")
	}
	for offset := range length {
		disk := memory.New()
		fill(t, disk, 4)
		disk.Damage("log", offset)
		_, records, err := open(t, disk)
		last := length * 3 / 4
		if offset < last && !errors.Is(err, wal.ErrDamaged) {
			t.Fatalf("byte %d: damage was not seen: %q %v", offset, records, err)
		}
	}
}

func TestFailedSyncPoisons(t *testing.T) {
	disk := memory.New()
	log := fill(t, disk, 1)
	if err := log.Append([]byte("lost")); err != nil {
		t.Fatal(err)
	}
	disk.FailSyncs = 1
	if err := log.Sync(); !errors.Is(err, wal.ErrPoisoned) {
		t.Fatal(err)
	}
	if err := log.Sync(); !errors.Is(err, wal.ErrPoisoned) {
		t.Fatalf("a second sync must not look as if it mended the first: %v", err)
	}
	if err := log.Append([]byte("more")); !errors.Is(err, wal.ErrPoisoned) {
		t.Fatal(err)
	}
}

func TestRewriteLeavesOldOrNewWhole(t *testing.T) {
	disk := memory.New()
	log := fill(t, disk, 5)
	if err := log.Rewrite([]byte("all of it")); err != nil {
		t.Fatal(err)
	}
	disk.PowerLoss()
	if _, records, err := open(t, disk); err != nil || len(records) != 1 || records[0] != "all of it" {
		t.Fatalf("%q %v", records, err)
	}
	log, _, _ = open(t, disk)
	disk.FailSyncs = 1
	if err := log.Rewrite([]byte("newer")); err == nil {
		t.Fatal("a rewrite whose file was not synced must fail")
	}
	disk.PowerLoss()
	if _, records, err := open(t, disk); err != nil || len(records) != 1 || records[0] != "all of it" {
		t.Fatalf("%q %v", records, err)
	}
}

func TestFullDiskKeepsWhatWasThere(t *testing.T) {
	disk := memory.New()
	log := fill(t, disk, 2)
	disk.Capacity = disk.Size("log") + 10
	if err := log.Append([]byte("does not fit")); !errors.Is(err, wal.ErrFull) {
		t.Fatal(err)
	}
	disk.Capacity = 0
	if err := errors.Join(log.Append([]byte("fits")), log.Sync()); err != nil {
		t.Fatal(err)
	}
	if _, records, err := open(t, disk); err != nil || len(records) != 3 {
		t.Fatalf("%q %v", records, err)
	}
}
