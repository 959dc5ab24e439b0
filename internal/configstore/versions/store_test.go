package versions_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/proto"

	"snowflow/internal/configstore/versions"
	"snowflow/internal/transport/wire"
)

// TestTranscripts compares the results of applies with approved transcripts. Each command is executed by two replicas: one that has
// executed all earlier commands, and one that is restored from a snapshot of the first. Their results and snapshots must be the same.
// The commands are
//
//	version NUMBER CONTENT [REQUEST] | expected VERSION CONTENT [REQUEST] | any CONTENT [REQUEST] | find VERSION
func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, file string) {
		var store *versions.Store
		history := 0
		datadriven.RunTest(t, file, func(t *testing.T, data *datadriven.TestData) string {
			if data.Cmd == "new" {
				history = 0
				data.MaybeScanArgs(t, "history", &history)
				store = versions.New(history)
			}
			var text strings.Builder
			for _, line := range strings.Split(data.Input, "\n") {
				words := strings.Fields(line)
				if len(words) == 0 {
					continue
				}
				restored := versions.New(history)
				if err := restored.Restore(store.Snapshot()); err != nil {
					t.Fatal(err)
				}
				if result, restoredResult := execute(t, store, words), execute(t, restored, words); result != restoredResult {
					t.Errorf("%s: %q, but the restored replica returned %q", line, result, restoredResult)
				} else {
					fmt.Fprintln(&text, result)
				}
				if string(store.Snapshot()) != string(restored.Snapshot()) {
					t.Errorf("%s: the replicas differ", line)
				}
			}
			for _, stored := range store.All() {
				fmt.Fprintf(&text, " %d=%s", stored.Version, stored.Content)
			}
			return text.String() + "\n"
		})
	})
}

// execute executes one command of a transcript and returns the result as text.
func execute(t *testing.T, store *versions.Store, words []string) string {
	t.Helper()
	request, rest := &wire.ConfigApplyRequest{}, words[2:]
	number := uint64(0)
	_, _ = fmt.Sscan(words[1], &number)
	switch words[0] {
	case "find":
		if stored := store.Find(number); stored != nil {
			return fmt.Sprintf("%s is %s", words[1], stored.Content)
		}
		return words[1] + " isn't there"
	case "version":
		request.Version = number
	case "expected":
		request.ExpectedVersion = number
	case "any":
		request.AnyVersion, rest = true, words[1:]
	default:
		t.Fatal(words)
	}
	request.Content = []byte(rest[0])
	if len(rest) > 1 {
		request.Request = rest[1]
	}
	content, err := proto.Marshal(&wire.ConfigCommand{Apply: request})
	if err != nil {
		t.Fatal(err)
	}
	response := &wire.ConfigApplyResponse{}
	if err := proto.Unmarshal(store.Apply(1, 0, content), response); err != nil {
		t.Fatal(err)
	}
	checkConsistent(t, store, response)
	return strings.TrimSpace(fmt.Sprintf("%s %d %s", response.Outcome, response.Version, strings.Join(response.Errors, "; ")))
}

// checkConsistent checks that Latest and LatestVersion agree, and that the response to an accepted apply has the digest of the stored
// version.
func checkConsistent(t *testing.T, store *versions.Store, response *wire.ConfigApplyResponse) {
	t.Helper()
	latest := store.Latest()
	if latest == nil || latest.Version != store.LatestVersion() {
		t.Errorf("the newest is %v, its version %d", latest, store.LatestVersion())
	}
	if found := store.Find(response.Version); response.Outcome == versions.Accepted && found != nil && found.Digest != response.Digest {
		t.Errorf("response %v, stored %v", response, found)
	}
}

