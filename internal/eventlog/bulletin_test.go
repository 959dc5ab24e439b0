package eventlog

import (
	"bytes"
	"encoding/json"
	"testing"
)

// TestLastWordsAreLogged: what a process reports right before it ends is in its log, in the order of the reports.
func TestLastWordsAreLogged(t *testing.T) {
	var output bytes.Buffer
	board, err := newBoard("carrier", "carrier-1", "info", &output)
	if err != nil {
		t.Fatal(err)
	}
	const posts = 500
	for number := range posts {
		board.Post(ProcessDrained, map[string]any{"number": number})
	}
	board.Close()
	lines := bytes.Split(bytes.TrimSpace(output.Bytes()), []byte("\n"))
	if len(lines) != posts {
		t.Fatalf("%d of %d were logged", len(lines), posts)
	}
	for number, line := range lines {
		var logged struct{ Fields struct{ Number int } }
		if err := json.Unmarshal(line, &logged); err != nil || logged.Fields.Number != number {
			t.Fatalf("line %d: %s (%v)", number, line, err)
		}
	}
}
