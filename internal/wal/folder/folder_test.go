package folder_test

import (
	"testing"

	"snowflow/internal/wal/folder"
)

// TestOwnersShareAFolder: owners of one folder see nothing of each other, and each part belongs to one process.
func TestOwnersShareAFolder(t *testing.T) {
	path := t.TempDir()
	open := func(owner string) *folder.Folder {
		t.Helper()
		opened, err := folder.OpenShared(path, owner, 0)
		if err != nil {
			t.Fatal(err)
		}
		return opened
	}
	one, other := open("one"), open("other")
	if _, err := folder.OpenShared(path, "one", 0); err == nil {
		t.Error("a second process has the same part")
	}
	write := func(part *folder.Folder, content string) {
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
	read := func(part *folder.Folder) string {
		t.Helper()
		file, err := part.Open("addresses")
		if err != nil {
			t.Fatal(err)
		}
		content, err := file.ReadAll()
		if err != nil {
			t.Fatal(err)
		}
		return string(content)
	}
	write(one, "of one")
	write(other, "of the other")
	if read(one) != "of one" || read(other) != "of the other" {
		t.Errorf("%q and %q", read(one), read(other))
	}
	if err := one.Remove("addresses"); err != nil {
		t.Fatal(err)
	}
	if read(one) != "" || read(other) != "of the other" {
		t.Errorf("after one was removed: %q and %q", read(one), read(other))
	}
}
