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

// write replaces the content of the file "addresses" with a rename.
func write(t *testing.T, dir *folder.Folder, content string) {
	t.Helper()
	file, err := dir.Open("addresses.new")
	if err != nil {
		t.Fatal(err)
	}
	if err := file.WriteAt([]byte(content), 0); err != nil {
		t.Fatal(err)
	}
	if err := dir.Rename("addresses.new", "addresses"); err != nil {
		t.Fatal(err)
	}
}

func requireContent(t *testing.T, dir *folder.Folder, want string) {
	t.Helper()
	file, err := dir.Open("addresses")
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

// TestOwnersShareADirectory checks that the owners of one directory don't see each other's files, and that a second process can't
// open an owner's files.
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

// TestFilesAreForTheirOwner guards against files that other users of the machine can read, since they have the keys of tenants. Files
// of earlier builds may be readable until they are opened.
func TestFilesAreForTheirOwner(t *testing.T) {
	path := t.TempDir()
	earlier := filepath.Join(path, "one-earlier")
	if err := os.WriteFile(earlier, []byte("record"), 0o640); err != nil {
		t.Fatal(err)
	}
	opened := openShared(t, path, "one")
	for _, name := range []string{"earlier", "new"} {
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
