package archive

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-git/go-git/v5"

	"snowflow/internal/transport/wire"
)

// testVersions returns the versions from 1 to count, with distinct contents.
func testVersions(count int) (all []*wire.StoredConfig) {
	for version := range count {
		all = append(all, &wire.StoredConfig{Version: uint64(version + 1), Content: []byte(fmt.Sprintf(`{"note":"%d"}`, version+1)), Digest: "d", Request: "r"})
	}
	return all
}

// committedContents returns the archived contents, newest first.
func committedContents(t *testing.T, folder string) (contents []string) {
	t.Helper()
	repository, err := git.PlainOpen(folder)
	if err != nil {
		t.Fatal(err)
	}
	log, err := repository.Log(&git.LogOptions{})
	if err != nil {
		t.Fatal(err)
	}
	for {
		entry, err := log.Next()
		if err != nil {
			return contents
		}
		file, err := entry.File(contentFile)
		if err != nil {
			t.Fatal(err)
		}
		content, _ := file.Contents()
		contents = append(contents, content)
	}
}

// TestLostAndCorruptArchivesAreRebuilt checks that the next write restores a repository that was removed, damaged or replaced.
func TestLostAndCorruptArchivesAreRebuilt(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "desired.git")
	a := Open(folder, func(err error) { t.Error(err) })
	for name, corrupt := range map[string]func(){
		"nothing": func() {},
		"lost":    func() { _ = os.RemoveAll(folder) },
		"cut":     func() { _ = os.RemoveAll(filepath.Join(folder, "objects")) },
		"a file":  func() { _ = os.RemoveAll(folder); _ = os.WriteFile(folder, nil, 0o600) },
		"another's": func() {
			_ = os.RemoveAll(folder)
			other := testVersions(9)
			other[8].Content = []byte("{}")
			if err := Write(folder, other); err != nil {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			a.Enqueue(testVersions(3))
			<-a.writes
			corrupt()
			a.Enqueue(testVersions(5))
			<-a.writes
			if contents := committedContents(t, folder); len(contents) != 5 || contents[0] != `{"note":"5"}` || contents[4] != `{"note":"1"}` {
				t.Errorf("archived contents %q", contents)
			}
		})
	}
}

// TestGapsAndBoundedHistories checks that version numbers may have gaps, that archived versions remain when the store removes the oldest
// ones, and that an archive whose newest version is no longer stored is written anew.
func TestGapsAndBoundedHistories(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "desired.git")
	a := Open(folder, func(err error) { t.Error(err) })
	storedVersion := func(version uint64) *wire.StoredConfig {
		return &wire.StoredConfig{Version: version, Content: []byte(fmt.Sprint(version)), Digest: "d"}
	}
	for _, step := range []struct {
		stored []*wire.StoredConfig
		wanted string
	}{
		{[]*wire.StoredConfig{storedVersion(7)}, "[7]"},
		{[]*wire.StoredConfig{storedVersion(7), storedVersion(20), storedVersion(21)}, "[21 20 7]"},
		{[]*wire.StoredConfig{storedVersion(20), storedVersion(21), storedVersion(400)}, "[400 21 20 7]"},
		{[]*wire.StoredConfig{storedVersion(400)}, "[400 21 20 7]"},
		{[]*wire.StoredConfig{storedVersion(500), storedVersion(600)}, "[600 500]"},
		{[]*wire.StoredConfig{storedVersion(500), storedVersion(601)}, "[601 500]"},
		{[]*wire.StoredConfig{storedVersion(2), storedVersion(3)}, "[3 2]"},
	} {
		a.Enqueue(step.stored)
		<-a.writes
		if contents := fmt.Sprint(committedContents(t, folder)); contents != step.wanted {
			t.Errorf("archived versions %s, wanted %s", contents, step.wanted)
		}
	}
}

// TestArchivedKeysAreRedacted checks that tenants' keys don't get into the repository, and that the repository isn't written anew each
// time because its redacted contents differ from the stored ones.
func TestArchivedKeysAreRedacted(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "desired.git")
	all := testVersions(3)
	for _, stored := range all {
		stored.Content = fmt.Appendf(nil, `{"note":"%d","tenants":[{"name":"north","keys":["secret"]}]}`, stored.Version)
	}
	for count := range all {
		if err := Write(folder, all[:count+1]); err != nil {
			t.Fatal(err)
		}
	}
	repository, committed, err := openRepository(folder, all)
	if err != nil || repository == nil || committed != len(all) {
		t.Errorf("the repository holds %d versions, error %v", committed, err)
	}
	for _, content := range committedContents(t, folder) {
		if strings.Contains(content, "secret") || !strings.Contains(content, `"keys":["sha256:`) {
			t.Error(content)
		}
	}
}
