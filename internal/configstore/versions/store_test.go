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

// TestTranscripts approves transcripts of applies. Each command goes to two replicas: one that has executed all before, and one that
// is restored from its snapshot. Their results and snapshots must be the same. Commands are
//
//	version NUMBER CONTENT [REQUEST] | expected VERSION CONTENT [REQUEST] | any CONTENT [REQUEST] | find VERSION
func TestTranscripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, file string) {
		var one *versions.Store
		history := 0
		datadriven.RunTest(t, file, func(t *testing.T, data *datadriven.TestData) string {
			if data.Cmd == "new" {
				history = 0
				data.MaybeScanArgs(t, "history", &history)
				one = versions.New(history)
			}
			var text strings.Builder
			for _, line := range strings.Split(data.Input, "\n") {
				words := strings.Fields(line)
				if len(words) == 0 {
					continue
				}
				other := versions.New(history)
				if err := other.Restore(one.Snapshot()); err != nil {
					t.Fatal(err)
				}
				if answer, again := execute(t, one, words), execute(t, other, words); answer != again {
					t.Errorf("%s: %q, and %q of the restored replica", line, answer, again)
				} else {
					fmt.Fprintln(&text, answer)
				}
				if string(one.Snapshot()) != string(other.Snapshot()) {
					t.Errorf("%s: the replicas differ", line)
				}
			}
			for _, stored := range one.All() {
				fmt.Fprintf(&text, " %d=%s", stored.Version, stored.Content)
			}
			return text.String() + "\n"
		})
	})
}

// execute applies one command of a transcript and returns the result as text.
func execute(t *testing.T, one *versions.Store, words []string) string {
	t.Helper()
	request, rest := &wire.ConfigApplyRequest{}, words[2:]
	number := uint64(0)
	_, _ = fmt.Sscan(words[1], &number)
	switch words[0] {
	case "find":
		if stored := one.Find(number); stored != nil {
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
	if err := proto.Unmarshal(one.Apply(1, 0, content), response); err != nil {
		t.Fatal(err)
	}
	checkConsistent(t, one, response)
	return strings.TrimSpace(fmt.Sprintf("%s %d %s", response.Outcome, response.Version, strings.Join(response.Errors, "; ")))
}

// checkConsistent checks that the newest version agrees with its number, and that a response names a stored content.
func checkConsistent(t *testing.T, one *versions.Store, response *wire.ConfigApplyResponse) {
	t.Helper()
	latest := one.Latest()
	if latest == nil || latest.Version != one.LatestVersion() {
		t.Errorf("the newest is %v, its version %d", latest, one.LatestVersion())
	}
	if found := one.Find(response.Version); response.Outcome == versions.Accepted && found != nil && found.Digest != response.Digest {
		t.Errorf("response %v, stored %v", response, found)
	}
}

// TestOneNumberOneContent tries all sequences of applies by two operators: three numbers, two contents, repetitions, and a restored
// snapshot in between. No number is ever confirmed with two contents, what was confirmed is confirmed again, and the newest
// version never falls.
func TestOneNumberOneContent(t *testing.T) {
	const depth = 5
	orders := []string{"version 1 a", "version 1 b", "version 2 a", "version 2 b", "version 3 a", "version 3 b"}
	var search func(path []string)
	search = func(path []string) {
		one := versions.New(1)
		one.UseDeltas = func() bool { return false }
		confirmed, newest := map[string]string{}, uint64(0)
		for step, order := range path {
			if step == len(path)/2 {
				fresh := versions.New(1)
				if err := fresh.Restore(one.Snapshot()); err != nil {
					t.Fatal(err)
				}
				one = fresh
			}
			words := strings.Fields(order)
			accepted := strings.HasPrefix(execute(t, one, words), versions.Accepted)
			previous, was := confirmed[words[1]]
			switch {
			case accepted && was && previous != words[2]:
				t.Fatalf("%v: %s is confirmed with %s and %s", path, words[1], previous, words[2])
			case !accepted && previous == words[2]:
				t.Fatalf("%v: %s is refused when it is repeated", path, order)
			case accepted:
				confirmed[words[1]] = words[2]
			}
			if one.LatestVersion() < newest || confirmed[fmt.Sprint(one.LatestVersion())] != string(one.Latest().Content) {
				t.Fatalf("%v: the newest is %d with %s", path, one.LatestVersion(), one.Latest().Content)
			}
			newest = one.LatestVersion()
		}
		if len(path) == depth {
			return
		}
		for _, order := range orders {
			search(append(path[:len(path):len(path)], order))
		}
	}
	search(nil)
}

// TestSnapshots checks that a snapshot without deltas, as earlier builds make and read it, gives the same state, and that one without
// its first version is refused.
func TestSnapshots(t *testing.T) {
	one := versions.New(3)
	for _, order := range []string{"version 3 aaaa", "version 4 aaab", "any aaac", "version 9 aaad"} {
		execute(t, one, strings.Fields(order))
	}
	one.UseDeltas = func() bool { return false }
	full, other := one.Snapshot(), versions.New(3)
	if err := other.Restore(full); err != nil {
		t.Fatal(err)
	}
	one.UseDeltas = nil
	if string(other.Snapshot()) != string(one.Snapshot()) {
		t.Error("the states differ")
	}
	snapshot := &wire.ConfigSnapshot{}
	if err := proto.Unmarshal(one.Snapshot(), snapshot); err != nil {
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

// TestCorruptSnapshots checks that a snapshot with any byte changed, or truncated anywhere, is refused or gives contents that it was
// made of, and that a refused one leaves the state as it was.
func TestCorruptSnapshots(t *testing.T) {
	one := versions.New(3)
	for _, order := range []string{"version 3 aaaaaaaaaaaaaaaaaaaa", "version 4 aaaaaaaaaaaaaaaaaaab", "version 9 aaaaaaaaaaaaaaaaaaac"} {
		execute(t, one, strings.Fields(order))
	}
	shown := func(s *versions.Store) (text string) {
		for _, stored := range s.All() {
			text += fmt.Sprintf(" %s", stored.Content)
		}
		return text
	}
	full, refused := one.Snapshot(), 0
	for index := range full {
		corrupt := append([]byte(nil), full...)
		corrupt[index] ^= 0x41
		for _, content := range [][]byte{corrupt, full[:index]} {
			other := versions.New(3)
			execute(t, other, strings.Fields("version 1 before"))
			if err := other.Restore(content); err != nil {
				refused++
				if shown(other) != " before" {
					t.Fatalf("byte %d: a refused snapshot left %q", index, shown(other))
				}
				continue
			}
			for _, stored := range other.All() {
				if !strings.Contains(shown(one), string(stored.Content)) {
					t.Fatalf("byte %d: %q was accepted", index, stored.Content)
				}
			}
		}
	}
	if refused < len(full)/2 {
		t.Errorf("only %d of %d were refused", refused, 2*len(full))
	}
}