// TestOneNumberOneContent executes all sequences of up to five applies by two operators, with three numbers, two contents, repetitions
// and a restored snapshot in between. No number may be acknowledged with two contents, an acknowledged apply must be acknowledged again
// when it's repeated, and the newest version must never decrease.
func TestOneNumberOneContent(t *testing.T) {
	const depth = 5
	commands := []string{"version 1 a", "version 1 b", "version 2 a", "version 2 b", "version 3 a", "version 3 b"}
	var search func(path []string)
	search = func(path []string) {
		store := versions.New(1)
		store.UseDeltas = func() bool { return false }
		acknowledged, newest := map[string]string{}, uint64(0)
		for step, command := range path {
			if step == len(path)/2 {
				restored := versions.New(1)
				if err := restored.Restore(store.Snapshot()); err != nil {
					t.Fatal(err)
				}
				store = restored
			}
			words := strings.Fields(command)
			accepted := strings.HasPrefix(execute(t, store, words), versions.Accepted)
			previous, wasAcknowledged := acknowledged[words[1]]
			switch {
			case accepted && wasAcknowledged && previous != words[2]:
				t.Fatalf("%v: %s is acknowledged with %s and %s", path, words[1], previous, words[2])
			case !accepted && previous == words[2]:
				t.Fatalf("%v: %s is rejected when it is repeated", path, command)
			case accepted:
				acknowledged[words[1]] = words[2]
			}
			if store.LatestVersion() < newest || acknowledged[fmt.Sprint(store.LatestVersion())] != string(store.Latest().Content) {
				t.Fatalf("%v: the newest is %d with %s", path, store.LatestVersion(), store.Latest().Content)
			}
			newest = store.LatestVersion()
		}
		if len(path) == depth {
			return
		}
		for _, command := range commands {
			search(append(path[:len(path):len(path)], command))
		}
	}
	search(nil)
}

// TestSnapshots checks that a snapshot without deltas, as earlier builds write and read it, restores the same state, and that a snapshot
// without its first version is rejected.
func TestSnapshots(t *testing.T) {
	store := versions.New(3)
	for _, command := range []string{"version 3 aaaa", "version 4 aaab", "any aaac", "version 9 aaad"} {
		execute(t, store, strings.Fields(command))
	}
	store.UseDeltas = func() bool { return false }
	full, restored := store.Snapshot(), versions.New(3)
	if err := restored.Restore(full); err != nil {
		t.Fatal(err)
	}
	store.UseDeltas = nil
	if string(restored.Snapshot()) != string(store.Snapshot()) {
		t.Error("the states differ")
	}
	snapshot := &wire.ConfigSnapshot{}
	if err := proto.Unmarshal(store.Snapshot(), snapshot); err != nil {
		t.Fatal(err)
	}
	snapshot.Versions = snapshot.Versions[1:]
	content, err := proto.Marshal(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if versions.New(3).Restore(content) == nil {
		t.Error("a snapshot whose first version is missing was accepted")
	}
}

// TestCorruptSnapshots checks that a snapshot in which any one byte is changed, or which is truncated anywhere, is rejected or restores
// only contents of the original, and that a rejected snapshot leaves the state unchanged.
func TestCorruptSnapshots(t *testing.T) {
	store := versions.New(3)
	for _, command := range []string{"version 3 aaaaaaaaaaaaaaaaaaaa", "version 4 aaaaaaaaaaaaaaaaaaab", "version 9 aaaaaaaaaaaaaaaaaaac"} {
		execute(t, store, strings.Fields(command))
	}
	contents := func(s *versions.Store) (text string) {
		for _, stored := range s.All() {
			text += fmt.Sprintf(" %s", stored.Content)
		}
		return text
	}
	full, rejected := store.Snapshot(), 0
	for index := range full {
		corrupt := append([]byte(nil), full...)
		corrupt[index] ^= 0x41
		for _, content := range [][]byte{corrupt, full[:index]} {
			restored := versions.New(3)
			execute(t, restored, strings.Fields("version 1 before"))
			if err := restored.Restore(content); err != nil {
				rejected++
				if contents(restored) != " before" {
					t.Fatalf("byte %d: a rejected snapshot left %q", index, contents(restored))
				}
				continue
			}
			for _, stored := range restored.All() {
				if !strings.Contains(contents(store), string(stored.Content)) {
					t.Fatalf("byte %d: %q was accepted", index, stored.Content)
				}
			}
		}
	}
	if rejected < len(full)/2 {
		t.Errorf("only %d of %d were rejected", rejected, 2*len(full))
	}
}
