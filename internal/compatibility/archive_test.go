package compatibility

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/go-git/go-git/v5"

	"snowflow/internal/config"
	"snowflow/internal/configstore/archive"
	"snowflow/internal/transport/wire"
)

// storedArchive is the path of the archive of configurations that an earlier build wrote.
var storedArchive = filepath.Join("testdata", "folders", "archive")

// archivedStates returns the accepted configurations, oldest first, except the given number of newest ones.
func archivedStates(omitted int) (states []*wire.StoredConfig) {
	for _, version := range acceptedVersions[:len(acceptedVersions)-omitted] {
		states = append(states, &wire.StoredConfig{Version: version, Content: configurationOf(version), Digest: config.Digest(configurationOf(version)), Request: requestOf(version)})
	}
	return states
}

// archived returns the contents in an archive, newest first, and the hashes of their commits. Both are nil if there is no archive.
func archived(t *testing.T, path string) (contents, hashes []string) {
	t.Helper()
	repository, err := git.PlainOpen(path)
	if err != nil {
		return nil, nil
	}
	log, err := repository.Log(&git.LogOptions{})
	if err != nil {
		return nil, nil
	}
	for {
		commit, err := log.Next()
		if err != nil {
			return contents, hashes
		}
		files, err := commit.Files()
		if err != nil {
			t.Fatal(err)
		}
		file, err := files.Next()
		if err != nil {
			t.Fatal(err)
		}
		content, err := file.Contents()
		if err != nil {
			t.Fatal(err)
		}
		contents, hashes = append(contents, file.Name+" "+content), append(hashes, commit.Hash.String())
	}
}

// archiveAll writes versions to an archive and returns its contents, newest first, and the hashes of their commits.
func archiveAll(t *testing.T, path string, versions []*wire.StoredConfig) (contents, hashes []string) {
	t.Helper()
	if err := archive.Write(path, versions); err != nil {
		t.Fatal(err)
	}
	contents, hashes = archived(t, path)
	if len(contents) != len(versions) {
		t.Fatalf("%d contents are in the archive, want %d", len(contents), len(versions))
	}
	return contents, hashes
}

func copyFolder(t *testing.T, from, into string) {
	t.Helper()
	if err := os.CopyFS(into, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
}

func writeArchive(t *testing.T) {
	t.Helper()
	if err := os.RemoveAll(storedArchive); err != nil {
		t.Fatal(err)
	}
	archiveAll(t, storedArchive, archivedStates(1))
}

// TestStoredArchive checks that the current code appends to an archive that an earlier build wrote, instead of rewriting it, and that it
// creates the same commits for the same configurations.
func TestStoredArchive(t *testing.T) {
	contents, hashes := archived(t, storedArchive)
	slices.Reverse(contents)
	slices.Reverse(hashes)
	if len(contents) != len(acceptedVersions)-1 {
		t.Fatalf("the stored archive has %d commits", len(contents))
	}
	for index, state := range archivedStates(1) {
		if contents[index] != "desired-state.json "+string(state.Content) {
			t.Errorf("commit %d contains %q", index, contents[index])
		}
	}
	requireApproved(t, "archive", strings.Join(hashes, "\n")+"\n")
	appended, rewritten := filepath.Join(t.TempDir(), "appended"), filepath.Join(t.TempDir(), "rewritten")
	copyFolder(t, storedArchive, appended)
	// Rewriting the archive removes the whole folder, including this file.
	marker := filepath.Join(appended, "marker")
	if err := os.WriteFile(marker, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	_, newHashes := archiveAll(t, appended, archivedStates(0))
	if _, err := os.Stat(marker); err != nil {
		t.Errorf("the archive was rewritten: %v", err)
	}
	if slices.Reverse(newHashes); !slices.Equal(newHashes[:len(hashes)], hashes) {
		t.Errorf("commits %v do not begin with the stored ones, %v", newHashes, hashes)
	}
	_, rewrittenHashes := archiveAll(t, rewritten, archivedStates(1))
	if slices.Reverse(rewrittenHashes); !slices.Equal(rewrittenHashes, hashes) {
		t.Errorf("the same configurations have the commits %v, want %v", rewrittenHashes, hashes)
	}
}

// TestStoredFoldersAreSmall checks that the committed data folders stay small enough to review.
func TestStoredFoldersAreSmall(t *testing.T) {
	total := int64(0)
	err := filepath.WalkDir(filepath.Join("testdata", "folders"), func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		info, err := entry.Info()
		if err == nil {
			total += info.Size()
		}
		return err
	})
	if err != nil || total == 0 || total > 256<<10 {
		t.Errorf("the data folders have %d bytes; %v", total, err)
	}
}
