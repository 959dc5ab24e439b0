package eventlog

import (
	"bytes"
	"encoding/json"
	"testing"
)

// TestEventsBeforeCloseAreLogged checks that events that are published right before Close are written, in order.
func TestEventsBeforeCloseAreLogged(t *testing.T) {
	var output bytes.Buffer
	events, err := newEventLog("proxy", "proxy-1", "info", &output)
	if err != nil {
		t.Fatal(err)
	}
	const entryCount = 500
	for number := range entryCount {
		events.Publish(ProcessDrained, Attributes{"number": number})
	}
	events.Close()
	lines := bytes.Split(bytes.TrimSpace(output.Bytes()), []byte("\n"))
	if len(lines) != entryCount {
		t.Fatalf("%d of %d events were written", len(lines), entryCount)
	}
	for number, line := range lines {
		var logged struct{ Fields struct{ Number int } }
		if err := json.Unmarshal(line, &logged); err != nil || logged.Fields.Number != number {
			t.Fatalf("line %d: %s (%v)", number, line, err)
		}
	}
}
