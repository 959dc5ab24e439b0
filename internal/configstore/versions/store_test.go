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

// TestTranscripts keeps transcripts of applies. Each line goes to two copies: one lives on, the other is given the whole state anew
// before each command; what they answer and hold must be the same. Lines are
//
//	version NUMBER CONTENT [REQUEST] | expected SERIAL CONTENT [REQUEST] | any CONTENT [REQUEST] | find SERIAL | restore
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
					t.Errorf("%s: %q, and %q of a copy that was given the state anew", line, answer, again)
				} else {
					fmt.Fprintln(&text, answer)
				}
				if string(one.Snapshot()) != string(other.Snapshot()) {
					t.Errorf("%s: the copies differ", line)
				}
			}
			for _, stored := range one.All() {
				fmt.Fprintf(&text, " %d=%s", stored.Version, stored.Content)
			}
			return text.String() + "\n"
		})
	})
}

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
	newest := one.Latest()
	if newest == nil || newest.Version != one.LatestVersion() || response.Outcome == versions.Accepted && one.Find(response.Version) != nil && one.Find(response.Version).Digest != response.Digest {
		t.Errorf("%v: newest %v, serial %d, told %v", words, newest, one.LatestVersion(), response)
	}
	return strings.TrimSpace(fmt.Sprintf("%s %d %s", response.Outcome, response.Version, strings.Join(response.Errors, "; ")))
}

// TestOneNumberOneContent searches every order of orders by two operators: three numbers, two contents, resends, and a copy that is given the whole
// state anew in between. No number is ever confirmed with two contents, what was confirmed is confirmed again, and the newest never falls.
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
				t.Fatalf("%v: %s is refused when it comes again", path, order)
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

// TestSnapshots: a view without differences, as earlier builds make and read it, gives the same state; a damaged one is refused.
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
		t.Error("a view whose first state is missing was taken")
	}
}

// TestCorruptSnapshots: a view with any byte changed, or cut anywhere, is refused, or gives the states that it was made of; and a refused one leaves what was there.
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
					t.Fatalf("byte %d: a refused view left %q", index, shown(other))
				}
				continue
			}
			for _, stored := range other.All() {
				if !strings.Contains(shown(one), string(stored.Content)) {
					t.Fatalf("byte %d: %q was taken", index, stored.Content)
				}
			}
		}
	}
	if refused < len(full)/2 {
		t.Errorf("only %d of %d were refused", refused, 2*len(full))
	}
}
