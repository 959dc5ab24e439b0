package docscheck

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// platformNames are spelled in two halves here, so that this file isn't found by its own search.
var platformNames = [][2]string{{"X-Snowflow-Operation", "-Key"}, {"X-Snowflow-Server", "-Seal"}, {"X-Snowflow-Target", "-Instance"},
	{"X-Snowflow-Caller", "-Service"}, {"X-Snowflow-Deadline", "-Remaining"}, {"X-Snowflow-Request", "-Id"}, {"resource", "List"}, {"call", "Sequence"},
	{"SNOWFLOW", "_CONFIG"}, {"listen", "Addresses"}, {"traffic", "Split"}, {"capacity", "Slots"}, {"seed", "Nodes"}, {"path", "Prefix"}, {"route", "Type"},
	{"target", "LatencyS"}, {"warmup", "RemainingS"}, {"internalPort", "Range"}, {"retry", "Attempts"}, {"config", "ApplyS"}, {"ackTimeout", "S"}}

// TestPlatformStaysInItsFolder: nothing outside platform/ knows the platform's names.
func TestPlatformStaysInItsFolder(t *testing.T) {
	root, looked, inside := filepath.Join("..", ".."), 0, 0
	_ = filepath.Walk(root, func(path string, info os.FileInfo, err error) error {
		name, _ := filepath.Rel(root, path)
		if err != nil || info.IsDir() || !strings.HasSuffix(name, ".go") && !strings.HasSuffix(name, ".proto") {
			return err
		}
		looked++
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, halves := range platformNames {
			if !strings.Contains(string(content), halves[0]+halves[1]) {
				continue
			}
			inside++
			if !strings.HasPrefix(filepath.ToSlash(name), "platform/") {
				t.Errorf("%s names the platform's %s", name, halves[0]+halves[1])
			}
		}
		return nil
	})
	if looked < 50 || inside == 0 {
		t.Fatalf("%d files were looked at, %d names found in the platform's own folder", looked, inside)
	}
}
