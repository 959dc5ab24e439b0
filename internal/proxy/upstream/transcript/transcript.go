// Package transcript checks a dialect against approved transcripts of what backends send and of the outcome. Only tests use it.
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
	// requestTimeout is the time from the start of each request to its deadline.
	requestTimeout = 300 * monotonic.Millisecond
	// responseLimit bounds the body of each response, in bytes.
	responseLimit = 64
	// requestID is the id of the first request, to which the number of the attempt is appended. The transcripts contain it.
	requestID = "ask"
	// idMark stands for the id of the request that is answered.
	idMark = "{id}"
	// closedCommand is the command of a transcript whose backend does not listen.
	closedCommand = "gone"
)

// Suite is a dialect under test.
type Suite struct {
	Dialect upstream.Dialect
	// IDHeader is the header in which a backend finds the id of a request.
	IDHeader string
	// ResponseHeaders are the header lines that a backend of the dialect writes into every response, each with its end of line.
	// They replace {marks} in a transcript. In them, and in a transcript, {id} is the id of the request that is answered.
	ResponseHeaders string
	// OtherHeaders are the header lines of a response to another request. They replace {other} in a transcript.
	OtherHeaders string
	// VaryingHeaders are the headers of a request whose values are shown as dots.
	VaryingHeaders []string
}

// exchange is one transcript: what is sent, and how the backend behaves.
type exchange struct {
	dialect upstream.Dialect
	method  string
	body    string
	times   int
	once    bool // the request needs a fresh connection
	again   bool // each request after the first is one more attempt at it
	leaving bool // the backend is found to be leaving before the request is sent
	headers bool // the request's headers are shown
	tenant  string
	backend *fakeBackend
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
		if data.Cmd == closedCommand {
			_ = listener.Close()
		}
		return exchange.play()
	})
}

// parse reads the arguments of a transcript.
func (s *Suite) parse(t *testing.T, data *datadriven.TestData) *exchange {
	t.Helper()
	backend := &fakeBackend{identity: `{"service":"forms","instance":"one"}`, idHeader: s.IDHeader, lines: make(chan string, 16)}
	parsed := &exchange{dialect: s.Dialect, method: "GET", times: 1, backend: backend}
	if name := ""; data.MaybeScanArgs(t, "identity", &name) {
		backend.identity = fmt.Sprintf(`{"service":"forms","instance":%q}`, name)
	}
	data.MaybeScanArgs(t, "method", &parsed.method)
	data.MaybeScanArgs(t, "times", &parsed.times)
	data.MaybeScanArgs(t, "leaving", &parsed.leaving)
	data.MaybeScanArgs(t, "once", &parsed.once)
	data.MaybeScanArgs(t, "again", &parsed.again)
	data.MaybeScanArgs(t, "headers", &parsed.headers)
	data.MaybeScanArgs(t, "tenant", &parsed.tenant)
	data.MaybeScanArgs(t, "body", &parsed.body)
	data.MaybeScanArgs(t, "stay", &backend.keepAlive)
	data.MaybeScanArgs(t, "surplus", &backend.surplus)
	if reuse := ""; data.MaybeScanArgs(t, "reuse", &reuse) {
		maxIdle, err := time.ParseDuration(reuse)
		if err != nil {
			t.Fatal(err)
		}
		parsed.dialect.MaxIdleForNonRetryable = maxIdle
	}
	backend.formatHeaders = s.headerFormatter(parsed.headers)
	return parsed
}

// play sends the requests and returns the transcript of their outcomes and of what the backend received.
func (e *exchange) play() string {
	clock := monotonic.NewSystemClock()
	transport := upstream.New(clock, e.dialect)
	var text strings.Builder
	for number := range e.times {
		response, fault := transport.RoundTrip(e.request(clock, number+1))
		text.WriteString(formatOutcome(response, fault))
	}
	for len(e.backend.lines) > 0 {
		fmt.Fprintf(&text, "backend got %s\n", <-e.backend.lines)
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
		FreshConnection: e.once,
		Deadline:        clock.Now() + requestTimeout,
		ResponseLimit:   responseLimit,
		BeforeSend: func() *apierror.Error {
			if e.leaving {
				return apierror.New(apierror.BackendLeaving, apierror.NotRun, "leaving")
			}
			return nil
		},
	}
}

// requestID returns the id of one of the requests, the first of which has number 1.
func (e *exchange) requestID(number int) string {
	if number == 1 || e.again {
		return fmt.Sprintf("%s.%d", requestID, number)
	}
	return fmt.Sprintf("%s-%d.1", requestID, number)
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
