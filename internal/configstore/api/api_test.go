package api_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"snowflow/internal/config"
	"snowflow/internal/configstore"
	"snowflow/internal/configstore/api"
	"snowflow/internal/configstore/storetest"
	"snowflow/internal/monotonic"
)

// apiFixture is a simulated group of configuration stores with a process outside the group that serves the HTTP interface.
type apiFixture struct {
	*storetest.Cluster
	handler http.Handler
}

// newAPIFixture starts the group, which is closed at the end of the test.
func newAPIFixture(t *testing.T) *apiFixture {
	t.Helper()
	f := &apiFixture{Cluster: storetest.Start(configstore.Options{HistoryLimit: 2})}
	t.Cleanup(f.World.Close)
	f.handler = api.New(f.Outside, f.Resolver, http.NotFoundHandler(), func() any { return "this process" }, config.Parse)
	return f
}

// serve handles a request while the simulation runs for 30 s, which is longer than any request may take.
func (f *apiFixture) serve(method, path, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	f.Outside.Go(func() {
		f.handler.ServeHTTP(recorder, httptest.NewRequest(method, path, bytes.NewReader([]byte(body))))
	})
	f.Run(30 * monotonic.Second)
	return recorder
}

var (
	// randomID matches the request IDs that the interface generates.
	randomID = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)
	// storeAddress matches a store's address. Any store may be the primary.
	storeAddress = regexp.MustCompile(`machine-\d:store`)
)

// TestResponses compares responses of the HTTP interface with an approved transcript: status, headers and bodies byte by byte, except for
// random request IDs and the primary's address. "request METHOD path=PATH" sends the input as the body, in which LONG is replaced by a
// text that exceeds the size limit. "stop" kills all stores but one.
func TestResponses(t *testing.T) { runTranscript(t, "testdata/responses") }

// TestTenants compares responses that show tenants in the same way: they contain no keys, only the beginnings of the keys' digests.
func TestTenants(t *testing.T) { runTranscript(t, "testdata/tenants") }

// runTranscript runs the requests of a transcript file against a new group.
func runTranscript(t *testing.T, file string) {
	t.Helper()
	f := newAPIFixture(t)
	datadriven.RunTest(t, file, func(t *testing.T, data *datadriven.TestData) string {
		if data.Cmd == "stop" {
			for index := range storetest.Stores - 1 {
				f.World.Kill(f.World.Node(storetest.Name(index)))
			}
			return ""
		}
		method, path := data.CmdArgs[0].Key, strings.TrimPrefix(data.CmdArgs[1].String(), "path=")
		recorder := f.serve(method, path, strings.ReplaceAll(data.Input, "LONG", strings.Repeat(" ", config.MaxContentSize+1)))
		text := fmt.Sprintf("%d %s\n", recorder.Code, recorder.Header().Get("Content-Type"))
		if retryAfter := recorder.Header().Get("Retry-After"); retryAfter != "" {
			text += "Retry-After: " + retryAfter + "\n"
		}
		body := randomID.ReplaceAllString(recorder.Body.String(), "RANDOM")
		return text + storeAddress.ReplaceAllString(body, "ADDRESS")
	})
}
