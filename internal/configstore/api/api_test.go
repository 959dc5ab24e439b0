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

// site is a simulated group of configuration stores, and a process outside it that serves the HTTP interface.
type site struct {
	*storetest.Cluster
	handler http.Handler
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{Cluster: storetest.Start(configstore.Options{HistoryLimit: 2})}
	t.Cleanup(s.World.Close)
	s.handler = api.New(s.Outside, s.Resolver, http.NotFoundHandler(), func() any { return "this process" }, config.Parse)
	return s
}

// serve answers a request, and lets the simulation run for long enough.
func (s *site) serve(method, path, body string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	s.Outside.Go(func() {
		s.handler.ServeHTTP(recorder, httptest.NewRequest(method, path, bytes.NewReader([]byte(body))))
	})
	s.Run(30 * monotonic.Second)
	return recorder
}

var (
	// randomID matches the request IDs that the interface makes.
	randomID = regexp.MustCompile(`[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}`)
	// storeAddress matches the address of a store, of which any may be the primary.
	storeAddress = regexp.MustCompile(`machine-\d:store`)
)

// TestResponses approves a transcript of the HTTP interface: status, headers and bodies, byte by byte but for random request IDs and
// the primary's address. "request METHOD path=PATH" sends the input as body, in which LONG stands for more than is accepted, and
// "stop" kills all stores but one.
func TestResponses(t *testing.T) { runTranscript(t, "testdata/responses") }

// TestTenants approves in the same way what operators are shown of tenants: no key, and the beginnings of keys' digests.
func TestTenants(t *testing.T) { runTranscript(t, "testdata/tenants") }

func runTranscript(t *testing.T, file string) {
	t.Helper()
	s := newSite(t)
	datadriven.RunTest(t, file, func(t *testing.T, data *datadriven.TestData) string {
		if data.Cmd == "stop" {
			for index := range storetest.Stores - 1 {
				s.World.Kill(s.World.Node(storetest.Name(index)))
			}
			return ""
		}
		method, path := data.CmdArgs[0].Key, strings.TrimPrefix(data.CmdArgs[1].String(), "path=")
		recorder := s.serve(method, path, strings.ReplaceAll(data.Input, "LONG", strings.Repeat(" ", config.MaxContentSize+1)))
		text := fmt.Sprintf("%d %s\n", recorder.Code, recorder.Header().Get("Content-Type"))
		if retryAfter := recorder.Header().Get("Retry-After"); retryAfter != "" {
			text += "Retry-After: " + retryAfter + "\n"
		}
		body := randomID.ReplaceAllString(recorder.Body.String(), "RANDOM")
		return text + storeAddress.ReplaceAllString(body, "ADDRESS")
	})
}
