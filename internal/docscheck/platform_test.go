package docscheck

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// platformNames are names of the users' platform, split in two so that the test doesn't find them in this file.
var platformNames = [][2]string{{"X-Snowflow-Operation", "-Key"}, {"X-Snowflow-Server", "-Seal"}, {"X-Snowflow-Target", "-Instance"},
	{"X-Snowflow-Caller", "-Service"}, {"X-Snowflow-Deadline", "-Remaining"}, {"X-Snowflow-Request", "-Id"}, {"resource", "List"}, {"call", "Sequence"},
	{"SNOWFLOW", "_CONFIG"}, {"listen", "Addresses"}, {"traffic", "Split"}, {"capacity", "Slots"}, {"seed", "Nodes"}, {"path", "Prefix"}, {"route", "Type"},
	{"target", "LatencyS"}, {"warmup", "RemainingS"}, {"internalPort", "Range"}, {"retry", "Attempts"}, {"config", "ApplyS"}, {"ackTimeout", "S"}}

// TestPlatformStaysInItsFolder checks that no source outside platform/ contains a name of the platform.
func TestPlatformStaysInItsFolder(t *testing.T) {
	root, checked, found := filepath.Join("..", ".."), 0, 0
	_ = filepath.Walk(root, func(path string, info os.FileInfo, err error) error {
		name, _ := filepath.Rel(root, path)
		if err != nil || info.IsDir() || !strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, ".proto") {
			return err
		}
		checked++
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, halves := range platformNames {
			if !strings.Contains(string(content), halves[0]+halves[1]) {
				continue
			}
			found++
			if !strings.HasPrefix(filepath.ToSlash(name), "platform/") {
				t.Errorf("%s contains the platform's name %s", name, halves[0]+halves[1])
			}
		}
		return nil
	})
	if checked < 50 || found == 0 {
		t.Fatalf("%d files were checked, and %d names found", checked, found)
	}
}
