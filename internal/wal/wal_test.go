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
	l, err := wal.Open(disk, "log", func(content []byte) error {
		records = append(records, string(content))
		return nil
	})
	return l, records, err
}

func fill(t *testing.T, disk *memory.Disk, count int) *wal.Log {
	t.Helper()
	l, _, err := open(t, disk)
	if err != nil {
		t.Fatal(err)
	}
	for index := range count {
		if err := errors.Join(l.Append([]byte(fmt.Sprintf("record %d", index))), l.Sync()); err != nil {
			t.Fatal(err)
		}
	}
	return l
}

// TestTornTailIsCutAtEveryLength writes one more record without a sync and lets a power loss keep each part of it.
func TestTornTailIsCutAtEveryLength(t *testing.T) {
	const fullLength = 32 + len("unsynced")
	for storedBytes := 0; storedBytes <= fullLength; storedBytes++ {
		disk := memory.New()
		l := fill(t, disk, 3)
		if err := l.Append([]byte("unsynced")); err != nil {
			t.Fatal(err)
		}
		disk.TornLength = func(int) int { return storedBytes }
		disk.PowerLoss()
		l, records, err := open(t, disk)
		if err != nil {
			t.Fatalf("kept %d: %v", storedBytes, err)
		}
		want := 3
		if storedBytes == fullLength {
			want = 4
		}
		if len(records) != want || (storedBytes > 0 && storedBytes < fullLength) != (l.TruncatedBytes > 0) {
			t.Fatalf("kept %d: %q, cut %d", storedBytes, records, l.TruncatedBytes)
		}
		if err := errors.Join(l.Append([]byte("next")), l.Sync()); err != nil {
			t.Fatal(err)
		}
		if _, again, err := open(t, disk); err != nil || len(again) != want+1 {
			t.Fatalf("kept %d: after appending %q %v", storedBytes, again, err)
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
		disk.Corrupt("log", offset)
		_, records, err := open(t, disk)
		last := length * 3 / 4
		if offset < last && !errors.Is(err, wal.ErrCorrupt) {
			t.Fatalf("byte %d: damage was not seen: %q %v", offset, records, err)
		}
	}
}

func TestFailedSyncPoisons(t *testing.T) {
	disk := memory.New()
	l := fill(t, disk, 1)
	if err := l.Append([]byte("lost")); err != nil {
		t.Fatal(err)
	}
	disk.FailSyncs = 1
	if err := l.Sync(); !errors.Is(err, wal.ErrSyncFailed) {
		t.Fatal(err)
	}
	if err := l.Sync(); !errors.Is(err, wal.ErrSyncFailed) {
		t.Fatalf("a second sync must not look as if it mended the first: %v", err)
	}
	if err := l.Append([]byte("more")); !errors.Is(err, wal.ErrSyncFailed) {
		t.Fatal(err)
	}
}

func TestRewriteIsAtomic(t *testing.T) {
	disk := memory.New()
	l := fill(t, disk, 5)
	if err := l.Rewrite([]byte("all of it")); err != nil {
		t.Fatal(err)
	}
	disk.PowerLoss()
	if _, records, err := open(t, disk); err != nil || len(records) != 1 || records[0] != "all of it" {
		t.Fatalf("%q %v", records, err)
	}
	l, _, _ = open(t, disk)
	disk.FailSyncs = 1
	if err := l.Rewrite([]byte("newer")); err == nil {
		t.Fatal("a rewrite whose file was not synced must fail")
	}
	disk.PowerLoss()
	if _, records, err := open(t, disk); err != nil || len(records) != 1 || records[0] != "all of it" {
		t.Fatalf("%q %v", records, err)
	}
}

func TestFullDiskKeepsWhatWasThere(t *testing.T) {
	disk := memory.New()
	l := fill(t, disk, 2)
	disk.Capacity = disk.Size("log") + 10
	if err := l.Append([]byte("does not fit")); !errors.Is(err, wal.ErrDiskFull) {
		t.Fatal(err)
	}
	disk.Capacity = 0
	if err := errors.Join(l.Append([]byte("fits")), l.Sync()); err != nil {
		t.Fatal(err)
	}
	if _, records, err := open(t, disk); err != nil || len(records) != 3 {
		t.Fatalf("%q %v", records, err)
	}
}
