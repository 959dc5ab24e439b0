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

// storedArchive is the stored archive of configurations.
var storedArchive = filepath.Join("testdata", "folders", "archive")

// archivedStates are the accepted configurations in the archive, without the last so many.
func archivedStates(without int) (states []*wire.StoredConfig) {
	for _, version := range acceptedVersions[:len(acceptedVersions)-without] {
		states = append(states, &wire.StoredConfig{Version: version, Content: configurationOf(version), Digest: config.Digest(configurationOf(version)), Request: requestOf(version)})
	}
	return states
}

// archived lists the contents in an archive, newest first, with the hashes of their commits.
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

// archiveAll has an archive written and gives its contents, newest first, with the hashes of their commits.
func archiveAll(t *testing.T, path string, versions []*wire.StoredConfig) (contents, hashes []string) {
	t.Helper()
	if err := archive.Write(path, versions); err != nil {
		t.Fatal(err)
	}
	contents, hashes = archived(t, path)
	if len(contents) != len(versions) {
		t.Fatalf("%d of %d versions are archived", len(contents), len(versions))
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

// TestStoredArchive: the present code goes on with an archive that an earlier build wrote, in place of writing it anew, and the same states make the same commits.
func TestStoredArchive(t *testing.T) {
	contents, hashes := archived(t, storedArchive)
	slices.Reverse(contents)
	slices.Reverse(hashes)
	if len(contents) != len(acceptedVersions)-1 {
		t.Fatalf("%d commits are stored", len(contents))
	}
	for index, state := range archivedStates(1) {
		if contents[index] != "desired-state.json "+string(state.Content) {
			t.Errorf("commit %d holds %q", index, contents[index])
		}
	}
	requireApproved(t, "archive", strings.Join(hashes, "\n")+"\n")
	continued, anew := filepath.Join(t.TempDir(), "continued"), filepath.Join(t.TempDir(), "anew")
	copyFolder(t, storedArchive, continued)
	// What is in the folder and isn't the archive's own goes when it's written anew.
	witness := filepath.Join(continued, "witness")
	if err := os.WriteFile(witness, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	_, grown := archiveAll(t, continued, archivedStates(0))
	if _, err := os.Stat(witness); err != nil {
		t.Errorf("the archive was written anew: %v", err)
	}
	if slices.Reverse(grown); !slices.Equal(grown[:len(hashes)], hashes) {
		t.Errorf("%v does not continue %v", grown, hashes)
	}
	_, fresh := archiveAll(t, anew, archivedStates(1))
	if slices.Reverse(fresh); !slices.Equal(fresh, hashes) {
		t.Errorf("the same states make other commits: %v, not %v", fresh, hashes)
	}
}

// TestStoredFoldersAreSmall: what is committed stays small enough to be looked at.
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
		t.Errorf("%d bytes, %v", total, err)
	}
}
