package scenario

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"snowflow/internal/rehearse/standin"
)

// variableParts are the parts of responses that differ between runs, with their replacements in transcripts.
var variableParts = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`"digest":"[0-9a-f]{64}"`), `"digest":"..."`},
	{regexp.MustCompile(`"retry_after_micros":[1-9][0-9]*`), `"retry_after_micros":...`},
	{regexp.MustCompile(`"request":"[^"]*"`), `"request":"..."`},
	{regexp.MustCompile(`"left_micros":[1-9][0-9]*`), `"left_micros":...`},
	{regexp.MustCompile(`-[0-9a-f]{16}`), `-...`},
	{regexp.MustCompile(`households-[0-9a-f]{8}|forms-[0-9a-f]{8}`), `instance`},
	{regexp.MustCompile(`proxy-[0-9]`), `proxy`},
}

// approvedHeaders are the response headers that transcripts contain.
var approvedHeaders = []string{"Retry-After", "X-Snowflow-Not-Executed", "X-Snowflow-Serial"}

// TestExchanges sends requests to a running mesh and compares the responses with approved transcripts.
func TestExchanges(t *testing.T) {
	rehearsal, err := Open(options(t, "steady", 211), t.Logf)
	if rehearsal != nil {
		t.Cleanup(rehearsal.Close)
	}
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Timeout: 30 * time.Second}
	addresses := map[string]string{"caller": rehearsal.Fleet.Proxies[0].CallerAddress, "other-caller": rehearsal.Fleet.Proxies[1].CallerAddress,
		"backend": rehearsal.Fleet.Proxies[0].AdminAddress, "operator": rehearsal.Fleet.ConfigStores[0].AdminAddress}
	datadriven.RunTest(t, "testdata/exchanges", func(t *testing.T, data *datadriven.TestData) string {
		behavior := ""
		if data.MaybeScanArgs(t, "behavior", &behavior); data.Cmd == "backends" {
			for _, backend := range rehearsal.Backends {
				backend.Behavior.Store(strings.TrimPrefix(behavior, "normal"))
			}
			return ""
		}
		address, known := addresses[data.Cmd]
		if !known {
			t.Fatalf("no address %q", data.Cmd)
		}
		return exchange(t, client, address, data)
	})
}

// exchange sends the request that a transcript's command describes, and returns the response in the transcripts' format.
func exchange(t *testing.T, client *http.Client, address string, data *datadriven.TestData) string {
	t.Helper()
	method, path, key, big := "GET", "/", "", 0
	data.ScanArgs(t, "method", &method)
	data.ScanArgs(t, "path", &path)
	data.MaybeScanArgs(t, "key", &key)
	data.MaybeScanArgs(t, "big", &big)
	body := data.Input
	if big > 0 {
		body = strings.Repeat("x", big)
	}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		request.Header.Set("X-Snowflow-Key", key)
	}
	response, err := client.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return formatResponse(response, content)
}

// formatResponse formats a response for transcripts. It contains the whole body of the mesh's own responses, but of a backend's response
// only whether the body arrived complete.
func formatResponse(response *http.Response, content []byte) string {
	text := response.Status + "\n"
	for _, name := range approvedHeaders {
		if value := response.Header.Get(name); value != "" {
			if name == "Retry-After" {
				value = "..."
			}
			text += name + ": " + value + "\n"
		}
	}
	if response.Header.Get(standin.EchoHeader) != "" {
		return text + fmt.Sprintf("response of a backend, complete: %v\n", response.Header.Get(standin.ChecksumHeader) == standin.Checksum(content))
	}
	body := string(content)
	for _, part := range variableParts {
		body = part.pattern.ReplaceAllString(body, part.replacement)
	}
	return text + body
}
