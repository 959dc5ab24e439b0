package folder_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"snowflow/internal/wal/folder"
)

func openShared(t *testing.T, path, owner string) *folder.Folder {
	t.Helper()
	opened, err := folder.OpenShared(path, owner, 0)
	if err != nil {
		t.Fatal(err)
	}
	return opened
}

// write replaces a file's content by way of a rename.
func write(t *testing.T, part *folder.Folder, content string) {
	t.Helper()
	file, err := part.Open("addresses.new")
	if err != nil {
		t.Fatal(err)
	}
	if err := file.WriteAt([]byte(content), 0); err != nil {
		t.Fatal(err)
	}
	if err := part.Rename("addresses.new", "addresses"); err != nil {
		t.Fatal(err)
	}
}

func requireContent(t *testing.T, part *folder.Folder, want string) {
	t.Helper()
	file, err := part.Open("addresses")
	if err != nil {
		t.Fatal(err)
	}
	content, err := file.ReadAll()
	if err != nil {
		t.Fatal(err)
	}
	if string(content) != want {
		t.Errorf("got %q, want %q", content, want)
	}
}

// TestOwnersShareADirectory: owners of one directory see none of each other's files, and each owner's files belong to one
// process.
func TestOwnersShareADirectory(t *testing.T) {
	path := t.TempDir()
	one, other := openShared(t, path, "one"), openShared(t, path, "other")
	if _, err := folder.OpenShared(path, "one", 0); !errors.Is(err, folder.ErrLocked) {
		t.Errorf("a second process opened the same files: %v", err)
	}
	write(t, one, "of one")
	write(t, other, "of the other")
	requireContent(t, one, "of one")
	requireContent(t, other, "of the other")
	if err := one.Remove("addresses"); err != nil {
		t.Fatal(err)
	}
	requireContent(t, one, "")
	requireContent(t, other, "of the other")
}

// TestFilesAreForTheirOwner guards against keys of tenants that other users of the machine can read, also in files of earlier builds.
func TestFilesAreForTheirOwner(t *testing.T) {
	path := t.TempDir()
	former := filepath.Join(path, "one-former")
	if err := os.WriteFile(former, []byte("record"), 0o640); err != nil {
		t.Fatal(err)
	}
	opened := openShared(t, path, "one")
	for _, name := range []string{"former", "new"} {
		if _, err := opened.Open(name); err != nil {
			t.Fatal(err)
		}
		info, err := os.Stat(filepath.Join(path, "one-"+name))
		if err != nil {
			t.Fatal(err)
		}
		if info.Mode().Perm() != 0o600 {
			t.Errorf("%s has mode %v", name, info.Mode())
		}
	}
}
