// Package transcript tests a dialect against approved transcripts, which contain the responses of a backend and the expected outcome.
// Only tests use it.
package transcript

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"snowflow/internal/apierror"
	"snowflow/internal/monotonic"
	"snowflow/internal/proxy/admission"
	"snowflow/internal/proxy/localbackends"
	"snowflow/internal/proxy/request"
	"snowflow/internal/proxy/upstream"
	"snowflow/internal/transport/wire"
)

const (
	// requestTimeout is the time until the deadline of each request.
	requestTimeout = 300 * monotonic.Millisecond
	// responseLimit bounds the body of each response, in bytes.
	responseLimit = 64
	// requestIDPrefix begins the id of each request. The transcripts contain it.
	requestIDPrefix = "ask"
	// idPlaceholder stands in a response for the id of its request.
	idPlaceholder = "{id}"
	// notListeningCommand is the command of a transcript in which the backend refuses connections.
	notListeningCommand = "gone"
)

// Suite is a dialect under test.
type Suite struct {
	Dialect upstream.Dialect
	// IDHeader is the header in which a backend finds the id of a request.
	IDHeader string
	// ResponseHeaders are the header lines that a backend of the dialect writes into every response, each with its line ending.
	// They replace {marks} in a transcript. {id}, here and in a transcript, stands for the id of the request.
	ResponseHeaders string
	// OtherHeaders are the header lines of a response that names another request. They replace {other} in a transcript.
	OtherHeaders string
	// VaryingHeaders are request headers whose values differ between runs. Transcripts show dots instead of the values.
	VaryingHeaders []string
}

// exchange is one transcript: the requests that are sent, and how the backend behaves.
type exchange struct {
	dialect         upstream.Dialect
	method          string
	body            string
	count           int  // number of requests
	freshConnection bool // the requests need a fresh connection
	retries         bool // each request after the first is a further attempt at the first
	backendLeaving  bool // the backend turns out to be leaving just before a request is sent
	showHeaders     bool // the transcript shows the headers of the requests
	tenant          string
	backend         *fakeBackend
}

// Run executes the transcripts of a file and compares their outcomes.
func (s *Suite) Run(t *testing.T, path string) {
	t.Helper()
	escapes := strings.NewReplacer(`\r`, "\r", `\n`, "\n", "\n", "", "{marks}", s.ResponseHeaders, "{other}", s.OtherHeaders)
	datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		exchange := s.parse(t, data)
		exchange.backend.listener, exchange.backend.response = listener, escapes.Replace(data.Input)
		go exchange.backend.serve()
		if data.Cmd == notListeningCommand {
			_ = listener.Close()
		}
		return exchange.run()
	})
}

// parse reads the arguments of a transcript.
func (s *Suite) parse(t *testing.T, data *datadriven.TestData) *exchange {
	t.Helper()
	backend := &fakeBackend{identity: `{"service":"forms","instance":"one"}`, idHeader: s.IDHeader, requestLines: make(chan string, 16)}
	parsed := &exchange{dialect: s.Dialect, method: "GET", count: 1, backend: backend}
	if name := ""; data.MaybeScanArgs(t, "identity", &name) {
		backend.identity = fmt.Sprintf(`{"service":"forms","instance":%q}`, name)
	}
	data.MaybeScanArgs(t, "method", &parsed.method)
	data.MaybeScanArgs(t, "times", &parsed.count)
	data.MaybeScanArgs(t, "leaving", &parsed.backendLeaving)
	data.MaybeScanArgs(t, "once", &parsed.freshConnection)
	data.MaybeScanArgs(t, "again", &parsed.retries)
	data.MaybeScanArgs(t, "headers", &parsed.showHeaders)
	data.MaybeScanArgs(t, "tenant", &parsed.tenant)
	data.MaybeScanArgs(t, "body", &parsed.body)
	data.MaybeScanArgs(t, "stay", &backend.keepAlive)
	data.MaybeScanArgs(t, "surplus", &backend.duplicates)
	if reuse := ""; data.MaybeScanArgs(t, "reuse", &reuse) {
		maxIdle, err := time.ParseDuration(reuse)
		if err != nil {
			t.Fatal(err)
		}
		parsed.dialect.MaxIdleForNonRetryable = maxIdle
	}
	backend.formatHeaders = s.headerFormatter(parsed.showHeaders)
	return parsed
}

// run sends the requests and returns their outcomes and descriptions of the requests that the backend received.
func (e *exchange) run() string {
	clock := monotonic.NewSystemClock()
	transport := upstream.New(clock, e.dialect)
	var text strings.Builder
	for number := range e.count {
		response, fault := transport.RoundTrip(e.request(clock, number+1))
		text.WriteString(formatOutcome(response, fault))
	}
	for len(e.backend.requestLines) > 0 {
		fmt.Fprintf(&text, "backend got %s\n", <-e.backend.requestLines)
	}
	return text.String()
}

func (e *exchange) request(clock monotonic.Clock, number int) admission.BackendRequest {
	return admission.BackendRequest{
		Tenant:          e.tenant,
		ID:              e.requestID(number),
		Backend:         localbackends.Backend{Service: "forms", Instance: "one", Address: e.backend.listener.Addr().String()},
		Method:          e.method,
		Target:          "/forms/7?page=2",
		Headers:         []*wire.Header{{Name: "Host", Value: "forms.example"}, {Name: "Accept", Value: "*/*"}},
		Body:            []byte(e.body),
		FreshConnection: e.freshConnection,
		Deadline:        clock.Now() + requestTimeout,
		ResponseLimit:   responseLimit,
		BeforeSend: func() *apierror.Error {
			if e.backendLeaving {
				return apierror.New(apierror.BackendLeaving, apierror.NotRun, "leaving")
			}
			return nil
		},
	}
}

// requestID returns the id of a request by its number, which starts at 1. It ends with the number of the attempt.
func (e *exchange) requestID(number int) string {
	if number == 1 || e.retries {
		return fmt.Sprintf("%s.%d", requestIDPrefix, number)
	}
	return fmt.Sprintf("%s-%d.1", requestIDPrefix, number)
}

func formatOutcome(response *request.Response, fault *apierror.Error) string {
	if fault != nil {
		return fmt.Sprintf("%d %s %s, the backend's: %v\n", fault.Status(), fault.Cause.Name(), fault.Verdict, fault.Backend)
	}
	line := fmt.Sprintf("answer %d %q", response.Status, response.Body)
	if response.NotRun {
		line += ", not run"
	}
	return line + "\n"
}
