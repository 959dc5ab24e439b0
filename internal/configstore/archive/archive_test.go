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

func states(count int) (all []*wire.StoredConfig) {
	for version := range count {
		all = append(all, &wire.StoredConfig{Version: uint64(version + 1), Content: []byte(fmt.Sprintf(`{"note":"%d"}`, version+1)), Digest: "d", Request: "r"})
	}
	return all
}

func history(t *testing.T, folder string) (messages []string) {
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
			return messages
		}
		content, err := entry.File(contentFile)
		if err != nil {
			t.Fatal(err)
		}
		text, _ := content.Contents()
		messages = append(messages, text)
	}
}

// TestLostAndCorruptArchivesAreRebuilt removes, damages and replaces the repository between writes.
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
			other := states(9)
			other[8].Content = []byte("{}")
			if err := Write(folder, other); err != nil {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			a.Enqueue(states(3))
			<-a.writes
			corrupt()
			a.Enqueue(states(5))
			<-a.writes
			if contents := history(t, folder); len(contents) != 5 || contents[0] != `{"note":"5"}` || contents[4] != `{"note":"1"}` {
				t.Errorf("%q", contents)
			}
		})
	}
}

// TestGapsAndBoundedHistories checks that versions may have gaps and that the oldest may be removed, and that an archive whose newest
// version isn't stored any more is written again.
func TestGapsAndBoundedHistories(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "desired.git")
	a := Open(folder, func(err error) { t.Error(err) })
	state := func(version uint64) *wire.StoredConfig {
		return &wire.StoredConfig{Version: version, Content: []byte(fmt.Sprint(version)), Digest: "d"}
	}
	for _, step := range []struct {
		stored []*wire.StoredConfig
		wanted string
	}{
		{[]*wire.StoredConfig{state(7)}, "[7]"},
		{[]*wire.StoredConfig{state(7), state(20), state(21)}, "[21 20 7]"},
		{[]*wire.StoredConfig{state(20), state(21), state(400)}, "[400 21 20 7]"},
		{[]*wire.StoredConfig{state(400)}, "[400 21 20 7]"},
		{[]*wire.StoredConfig{state(500), state(600)}, "[600 500]"},
		{[]*wire.StoredConfig{state(500), state(601)}, "[601 500]"},
		{[]*wire.StoredConfig{state(2), state(3)}, "[3 2]"},
	} {
		a.Enqueue(step.stored)
		<-a.writes
		if contents := fmt.Sprint(history(t, folder)); contents != step.wanted {
			t.Errorf("%s, wanted %s", contents, step.wanted)
		}
	}
}

// TestArchivedKeysAreRedacted guards against keys of tenants in the repository that people read, and against a repository that is written
// anew each time because it differs from what is stored.
func TestArchivedKeysAreRedacted(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "desired.git")
	all := states(3)
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
		t.Errorf("%d versions are found again: %v", committed, err)
	}
	for _, content := range history(t, folder) {
		if strings.Contains(content, "secret") || !strings.Contains(content, `"keys":["sha256:`) {
			t.Error(content)
		}
	}
}
