package compatibility

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"snowflow/internal/config"
	"snowflow/internal/configstore/delta"
	"snowflow/internal/monotonic"
	"snowflow/internal/transport/wire"
	"snowflow/internal/wal"
	"snowflow/internal/wal/memory"
)

var writeFolders = flag.Bool("write-data-folders", false, "replace the stored data folders by new ones that this build writes")

// TestWriteDataFolders writes the data folders that the other tests open. The stored ones must stay as they were written, by a build from
// before identifiers were renamed, so this test runs only by hand, with -write-data-folders, and fails if CI is set.
func TestWriteDataFolders(t *testing.T) {
	if !*writeFolders {
		t.Skip("data folders are only written by hand, with -write-data-folders")
	}
	if os.Getenv("CI") != "" {
		t.Fatal("data folders are not written in CI")
	}
	for _, test := range []struct {
		group storedGroup
		write func(t *testing.T, started *cluster)
	}{{registryGroup, writeRegistry}, {configStoreGroup, writeConfigurations}} {
		started := startCluster(t, test.group, nil, test.group.compactionThreshold)
		test.write(t, started)
		started.world.Close()
		for _, process := range started.processes {
			path := filepath.Join("testdata", "folders", test.group.title, process.node.Name)
			if err := os.MkdirAll(path, 0o755); err != nil {
				t.Fatal(err)
			}
			for name, content := range readDisk(t, test.group, process.node.Disk) {
				if err := os.WriteFile(filepath.Join(path, name), content, 0o644); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	writeArchive(t)
}

// storedFolders returns the stored folders of a group's members.
func storedFolders(t *testing.T, group storedGroup) (folders []folder) {
	t.Helper()
	for _, member := range memberNames {
		files := folder{}
		for _, name := range group.files {
			content, err := os.ReadFile(filepath.Join("testdata", "folders", group.title, member, name))
			if err != nil {
				t.Fatal(err)
			}
			files[name] = content
		}
		folders = append(folders, files)
	}
	return folders
}

// cutFiles returns a copy of files in which those in names are truncated by a number of bytes.
func cutFiles(files folder, names []string, bytes int) folder {
	truncated := folder{}
	for name, content := range files {
		truncated[name] = content
	}
	for _, name := range names {
		truncated[name] = truncated[name][:len(truncated[name])-bytes]
	}
	return truncated
}

// journalOf returns the name of the group's journal, the second of its files.
func journalOf(group storedGroup) []string { return group.files[1:2] }

// ---- writing the data folders ----

// submitAll submits commands to the primary of the registry, each once the one before it is acknowledged.
func submitAll(primary *process, commands ...*wire.RegistryCommand) error {
	for _, command := range commands {
		if err := primary.member.Submit(command, &wire.RegistryResult{}); err != nil {
			return err
		}
	}
	return nil
}

// claimOf returns the claim of an idempotency key by an attempt of a proxy.
func claimOf(key, attempt, proxy string) *wire.RegistryCommand {
	return &wire.RegistryCommand{Claim: &wire.ClaimRequest{Scope: key, Digest: []byte("digest of " + key), Attempt: attempt, Proxy: proxy, Incarnation: 7,
		ReadAt: &wire.LeaderTimestamp{Epoch: 1 << 40, Time: 1 << 50}}}
}

var breakerSettings = &wire.BreakerSettings{WaitOpen: int64(100 * monotonic.Second), Permitted: 4, FailureRate: 0.5, ProbeLease: int64(10 * monotonic.Second),
	StateTtl: int64(600 * monotonic.Second), MinimumReporters: 2}

func tripReportOf(service, proxy string) *wire.RegistryCommand {
	return &wire.RegistryCommand{Breaker: &wire.BreakerWriteRequest{Service: service, Verb: "trip", ExpectedVersion: 1, Proxy: proxy, Incarnation: 7, Active: []string{"proxy-1", "proxy-2"}, Settings: breakerSettings}}
}

// writeRegistry submits the commands that the stored folders of the registry contain, with a change of primary in between. The last one is
// in the last record of the journal.
func writeRegistry(t *testing.T, started *cluster) {
	started.onPrimary(t, func(primary *process) error {
		err := submitAll(primary, claimOf("order-1", "attempt-1", "proxy-1"), claimOf("order-2", "attempt-1", "proxy-2"),
			&wire.RegistryCommand{Complete: &wire.CompleteClaimRequest{Scope: "order-2", Attempt: "attempt-1"}},
			&wire.RegistryCommand{Void: &wire.VoidClaimRequest{Scope: "order-3", Attempt: "attempt-1"}},
			&wire.RegistryCommand{Void: &wire.VoidClaimRequest{Scope: "order-4", Fence: true}},
			tripReportOf("invoices", "proxy-1"), tripReportOf("invoices", "proxy-2"), tripReportOf("parts", "proxy-1"))
		for number := range 12 {
			if err == nil {
				err = submitAll(primary, claimOf(fmt.Sprintf("early-%d", number), "attempt-1", "proxy-1"))
			}
		}
		return err
	})
	started.onPrimary(t, func(primary *process) error {
		primary.member.TransferLeadership("a planned change of primary")
		return nil
	})
	started.advance(3 * monotonic.Second)
	started.onPrimary(t, func(primary *process) error {
		return submitAll(primary, &wire.RegistryCommand{Singleton: &wire.SingletonLeaseRequest{Role: "nightly", Proxy: "proxy-3", Instance: "instance-1", Duration: int64(30 * monotonic.Second)}},
			claimOf("late-1", "attempt-1", "proxy-1"), claimOf("late-2", "attempt-1", "proxy-2"), claimOf("last", "attempt-1", "proxy-1"))
	})
}

// registryQueries are commands whose results show the state of an opened copy. The last one depends only on the last stored command.
var registryQueries = []*wire.RegistryCommand{
	claimOf("order-1", "attempt-2", "proxy-9"), claimOf("order-2", "attempt-1", "proxy-9"), claimOf("order-3", "attempt-1", "proxy-9"),
	{Void: &wire.VoidClaimRequest{Scope: "order-1"}},
	{Claim: &wire.ClaimRequest{Scope: "order-4", Attempt: "attempt-9", Proxy: "proxy-9"}},
	{Claim: &wire.ClaimRequest{Scope: "order-1", Digest: []byte("another"), Attempt: "attempt-9", Proxy: "proxy-9"}},
	{Singleton: &wire.SingletonLeaseRequest{Role: "nightly", Proxy: "proxy-9", Instance: "instance-9"}},
	claimOf("early-0", "attempt-2", "proxy-9"), claimOf("early-11", "attempt-2", "proxy-9"), claimOf("late-1", "attempt-2", "proxy-9"), claimOf("late-2", "attempt-2", "proxy-9"),
	claimOf("last", "attempt-2", "proxy-9"),
}

// encoded formats a message as its encoded bytes, which contain no names of fields.
func encoded(message proto.Message) string {
	content, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%s %q", hex.EncodeToString(content), content)
}

// readRegistry returns the state of opened copies of the registry's folders: the breakers and the results of registryQueries. last is the
// result of the last query.
func readRegistry(t *testing.T, started *cluster) (acknowledged, last string) {
	t.Helper()
	var results []string
	started.onPrimary(t, func(primary *process) error {
		for _, record := range primary.registry.Breakers() {
			results = append(results, "breaker "+encoded(record))
		}
		for _, query := range registryQueries {
			result := &wire.RegistryResult{}
			if err := primary.member.Submit(query, result); err != nil {
				return err
			}
			results = append(results, encoded(result))
		}
		return nil
	})
	return strings.Join(results[:len(results)-1], "\n") + "\n", results[len(results)-1] + "\n"
}

// configuration returns a configuration as operators might write it.
func configuration(note string) []byte {
	return []byte(fmt.Sprintf(`{"note":%q,"groups":[{"name":"orders","limits":{"cutoffMicros":4000000},"services":[
{"name":"orders","paths":[{"method":"GET","prefix":"/orders","class":"read"},{"method":"POST","prefix":"/orders","class":"once"}]},
{"name":"invoices","paths":[{"method":"GET","prefix":"/invoices","class":"read"}]}]}]}`, note))
}

// acceptedVersions are the versions that the configuration stores acknowledged when the folders were written. The last one is in the
// last record of the journal.
var acceptedVersions = []uint64{3, 4, 7, 8, 9, 12, 13}

func configurationOf(version uint64) []byte { return configuration(fmt.Sprintf("version %d", version)) }

func requestOf(version uint64) string { return fmt.Sprintf("request-%d", version) }

func applyVersion(primary *process, request *wire.ConfigApplyRequest) error {
	response, err := primary.configStore.Apply(request)
	if err == nil && response.Outcome != "accepted" {
		err = fmt.Errorf("the outcome of applying version %d is %s: %v", request.Version, response.Outcome, response.Errors)
	}
	return err
}

// writeConfigurations applies acceptedVersions, one of them as a delta, with a change of primary in between.
func writeConfigurations(t *testing.T, started *cluster) {
	started.advance(10 * monotonic.Second)
	for index, version := range acceptedVersions[:len(acceptedVersions)-1] {
		request := &wire.ConfigApplyRequest{Content: configurationOf(version), Request: requestOf(version), Version: version}
		if index == 2 {
			base := configurationOf(acceptedVersions[1])
			difference, err := delta.Encode(base, request.Content)
			if err != nil {
				t.Fatal(err)
			}
			request.Content, request.Delta, request.Base = nil, difference, config.Digest(base)
		}
		started.onPrimary(t, func(primary *process) error { return applyVersion(primary, request) })
		if index == 3 {
			started.onPrimary(t, func(primary *process) error {
				primary.member.TransferLeadership("a planned change of primary")
				return nil
			})
			started.advance(3 * monotonic.Second)
		}
	}
	last := acceptedVersions[len(acceptedVersions)-1]
	started.onPrimary(t, func(primary *process) error {
		return applyVersion(primary, &wire.ConfigApplyRequest{Content: configurationOf(last), Request: requestOf(last), Version: last})
	})
}

// readConfigurations reads all versions from opened copies of the configuration stores' folders. last is the response for the last
// version.
func readConfigurations(t *testing.T, started *cluster) (acknowledged, last string) {
	t.Helper()
	var results []string
	started.onPrimary(t, func(primary *process) error {
		for _, version := range acceptedVersions {
			response, err := primary.configStore.ReadVersions(&wire.ConfigReadRequest{Version: version})
			if err != nil {
				return err
			}
			results = append(results, fmt.Sprintf("version %d: %s", version, encoded(response)))
			if len(response.Versions) == 1 && string(response.Versions[0].Content) != string(configurationOf(version)) {
				return fmt.Errorf("version %d has the content %q", version, response.Versions[0].Content)
			}
		}
		list, err := primary.configStore.ReadVersions(&wire.ConfigReadRequest{List: true})
		if err != nil {
			return err
		}
		if listed := len(list.Versions); listed != len(acceptedVersions) && listed != len(acceptedVersions)-1 {
			return fmt.Errorf("%d versions are listed", listed)
		}
		// The number of an acknowledged version can't be reused for another content, even after a restart.
		response, err := primary.configStore.Apply(&wire.ConfigApplyRequest{Content: configuration("another"), Version: acceptedVersions[0]})
		if err != nil {
			return err
		}
		results[0] += fmt.Sprintf("\nversion %d with another content: %s", acceptedVersions[0], response.Outcome)
		return nil
	})
	return strings.Join(results[:len(results)-1], "\n") + "\n", results[len(results)-1] + "\n"
}

// ---- reading the data folders ----

// TestStoredFolders opens copies of the stored folders with the current code: intact, with all files of one member truncated within the
// last record, and with the journals of all members truncated within the last record. All acknowledged data must be read back, except that
// the last command may be missing if a journal was truncated, because replication doesn't tolerate a disk that loses part of a synced
// record. It must never be partly applied.
func TestStoredFolders(t *testing.T) {
	for _, test := range []struct {
		group storedGroup
		read  func(t *testing.T, started *cluster) (acknowledged, last string)
	}{{registryGroup, readRegistry}, {configStoreGroup, readConfigurations}} {
		stored := storedFolders(t, test.group)
		t.Run(test.group.title+"/whole", func(t *testing.T) {
			acknowledged, last := test.read(t, startCluster(t, test.group, stored, 0))
			requireApproved(t, "read-"+test.group.title, acknowledged+last)
		})
		for index, name := range memberNames {
			for _, bytes := range []int{1, 20} {
				t.Run(fmt.Sprintf("%s/%s cut by %d", test.group.title, name, bytes), func(t *testing.T) {
					folders := append([]folder(nil), stored...)
					folders[index] = cutFiles(stored[index], test.group.files, bytes)
					acknowledged, last := test.read(t, startCluster(t, test.group, folders, 0))
					requireOneApproved(t, []string{"read-" + test.group.title, "read-cut-" + test.group.title}, acknowledged+last)
				})
			}
		}
		t.Run(test.group.title+"/all journals cut", func(t *testing.T) {
			folders := make([]folder, 0, len(stored))
			for _, files := range stored {
				folders = append(folders, cutFiles(files, journalOf(test.group), 3))
			}
			acknowledged, last := test.read(t, startCluster(t, test.group, folders, 0))
			requireApproved(t, "read-cut-"+test.group.title, acknowledged+last)
		})
	}
}

// TestStoredRecords opens each stored file as a log, intact and truncated at every byte of its last record. Opening a truncated file must
// return the records before the last one and cut off the rest.
func TestStoredRecords(t *testing.T) {
	text := &strings.Builder{}
	for _, group := range []storedGroup{registryGroup, configStoreGroup} {
		for index, files := range storedFolders(t, group) {
			for _, name := range group.files {
				allRecords, cut := readRecords(t, files[name])
				if cut != 0 {
					t.Errorf("%s: %d bytes of an intact file were cut off", name, cut)
				}
				fmt.Fprintf(text, "%s %s %s: %d bytes, %d records\n", group.title, memberNames[index], name, len(files[name]), len(allRecords))
				before := 0
				for number, record := range allRecords {
					fmt.Fprintf(text, "  %s\n", hex.EncodeToString([]byte(record)))
					if number < len(allRecords)-1 {
						before += recordHeaderSize + len(record)
					}
				}
				for length := before; length < len(files[name]); length++ {
					records, cut := readRecords(t, files[name][:length])
					if len(records) != len(allRecords)-1 || cut != int64(length-before) {
						t.Fatalf("%s truncated to %d bytes: %d records of %d, %d bytes cut off, want %d", name, length, len(records), len(allRecords), cut, length-before)
					}
				}
			}
		}
	}
	requireApproved(t, "records", text.String())
}

// recordHeaderSize is the length in bytes of the header before a record's content.
const recordHeaderSize = 32

// readRecords opens a file's content as a log and returns its records and the number of bytes that were cut off.
func readRecords(t *testing.T, content []byte) (records []string, cut int64) {
	t.Helper()
	disk := memory.New()
	fillDisk(t, disk, folder{"log": content})
	log, err := wal.Open(disk, "log", func(record []byte) error {
		records = append(records, string(record))
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return records, log.TruncatedBytes
}
